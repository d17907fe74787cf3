package guard

import (
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/peering"
)

const (
	// rateWeight is the weight of one call in the moving averages of the rates.
	rateWeight = 1.0 / 16
	// maxTrackedRoutes limits the number of routes with a latency estimate.
	maxTrackedRoutes = 256
	percent          = 100
)

// targetStats holds the latency estimates and failure rates of one target. It is safe
// for concurrent use.
type targetStats struct {
	mutex     sync.Mutex
	latencies map[string]*latencyEstimator
	// failureRate is the fraction of calls without a valid response.
	failureRate float64
	// errorRate is the fraction of responses that report an error of the target itself.
	errorRate float64
	// epoch is the time of the first recorded call.
	epoch time.Time
	// pace is the pace of the target; nil if it reports none.
	pace *pace.Tracker
}

// recordStart records a call that was sent to the target.
func (s *targetStats) recordStart(route string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if estimator := s.latencyFor(route); estimator != nil {
		estimator.begin(s.sinceEpoch(now))
	}
}

// latencyFor returns the latency estimator of a route and creates it if necessary. It
// returns nil if the route is new and too many routes are tracked.
func (s *targetStats) latencyFor(route string) *latencyEstimator {
	estimator := s.latencies[route]
	if estimator != nil || len(s.latencies) >= maxTrackedRoutes {
		return estimator
	}
	if s.latencies == nil {
		s.latencies = make(map[string]*latencyEstimator)
	}
	estimator = &latencyEstimator{}
	s.latencies[route] = estimator
	return estimator
}

// sinceEpoch converts a time to seconds since the epoch.
func (s *targetStats) sinceEpoch(now time.Time) float64 {
	if s.epoch.IsZero() {
		s.epoch = now
	}
	return now.Sub(s.epoch).Seconds()
}

// recordEnd records the outcome of a call that took the given duration and ended now.
func (s *targetStats) recordEnd(route string, reply *peering.Reply, duration time.Duration, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recordFailure(route, reply, duration, now)
	estimator := s.latencyFor(route)
	switch {
	case estimator == nil:
	case reply.Outcome == peering.Refused:
		estimator.cancel(s.sinceEpoch(now.Add(-duration)))
	default:
		estimator.durations.Record(duration, now)
		// An error of the target counts as a call without an answer, so that fast errors
		// don't lower the estimate.
		estimator.end(s.sinceEpoch(now), duration.Seconds(), s.pace.Factor(now), reply.Outcome == peering.Answered && !isTargetFailure(reply))
	}
}

// overdueFactor is the multiple of the average latency that a call without a response
// must have lasted to count as failed. A shorter call may only have been canceled by
// its caller.
const overdueFactor = 3

// recordFailure updates the failure and error rates. A call counts as failed if it got
// no valid response, or if the target rejected it although its slots were not exceeded.
func (s *targetStats) recordFailure(route string, reply *peering.Reply, duration time.Duration, now time.Time) {
	if reply.Outcome == peering.Answered {
		s.errorRate += (indicator(reply.TargetError) - s.errorRate) * rateWeight
	}
	failed := false
	switch {
	case reply.Reason == peering.ExchangeBroken, reply.Reason == peering.TargetCrashed, reply.Reason == peering.InvalidResponse, reply.Reason == peering.TargetFull:
		failed = true
	case reply.Outcome == peering.Failed:
		estimator := s.latencies[route]
		if estimator == nil || estimator.average == 0 || duration.Seconds() < overdueFactor*estimator.average*s.pace.Factor(now) {
			return
		}
		failed = true
	case reply.Outcome == peering.Refused:
		return
	}
	s.failureRate += (indicator(failed) - s.failureRate) * rateWeight
}

// indicator returns 1 if the condition holds and 0 otherwise.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// errorPercent returns the percentage of responses that report an error of the target
// itself.
func (s *targetStats) errorPercent() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return int(s.errorRate * percent)
}

// latency returns the expected latency of a call of the route at the usual pace of the
// target, zero if unknown.
func (s *targetStats) latency(route string, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	estimator := s.latencies[route]
	if estimator == nil {
		return 0
	}
	return time.Duration(estimator.estimate(s.sinceEpoch(now), s.pace.Factor(now)) * float64(time.Second))
}

// tailDuration returns a duration that few recent calls of the route exceeded, zero if there were none.
func (s *targetStats) tailDuration(route string, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	estimator := s.latencies[route]
	if estimator == nil {
		return 0
	}
	return estimator.durations.Tail(now)
}

// currentLatency returns the expected latency of a call of the route at the current pace of
// the target, zero if unknown.
func (s *targetStats) currentLatency(route string, now time.Time) time.Duration {
	return time.Duration(float64(s.latency(route, now)) * s.pace.Factor(now))
}

// failurePercent returns the percentage of calls without a valid response.
func (s *targetStats) failurePercent() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return int(s.failureRate * percent)
}
