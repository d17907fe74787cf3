package guard

import (
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
)

const (
	// unreachableThreshold is the number of consecutive connection failures after
	// which a target counts as unreachable.
	unreachableThreshold = 3
	// unreachableBackoff is the delay before an unreachable target gets calls again.
	unreachableBackoff = 500 * time.Millisecond
)

// reachability tracks whether a target accepts connections. Without it, a crashed
// target would appear idle and receive more calls than others. It is safe for
// concurrent use.
type reachability struct {
	mutex           sync.Mutex
	connectFailures int
	retryAt         time.Time
}

// backingOff reports whether the target gets no calls at the given time.
func (r *reachability) backingOff(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return now.Before(r.retryAt)
}

// recordFailure records a connection failure. It reports whether this failure makes the
// target unreachable.
func (r *reachability) recordFailure(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.connectFailures++
	if r.connectFailures < unreachableThreshold {
		return false
	}
	r.retryAt = now.Add(unreachableBackoff)
	return r.connectFailures == unreachableThreshold
}

// markUnreachable marks the target as unreachable without waiting for further failures.
func (r *reachability) markUnreachable(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.connectFailures = max(r.connectFailures, unreachableThreshold)
	r.retryAt = now.Add(unreachableBackoff)
}

// recordConnect records a call that reached the target. It reports whether the target
// was unreachable before.
func (r *reachability) recordConnect() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	wasUnreachable := r.connectFailures >= unreachableThreshold
	r.connectFailures = 0
	r.retryAt = time.Time{}
	return wasUnreachable
}

// recordReachability records whether a call reached the target and logs a change of its
// reachability.
func (g *Guard) recordReachability(inc *incarnation, connected bool) {
	event := eventlog.Event{Kind: eventlog.TargetChanged, Service: inc.target.Service, Target: inc.target.Incarnation().String()}
	switch {
	case connected && inc.reachability.recordConnect():
		event.Outcome = "reachable"
	case !connected && inc.reachability.recordFailure(g.now()):
		event.Outcome = "unreachable"
	default:
		return
	}
	g.log.Record(event)
}
