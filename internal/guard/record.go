package guard

import (
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/peering"
)

const (
	// recordWeight is the part of an average that one call makes up.
	recordWeight = 1.0 / 16
	// maxRouteLatencies bounds the routes whose latencies are kept.
	maxRouteLatencies = 256
	percent           = 100
)

// trackRecord is how one target has served so far. It is safe for concurrent
// use.
type trackRecord struct {
	mutex     sync.Mutex
	latencies map[string]*routeLatency
	failing   float64
	// erring is the part of the answers that say that the target failed.
	erring float64
	epoch  time.Time
}

// began notes a call that was sent to the target.
func (r *trackRecord) began(route string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.latencyOf(route); known != nil {
		known.begin(r.seconds(now))
	}
}

// latencyOf returns what is known of a route, nil if there are too many.
func (r *trackRecord) latencyOf(route string) *routeLatency {
	known := r.latencies[route]
	if known != nil || len(r.latencies) >= maxRouteLatencies {
		return known
	}
	if r.latencies == nil {
		r.latencies = make(map[string]*routeLatency)
	}
	known = &routeLatency{}
	r.latencies[route] = known
	return known
}

// seconds returns a time as seconds since the record's first one.
func (r *trackRecord) seconds(now time.Time) float64 {
	if r.epoch.IsZero() {
		r.epoch = now
	}
	return now.Sub(r.epoch).Seconds()
}

// ended takes the outcome of a call into account that began so long before now.
func (r *trackRecord) ended(route string, reply *peering.Reply, duration time.Duration, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.noteFailure(route, reply, duration)
	known := r.latencyOf(route)
	switch {
	case known == nil:
	case reply.Outcome == peering.Refused:
		known.cancel(r.seconds(now.Add(-duration)))
	default:
		// A target that fails at once is not a quick one.
		known.end(r.seconds(now), duration.Seconds(), reply.Outcome == peering.Answered && !failedItself(reply))
	}
}

// overdue is how many times the usual time a call without answer must have
// lasted to count as failed: it may as well have been given up early.
const overdue = 3

// noteFailure counts a call as failed if no usable answer came, or if the target
// turned it away although it was offered no more than its slots.
func (r *trackRecord) noteFailure(route string, reply *peering.Reply, duration time.Duration) {
	if reply.Outcome == peering.Answered {
		r.erring += (shareOf(reply.TargetError) - r.erring) * recordWeight
	}
	failed := false
	switch {
	case reply.Reason == peering.ExchangeBroken, reply.Reason == peering.TargetCrashed, reply.Reason == peering.InvalidResponse, reply.Reason == peering.TargetFull:
		failed = true
	case reply.Outcome == peering.Failed:
		known := r.latencies[route]
		if known == nil || known.usual == 0 || duration.Seconds() < overdue*known.usual {
			return
		}
		failed = true
	case reply.Outcome == peering.Refused:
		return
	}
	r.failing += (shareOf(failed) - r.failing) * recordWeight
}

// shareOf is the part that one call makes up.
func shareOf(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// errors returns the part of the answers that are failures of the target, in
// percent.
func (r *trackRecord) errors() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return int(r.erring * percent)
}

// latency returns the expected time of a call of the route, zero if not known.
func (r *trackRecord) latency(route string, now time.Time) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.latencies[route]
	if known == nil {
		return 0
	}
	return time.Duration(known.estimate(r.seconds(now)) * float64(time.Second))
}

// failures returns the part of the calls without usable answer, in percent.
func (r *trackRecord) failures() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return int(r.failing * percent)
}
