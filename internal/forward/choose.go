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
	// preferred to one in the node's own.
	remoteFactor = 2.0
	// failureFactor is how much dearer a home is whose calls all fail, and
	// onceFailureFactor that for requests that can't be repeated.
	failureFactor     = 12.0
	onceFailureFactor = 40.0
	// jitter spreads the choices of nodes that know the same.
	jitter = 0.2
)

// choose returns the home with the least expected cost that was not tried yet,
// nil if there is none. A suspected home is chosen only for a first try where no
// other is left.
func (f *Forwarder) choose(q *request) *registry.Home {
	now := f.now()
	var best, fallback *registry.Home
	least, leastFallback := math.Inf(1), math.Inf(1)
	candidates := f.directory.Homes(q.service)
	common := f.commonLatency(candidates, q.route.Name, now)
	for _, home := range candidates {
		if contains(q.excluded, home) {
			continue
		}
		state := f.homes.state(home.Address)
		cost := f.cost(q, home, state.standing(home, q.route.Name, now), common)
		switch {
		case state.usable(home, now):
			if cost < least {
				best, least = home, cost
			}
		case cost < leastFallback && !state.isDeparted(home, now):
			fallback, leastFallback = home, cost
		}
	}
	if best == nil && len(q.excluded) == 0 {
		return fallback
	}
	return best
}

// commonLatency returns the mean of the known latencies, which stands for those
// of homes that are not known.
func (f *Forwarder) commonLatency(homes []*registry.Home, route string, now time.Time) time.Duration {
	var sum time.Duration
	known := 0
	for _, home := range homes {
		if latency := f.homes.state(home.Address).standing(home, route, now).latency; latency > 0 {
			sum += latency
			known++
		}
	}
	if known == 0 {
		return time.Millisecond
	}
	return sum / time.Duration(known)
}

// cost returns what a call at the home is expected to cost, in seconds of
// latency.
func (f *Forwarder) cost(q *request, home *registry.Home, s standing, common time.Duration) float64 {
	latency := s.latency
	if latency == 0 {
		latency = common
	}
	cost := latency.Seconds() * (1 + filling*min(s.occupancy, comfortable))
	if s.occupancy > comfortable {
		cost *= 1 + crowding*(s.occupancy-comfortable)/(1-comfortable)
	}
	factor := failureFactor
	if q.route.Kind == routetable.Once {
		factor = onceFailureFactor
	}
	cost *= 1 + factor*s.failures
	if home.Zone != f.config.Zone {
		cost *= remoteFactor
	}
	return cost * (1 + jitter*rand.Float64())
}

func contains(homes []*registry.Home, home *registry.Home) bool {
	for _, other := range homes {
		if other.Address == home.Address {
			return true
		}
	}
	return false
}
