package forward

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/routetable"
)

const (
	// comfortable is the occupancy up to which calls at a home hardly slow each
	// other; crowding is by how much the cost grows from there to a full home, and
	// filling by how much up to there.
	comfortable = 0.6
	crowding    = 2.0
	filling     = 0.5
	// remoteFactor is how much cheaper a home in another zone must be to be
	// preferred to one in the node's own. It grows by one with each bytesPerFactor of
	// the usual answer, up to maxRemoteFactor, as these bytes cross between zones,
	// while calls usually take no more than the part ampleTime of their objective:
	// then nobody notices the time that it costs.
	remoteFactor    = 2.0
	maxRemoteFactor = 12.0
	bytesPerFactor  = 500.0
	ampleTime       = 0.4
	// roomy is the occupancy under which a home has room for more calls, and
	// fewFailures the part of failed calls under which it does well.
	roomy       = 0.85
	fewFailures = 0.1
	// failureFactor is how much dearer a home is whose calls all fail, and
	// onceFailureFactor that for requests that can't be repeated.
	failureFactor     = 12.0
	onceFailureFactor = 40.0
	// stoppingFactor is how much dearer a home is that is about to stop.
	stoppingFactor = 8.0
	// notablySlow is how many times as long as elsewhere calls must take for a home
	// to count as slow on all routes: targets differ in speed.
	notablySlow = 2.0
	// hardlyLate is the part of the remaining time up to which a call's usual time
	// leaves hardly any call late.
	hardlyLate = 0.4
	// jitter spreads the choices of nodes that know the same.
	jitter = 0.2
)

// candidate is a home that a request may go to.
type candidate struct {
	home     *registry.Home
	state    *homeState
	standing standing
}

// candidates returns the homes of the request's service that it was not offered
// to yet.
func (f *Forwarder) candidates(q *request, now time.Time) []candidate {
	homes := f.directory.Homes(q.service)
	candidates := make([]candidate, 0, len(homes))
	common := f.homes.usualOf(q.route.Name).latency
	for _, home := range homes {
		if contains(q.excluded, home) || contains(q.rejected, home) {
			continue
		}
		state := f.homes.state(home.Address)
		candidates = append(candidates, candidate{home: home, state: state, standing: state.standing(home, q.route, common, now)})
	}
	return candidates
}

// choice is the home that a request goes to next.
type choice struct {
	home *registry.Home
	// latency is how long a call there is likely to take.
	latency time.Duration
}

// choose returns the home with the least expected cost that was not tried yet,
// none if there is none. A suspected home is chosen only for a first try where no
// other is left.
func (f *Forwarder) choose(q *request) choice {
	now := f.now()
	var best, fallback choice
	least, leastFallback := math.Inf(1), math.Inf(1)
	candidates := f.candidates(q, now)
	common := commonLatency(candidates)
	if common > 0 {
		f.homes.setLatency(q.route.Name, common)
	}
	errors := commonErrors(candidates)
	remote := remoteFactor
	if len(q.excluded) == 0 && f.roomInZone(candidates, now) {
		remote = f.remoteFactorOf(q.route)
	}
	for _, c := range candidates {
		excess := max(c.standing.errors-errors, 0)
		c.standing.failures += excess * (1 - c.standing.failures)
		latency := expectedLatency(c.standing, common, q.route.Kind)
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

// cost returns what a call at the home is expected to cost, in seconds of
// latency. The part of calls that fail weighs many times as much, and a home in
// another zone remote times as much.
func (f *Forwarder) cost(q *request, c candidate, latency, remaining time.Duration, remote float64) float64 {
	s := c.standing
	cost := latency.Seconds() * (1 + filling*min(s.occupancy, comfortable))
	if s.occupancy > comfortable {
		cost *= 1 + crowding*(s.occupancy-comfortable)/(1-comfortable)
	}
	if q.route.Kind == routetable.Once {
		failing := 1 - (1-s.failures)*(1-lateness(latency, remaining))
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

// roomInZone reports whether a home in the node's own zone has room and does well.
// Where none does, calls are not held back from other zones.
func (f *Forwarder) roomInZone(candidates []candidate, now time.Time) bool {
	for _, c := range candidates {
		s := c.standing
		if c.home.Zone == f.config.Zone && s.occupancy < roomy && s.failures < fewFailures && !s.stopping && c.state.usable(c.home, now) {
			return true
		}
	}
	return false
}

// remoteFactorOf returns how much cheaper a home in another zone must be for calls
// of the route.
func (f *Forwarder) remoteFactorOf(route *routetable.Route) float64 {
	usual := f.homes.usualOf(route.Name)
	if usual.latency > time.Duration(ampleTime*float64(route.Objective)) {
		return remoteFactor
	}
	return min(remoteFactor+usual.bytes/bytesPerFactor, maxRemoteFactor)
}

// expectedLatency returns how long a call at the home is likely to take. For a
// request that must not run twice it is the worst of what is known; others can
// go elsewhere, and load is spread better without the noise of few calls.
func expectedLatency(s standing, common time.Duration, kind routetable.Kind) time.Duration {
	common = max(common, time.Millisecond)
	latency := s.latency
	if latency == 0 {
		latency = common
	}
	if kind != routetable.Once {
		return latency
	}
	if s.slowness > notablySlow {
		latency = max(latency, time.Duration(float64(common)*s.slowness))
	}
	return max(latency, s.waited)
}

// lateness returns the part of calls that are likely not to end in the time that
// remains, by their usual time.
func lateness(latency, remaining time.Duration) float64 {
	if remaining <= 0 {
		return 1
	}
	used := float64(latency) / float64(remaining)
	return min(max((used-hardlyLate)/(1-hardlyLate), 0), 1)
}

func contains(homes []*registry.Home, home *registry.Home) bool {
	for _, other := range homes {
		if other.Address == home.Address {
			return true
		}
	}
	return false
}
