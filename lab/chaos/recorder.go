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

// note records an event; one without a moment happened now.
func (r *recorder) note(event judge.Event) {
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

func (r *recorder) recorded() ([]judge.Event, []judge.Call) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.events), slices.Clone(r.calls)
}
