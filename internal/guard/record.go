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
	// repeatWindow is half of the time over which repetitions are counted.
	repeatWindow = 5 * time.Second
	percent      = 100
)

// trackRecord is how one target has served so far. It is safe for concurrent
// use.
type trackRecord struct {
	mutex     sync.Mutex
	latencies map[string]float64
	failing   float64
	// recent and earlier count arrivals of two windows that follow each other.
	recent, earlier arrivals
	windowBegan     time.Time
}

type arrivals struct{ all, repeated int }

// arrived counts a call that was sent to the target.
func (r *trackRecord) arrived(repeated bool, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.turn(now)
	r.recent.all++
	if repeated {
		r.recent.repeated++
	}
}

// turn begins a new window when the present one is over.
func (r *trackRecord) turn(now time.Time) {
	age := now.Sub(r.windowBegan)
	if age < repeatWindow {
		return
	}
	r.earlier = r.recent
	if age >= 2*repeatWindow {
		r.earlier = arrivals{}
	}
	r.recent = arrivals{}
	r.windowBegan = now
}

// repeats returns the part of the arrivals that were repetitions, in percent.
func (r *trackRecord) repeats(now time.Time) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.turn(now)
	all := r.recent.all + r.earlier.all
	if all == 0 {
		return 0
	}
	return (r.recent.repeated + r.earlier.repeated) * percent / all
}

// ended takes the outcome of a call into account. A call that was given up
// took at least as long as it was waited for; that may raise the average and
// never lowers it.
func (r *trackRecord) ended(route string, reply *peering.Reply, duration time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.noteFailure(route, reply, duration)
	if reply.Outcome == peering.Refused {
		return
	}
	mean, known := r.latencies[route]
	seconds := duration.Seconds()
	switch {
	case reply.Outcome == peering.Failed && (!known || seconds < mean):
		return
	case !known && len(r.latencies) >= maxRouteLatencies:
		return
	case !known:
		mean = seconds
	}
	if r.latencies == nil {
		r.latencies = make(map[string]float64)
	}
	r.latencies[route] = mean + (seconds-mean)*recordWeight
}

// overdue is how many times the usual time a call without answer must have
// lasted to count as failed: it may as well have been given up early.
const overdue = 3

// noteFailure counts a call as failed if no usable answer came.
func (r *trackRecord) noteFailure(route string, reply *peering.Reply, duration time.Duration) {
	failed := 0.0
	if reply.Outcome == peering.Failed {
		switch reply.Reason {
		case peering.Broken, peering.Spoilt:
			failed = 1
		default:
			mean := r.latencies[route]
			if mean == 0 || duration.Seconds() < overdue*mean {
				return
			}
			failed = 1
		}
	}
	r.failing += (failed - r.failing) * recordWeight
}

// latency returns the usual time of a call of the route, zero if not known.
func (r *trackRecord) latency(route string) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Duration(r.latencies[route] * float64(time.Second))
}

// failures returns the part of the calls without usable answer, in percent.
func (r *trackRecord) failures() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return int(r.failing * percent)
}
