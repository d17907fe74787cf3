package forward

import (
	"cmp"
	"time"

	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/routetable"
)

const (
	// repeatableMaxAge is how long a home's reports of its latency and failure rate are
	// valid for requests that may be retried. After that, a home with a poor report is
	// tried again.
	repeatableMaxAge = 2 * time.Second
	// onceMaxAge is the same for requests that must not run twice. It is longer because
	// these should not be used to test whether a home has recovered.
	onceMaxAge = 6 * time.Second
	// slowMaxAge is how long a home's latency is valid if it exceeds slowLatencyRatio
	// times the median. It is longer because trying such a home again makes a request late.
	slowMaxAge       = 6 * time.Second
	slowLatencyRatio = 3
	// stoppingMaxAge is how long a home's report that it is about to stop is valid.
	stoppingMaxAge = 3 * time.Second
	// slownessWeight is the weight of one report in a home's average slowness.
	slownessWeight = 0.25
	percent        = 100
)

// maxAgeFor returns how long reports are valid for requests of the kind.
func maxAgeFor(kind routetable.Kind) time.Duration {
	if kind == routetable.AtMostOnce {
		return onceMaxAge
	}
	return repeatableMaxAge
}

// pendingCalls summarizes the calls of one route that wait for a home.
type pendingCalls struct {
	count int
	// offsetSum is the sum of the start times of the calls, each relative to firstStart.
	firstStart time.Time
	offsetSum  time.Duration
}

func (c pendingCalls) add(start time.Time) pendingCalls {
	if c.count == 0 {
		c = pendingCalls{firstStart: start}
	}
	c.count++
	c.offsetSum += start.Sub(c.firstStart)
	return c
}

func (c pendingCalls) remove(start time.Time) pendingCalls {
	c.count--
	c.offsetSum -= start.Sub(c.firstStart)
	return c
}

// meanAge returns the average time for which the calls have waited, zero if there are none.
func (c pendingCalls) meanAge(now time.Time) time.Duration {
	if c.count == 0 {
		return 0
	}
	return now.Sub(c.firstStart) - c.offsetSum/time.Duration(c.count)
}

// homeStats holds the statistics of one home on which choices are based.
type homeStats struct {
	// occupancy is the fraction of the home's concurrency limit that is in use, above 1 if
	// calls are queued.
	occupancy float64
	// latency is the reported latency of a call of the route, zero if unknown.
	latency time.Duration
	// slowness is the average ratio, over all routes, of the home's latency to the median
	// of all homes, zero if unknown.
	slowness float64
	// pendingLatency is the latency estimated from the age of this node's pending calls,
	// zero if there are none.
	pendingLatency time.Duration
	// stopping is set if the home is about to stop.
	stopping bool
	// failureRate is the fraction of calls without a valid response, and errorRate the
	// fraction of responses that report an error of the target itself.
	failureRate, errorRate float64
	// reportsPace is set if the home reports the pace of its target.
	reportsPace bool
}

// observe sets what the choice of a home depends on from the state of the home. median is the
// usual latency of the route, zero if unknown.
func (c *candidate) observe(route *routetable.Route, median time.Duration, now time.Time) {
	s := c.state
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c.unavailable = s.unavailableLocked(c.home, now)
	c.usable = !c.unavailable && s.suspicion.backoff == 0
	c.stats = s.statsLocked(c.home, route, median, now)
}

func (s *homeState) statsLocked(home *registry.Home, route *routetable.Route, median time.Duration, now time.Time) homeStats {
	limit := s.limitLocked(home)
	busy := len(s.inFlight)
	loadAge := now.Sub(s.loadAt)
	if loadAge < loadMaxAge {
		busy = max(busy, s.load.InFlight+s.load.Queued)
	}
	maxAge := maxAgeFor(route.Kind)
	// On average, a pending call has run for half of its duration.
	stats := homeStats{stopping: s.load.Stopping && loadAge < stoppingMaxAge, occupancy: float64(busy) / float64(limit)}
	if len(s.pending) > 0 {
		stats.pendingLatency = 2 * s.pending[route.Name].meanAge(now)
	}
	if latency, known := s.latencies[route.Name]; known {
		age := now.Sub(latency.at)
		if age < maxAge || (age < slowMaxAge && latency.value > slowLatencyRatio*median && median > 0) {
			stats.latency = latency.value
		}
	}
	if now.Sub(s.slownessAt) < maxAge {
		stats.slowness = s.slowness
	}
	if loadAge < maxAge {
		stats.failureRate = float64(s.load.FailurePercent) / percent
		stats.errorRate = float64(s.load.ErrorPercent) / percent
		stats.reportsPace = s.load.Pace.Known()
	}
	return stats
}

// limitLocked returns the number of calls that the home runs at the same time.
func (s *homeState) limitLocked(home *registry.Home) int {
	if s.load.Limit > 0 {
		return s.load.Limit
	}
	return max(home.Slots, 1)
}

// paced returns what the choice by pace depends on, except the usual duration of a call.
func (s *homeState) paced(home *registry.Home, now time.Time) pace.Home {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	age := now.Sub(s.loadAt)
	paced := pace.Home{Limit: s.limitLocked(home), Pending: len(s.inFlight), Age: age, Factor: s.load.Pace.Factor(age)}
	if age < loadMaxAge {
		paced.Reported, paced.Sent = s.load.InFlight+s.load.Queued, s.sentSinceLoad
	}
	return paced
}

// isStopping reports whether the home has recently reported that it is about to stop.
func (s *homeState) isStopping(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stoppingLocked(now)
}

func (s *homeState) stoppingLocked(now time.Time) bool {
	return s.load.Stopping && now.Sub(s.loadAt) < stoppingMaxAge
}

// recordLoad records the load that the home reported in a reply to a call of the route.
// median is the median latency of the route at all homes, zero if unknown.
func (s *homeState) recordLoad(route string, load peering.Load, median time.Duration, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if load.Latency > 0 {
		if s.latencies == nil || len(s.latencies) >= maxTrackedRoutes {
			s.latencies = make(map[string]latencySample)
		}
		s.latencies[route] = latencySample{value: load.Latency, at: now}
		s.updateSlowness(load.Latency, median, now)
	}
	s.load = load
	s.loadAt = now
	s.sentSinceLoad = 0
}

func (s *homeState) updateSlowness(latency, median time.Duration, now time.Time) {
	if median <= 0 {
		return
	}
	ratio := float64(latency) / float64(median)
	if now.Sub(s.slownessAt) >= repeatableMaxAge {
		s.slowness = ratio
	}
	s.slowness += (ratio - s.slowness) * slownessWeight
	s.slownessAt = now
}

// medianErrorRate returns the median error rate of the candidates. A rate that all homes
// have in common is caused further down the call chain.
func (b *choiceBuffers) medianErrorRate() float64 {
	b.errorRates = b.errorRates[:0]
	for i := range b.candidates {
		b.errorRates = append(b.errorRates, b.candidates[i].stats.errorRate)
	}
	return lowerMedian(b.errorRates)
}

// medianLatency returns the median of the known latencies, which is the estimate for homes
// whose latency is unknown. It returns zero if no latency is known.
func (b *choiceBuffers) medianLatency() time.Duration {
	b.latencies = b.latencies[:0]
	for i := range b.candidates {
		if latency := b.candidates[i].stats.latency; latency > 0 {
			b.latencies = append(b.latencies, latency)
		}
	}
	return lowerMedian(b.latencies)
}

// lowerMedian returns the median of the values, the lower one of two, and zero if there are
// none. It reorders the values (Hoare's quickselect, in linear time on average).
func lowerMedian[T cmp.Ordered](values []T) T {
	if len(values) == 0 {
		var zero T
		return zero
	}
	middle := (len(values) - 1) / 2
	for first, last := 0, len(values)-1; first < last; {
		below, above := partition(values, first, last)
		switch {
		case middle <= below:
			last = below
		case middle >= above:
			first = above
		default:
			return values[middle]
		}
	}
	return values[middle]
}

// partition reorders the values from first to last around one of them. Those up to below are at
// most as great, those from above on at least as great, and those in between equal to it.
func partition[T cmp.Ordered](values []T, first, last int) (below, above int) {
	pivot := values[first+(last-first)/2]
	low, high := first, last
	for low <= high {
		for values[low] < pivot {
			low++
		}
		for values[high] > pivot {
			high--
		}
		if low <= high {
			values[low], values[high] = values[high], values[low]
			low++
			high--
		}
	}
	return high, low
}
