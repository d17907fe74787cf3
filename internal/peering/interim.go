package peering

import (
	"net/http"
	"sync"
	"time"
)

// Times by which a connection that went silent is told from a long call.
const (
	// interimPeriod is the time between interim answers to a call that runs. Calls
	// that end sooner, most of those further down a chain, have none. Each interim answer
	// wakes two nodes: with 200 ms there were 1.9 for a request of four chained calls.
	interimPeriod = 300 * time.Millisecond
	// silence is how long a caller waits for an answer or an interim one before it
	// resumes the call over a new connection: two interim answers may be late by
	// scheduling. A resumption costs one connection and no second run.
	silence = 700 * time.Millisecond
)

// interimWriter tells a caller at times that its call is still running.
type interimWriter struct {
	mutex   sync.Mutex
	writer  http.ResponseWriter
	timer   *time.Timer
	stopped bool
}

func startInterim(w http.ResponseWriter) *interimWriter {
	i := &interimWriter{writer: w}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.timer = time.AfterFunc(interimPeriod, i.tell)
	return i
}

func (i *interimWriter) tell() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.stopped {
		return
	}
	i.writer.WriteHeader(http.StatusProcessing)
	i.timer.Reset(interimPeriod)
}

// stop ends the interim answers. The writer may be used again once it returns.
func (i *interimWriter) stop() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.stopped = true
	i.timer.Stop()
}
