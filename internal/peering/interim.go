package peering

import (
	"net/http"
	"sync"
	"time"
)

// Intervals that distinguish a silent connection from a long call.
const (
	// interimInterval is the time between interim responses (1xx) to a running call.
	// Shorter calls, including most calls deep in a chain, cause none. Each interim
	// response wakes up two nodes; an interval of 200 ms caused 1.9 interim responses per
	// request of four chained calls.
	interimInterval = 300 * time.Millisecond
	// silenceTimeout is how long a caller waits for a final or an interim response before
	// it resumes the call over a new connection. It tolerates two interim responses that
	// are delayed by scheduling. A resumption costs a connection but no second run.
	silenceTimeout = 700 * time.Millisecond
)

// interimWriter periodically sends interim responses while a call is running.
type interimWriter struct {
	mutex   sync.Mutex
	writer  http.ResponseWriter
	timer   *time.Timer
	stopped bool
}

// interimPool holds interim writers whose timers are stopped.
var interimPool sync.Pool

func startInterimWriter(w http.ResponseWriter) *interimWriter {
	i, pooled := interimPool.Get().(*interimWriter)
	if !pooled {
		i = &interimWriter{}
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.writer, i.stopped = w, false
	if pooled {
		i.timer.Reset(interimInterval)
	} else {
		i.timer = time.AfterFunc(interimInterval, i.send)
	}
	return i
}

func (i *interimWriter) send() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.stopped {
		return
	}
	i.writer.WriteHeader(http.StatusProcessing)
	i.timer.Reset(interimInterval)
}

// stop ends the interim responses. The http.ResponseWriter may be used again once it
// returns. The interim writer must not be used again.
func (i *interimWriter) stop() {
	if i.end() {
		interimPool.Put(i)
	}
}

// end ends the interim responses. It reports whether the interim writer can be reused: send may
// still run if the timer has fired.
func (i *interimWriter) end() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.stopped, i.writer = true, nil
	return i.timer.Stop()
}
