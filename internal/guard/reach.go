package guard

import (
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
)

const (
	// unconnectedBound is after how many calls in a row without a connection a
	// target counts as unreachable.
	unconnectedBound = 3
	// unreachablePause is how long an unreachable target is offered nothing before
	// it is tried again.
	unreachablePause = 500 * time.Millisecond
)

// reach tells whether a target takes connections. Without it a target that
// crashed would look idle and draw calls. It is safe for concurrent use.
type reach struct {
	mutex       sync.Mutex
	unconnected int
	pausedUntil time.Time
}

// paused reports whether the target is offered nothing for now.
func (r *reach) paused(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return now.Before(r.pausedUntil)
}

// failed notes a call without a connection. It reports whether the target counts
// as unreachable from now on and did not before.
func (r *reach) failed(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.unconnected++
	if r.unconnected < unconnectedBound {
		return false
	}
	r.pausedUntil = now.Add(unreachablePause)
	return r.unconnected == unconnectedBound
}

// crashed has the target count as unreachable at once.
func (r *reach) crashed(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.unconnected = max(r.unconnected, unconnectedBound)
	r.pausedUntil = now.Add(unreachablePause)
}

// connected notes a call that reached the target. It reports whether the target
// counted as unreachable before.
func (r *reach) connected() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	was := r.unconnected >= unconnectedBound
	r.unconnected = 0
	r.pausedUntil = time.Time{}
	return was
}

// noteReach takes a call's connection into account and logs a change.
func (g *Guard) noteReach(i *incarnation, connected bool) {
	event := eventlog.Event{Kind: eventlog.TargetChanged, Service: i.target.Service, Target: i.target.Incarnation().String()}
	switch {
	case connected && i.reach.connected():
		event.Outcome = "reachable"
	case !connected && i.reach.failed(g.now()):
		event.Outcome = "unreachable"
	default:
		return
	}
	g.log.Record(event)
}
