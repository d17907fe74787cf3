package pace

import (
	"math"
	"slices"
	"time"
)

// ReturnInterval is the time in which at most returnShare of the waiting calls are given back.
const ReturnInterval = 100 * time.Millisecond

const (
	// returnShare is rounded up, so that a single call can be given back. Nodes with the same
	// information offer the calls to the same home, which would otherwise get the whole queue.
	returnShare = 0.5
	// reviewInterval is the least time between reviews of a queue, which cost a sort of it.
	reviewInterval = 10 * time.Millisecond
	// returnMargin and returnRatio are the parts of the margin, fixed and as a share of the time
	// elsewhere, by which a call must complete later before it is given back. They cover the time of
	// the additional exchange between nodes and the error of the estimates.
	returnMargin = 20 * time.Millisecond
	returnRatio  = 0.5
)

// Queued is a call that waits at a home.
type Queued struct {
	// Usual is the duration of the call at the usual pace, zero if it is unknown.
	Usual time.Duration
	// Alternative is the time within which the call was expected, when it arrived, to complete at
	// another home. A call without one is not given back.
	Alternative time.Duration
	// Waited is the time since the call arrived.
	Waited time.Duration
}

// Returns decides which waiting calls a home gives back, so that their entry nodes offer them to
// another home. The zero value is ready to use. It is not safe for concurrent use.
type Returns struct {
	reviewedAt time.Time
	// recent are the times of the returns within the last ReturnInterval, oldest first.
	recent []time.Time
}

// Due reports whether the queue may be reviewed, and if so records the review.
func (r *Returns) Due(now time.Time) bool {
	if now.Sub(r.reviewedAt) < reviewInterval {
		return false
	}
	r.reviewedAt = now
	return true
}

// Select returns the indexes of the calls to give back, the last ones first. The calls are in the
// order in which they get slots; limit is the number of calls that the home runs at the same time, and
// factor the factor by which calls currently take longer than usual.
func (r *Returns) Select(calls []Queued, limit int, factor float64, now time.Time) []int {
	late := lateCalls(calls, limit, factor)
	late = late[:min(len(late), r.allowed(len(calls), now))]
	for range late {
		r.recent = append(r.recent, now)
	}
	return late
}

// allowed returns how many of the waiting calls may be given back now. Those that were given back
// within the last ReturnInterval count as having waited with them.
func (r *Returns) allowed(waiting int, now time.Time) int {
	r.recent = slices.DeleteFunc(r.recent, func(at time.Time) bool { return now.Sub(at) >= ReturnInterval })
	recent := len(r.recent)
	return max(int(math.Ceil(returnShare*float64(waiting+recent)))-recent, 0)
}

// lateCalls returns the indexes of the calls that are expected to complete much earlier elsewhere,
// the last ones first. A call gets a slot after as many calls have ended as wait before it, and one more;
// slots become free at the rate at which calls end.
func lateCalls(calls []Queued, limit int, factor float64) []int {
	var late []int
	waits := make([]float64, len(calls))
	ahead := 0.0
	for i, call := range calls {
		ahead += factor * float64(call.Usual)
		waits[i] = ahead / float64(max(limit, 1))
	}
	for i := len(calls) - 1; i >= 0; i-- {
		if calls[i].isLate(time.Duration(waits[i] + factor*float64(calls[i].Usual))) {
			late = append(late, i)
		}
	}
	return late
}

// isLate reports whether the call, which completes within the given time from now, would complete
// much earlier elsewhere. The time elsewhere is that at the call's arrival, so it does not count
// after MaxAge.
func (q Queued) isLate(here time.Duration) bool {
	if q.Alternative <= 0 || q.Usual <= 0 || q.Waited >= MaxAge {
		return false
	}
	return here > q.Alternative+returnMargin+time.Duration(returnRatio*float64(q.Alternative))
}
