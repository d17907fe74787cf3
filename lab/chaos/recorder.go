package chaos

import (
	"slices"
	"sync"
	"time"

	"github.com/lugspur/lugspur/lab/judge"
)

// recorder collects the events and calls of a run. It is safe for concurrent
// use.
type recorder struct {
	mutex  sync.Mutex
	events []judge.Event
	calls  []judge.Call
}

// record records an event. An event without a timestamp gets the current time.
func (r *recorder) record(event judge.Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if event.At.IsZero() {
		event.At = time.Now()
	}
	r.events = append(r.events, event)
}

func (r *recorder) addCall(call judge.Call) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.calls = append(r.calls, call)
}

func (r *recorder) snapshot() ([]judge.Event, []judge.Call) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.events), slices.Clone(r.calls)
}
