package forward

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/routetable"
)

const (
	// kneeOccupancy is the occupancy up to which calls at a home hardly slow each other
	// down. aboveKneeCost is the relative cost increase from there to a full home, and
	// belowKneeCost scales the increase up to there.
	kneeOccupancy = 0.6
	aboveKneeCost = 2.0
	belowKneeCost = 0.5
	// remoteFactor is how many times cheaper a home in another zone must be to be
	// preferred to one in the node's own zone. It grows by one per bytesPerFactor of the
	// average answer size, up to maxRemoteFactor, because these bytes cross zones, but
	// only while the usual latency is at most ampleLatencyShare of the route's objective:
	// then the added latency does not matter.
	remoteFactor      = 2.0
	maxRemoteFactor   = 12.0
	bytesPerFactor    = 500.0
	ampleLatencyShare = 0.4
	// spareOccupancy is the occupancy below which a home has room for more calls, and
	// lowFailureRate the rate of failed calls below which it counts as healthy.
	spareOccupancy = 0.85
	lowFailureRate = 0.1
	// failureFactor is the relative cost increase of a home whose calls all fail, and
	// onceFailureFactor the same for requests that must not run twice.
	failureFactor     = 12.0
	onceFailureFactor = 40.0
	// stoppingFactor multiplies the cost of a home that is about to stop.
	stoppingFactor = 8.0
	// slowHomeRatio is the ratio to the latency elsewhere above which a home counts as
	// slow on all routes: targets normally differ in speed.
	slowHomeRatio = 2.0
	// safeTimeShare is the share of the remaining time up to which a call's usual latency
	// makes hardly any call late.
	safeTimeShare = 0.4
	// jitter spreads the choices of nodes that have the same information.
	jitter = 0.2
)

// candidate is a home that a request may be offered to.
type candidate struct {
	home  *registry.Home
	state *homeState
	stats homeStats
}

// candidates returns the homes of the request's service that it was not offered to yet.
func (f *Forwarder) candidates(q *request, now time.Time) []candidate {
	homes := f.directory.Homes(q.service)
	candidates := make([]candidate, 0, len(homes))
	median := f.homes.statsOf(q.route.Name).latency
	for _, home := range homes {
		if contains(q.excluded, home) || contains(q.rejected, home) {
			continue
		}
		state := f.homes.state(home.Address)
		candidates = append(candidates, candidate{home: home, state: state, stats: state.stats(home, q.route, median, now)})
	}
	return candidates
}

// choice is the home that a request is offered to next.
type choice struct {
	home *registry.Home
	// latency is the expected latency of a call there.
	latency time.Duration
}

// choose returns the untried home with the least expected cost, none if there is none. A
// suspected home is chosen only for the first offer and only if no other is left.
func (f *Forwarder) choose(q *request) choice {
	now := f.now()
	var best, fallback choice
	least, leastFallback := math.Inf(1), math.Inf(1)
	candidates := f.candidates(q, now)
	median := medianLatency(candidates)
	if median > 0 {
		f.homes.setLatency(q.route.Name, median)
	}
	usualErrors := medianErrors(candidates)
	remote := remoteFactor
	if len(q.excluded) == 0 && f.roomInZone(candidates, now) {
		remote = f.remoteFactorOf(q.route)
	}
	for _, c := range candidates {
		excess := max(c.stats.errors-usualErrors, 0)
		c.stats.failures += excess * (1 - c.stats.failures)
		latency := expectedLatency(c.stats, median, q.route.Kind)
		cost := f.cost(q, c, latency, q.deadline.Sub(now), remote)
		switch {
		case c.state.usable(c.home, now):
			if cost < least {
				best, least = choice{c.home, latency}, cost
			}
		case cost < leastFallback && !c.state.isDeparted(c.home, now):
			fallback, leastFallback = choice{c.home, latency}, cost
		}
	}
	if best.home == nil && len(q.excluded) == 0 {
		return fallback
	}
	return best
}

// cost returns the expected cost of a call at the home, in seconds of latency. It grows
// with the rate of failed calls, and is remote times as high for a home in another zone.
func (f *Forwarder) cost(q *request, c candidate, latency, remaining time.Duration, remote float64) float64 {
	s := c.stats
	cost := latency.Seconds() * (1 + belowKneeCost*min(s.occupancy, kneeOccupancy))
	if s.occupancy > kneeOccupancy {
		cost *= 1 + aboveKneeCost*(s.occupancy-kneeOccupancy)/(1-kneeOccupancy)
	}
	if q.route.Kind == routetable.Once {
		failing := 1 - (1-s.failures)*(1-lateProbability(latency, remaining))
		cost *= 1 + onceFailureFactor*failing
	} else {
		cost *= 1 + failureFactor*s.failures
	}
	if s.stopping {
		cost *= stoppingFactor
	}
	if c.home.Zone != f.config.Zone {
		cost *= remote
	}
	return cost * (1 + jitter*rand.Float64())
}

// roomInZone reports whether a home in the node's own zone is healthy and has room. If
// none is, calls to other zones are not held back.
func (f *Forwarder) roomInZone(candidates []candidate, now time.Time) bool {
	for _, c := range candidates {
		s := c.stats
		if c.home.Zone == f.config.Zone && s.occupancy < spareOccupancy && s.failures < lowFailureRate && !s.stopping && c.state.usable(c.home, now) {
			return true
		}
	}
	return false
}

// remoteFactorOf returns how many times cheaper a home in another zone must be for calls
// of the route.
func (f *Forwarder) remoteFactorOf(route *routetable.Route) float64 {
	stats := f.homes.statsOf(route.Name)
	if stats.latency > time.Duration(ampleLatencyShare*float64(route.Objective)) {
		return remoteFactor
	}
	return min(remoteFactor+stats.answerBytes/bytesPerFactor, maxRemoteFactor)
}

// expectedLatency returns the expected latency of a call at the home. For a request that
// must not run twice it is the worst of the known estimates. Other requests can be
// retried elsewhere, and load is spread better without the noise of estimates from few
// calls.
func expectedLatency(s homeStats, median time.Duration, kind routetable.Kind) time.Duration {
	median = max(median, time.Millisecond)
	latency := s.latency
	if latency == 0 {
		latency = median
	}
	if kind != routetable.Once {
		return latency
	}
	if s.slowness > slowHomeRatio {
		latency = max(latency, time.Duration(float64(median)*s.slowness))
	}
	return max(latency, s.pendingLatency)
}

// lateProbability estimates the share of calls that do not end in the remaining time,
// from their usual latency.
func lateProbability(latency, remaining time.Duration) float64 {
	if remaining <= 0 {
		return 1
	}
	used := float64(latency) / float64(remaining)
	return min(max((used-safeTimeShare)/(1-safeTimeShare), 0), 1)
}

func contains(homes []*registry.Home, home *registry.Home) bool {
	for _, other := range homes {
		if other.Address == home.Address {
			return true
		}
	}
	return false
}
