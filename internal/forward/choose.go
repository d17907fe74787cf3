package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/routetable"
)

const (
	// kneeOccupancy is the occupancy up to which concurrent calls hardly increase the
	// latency of a home. belowKneeCost is the relative cost increase per unit of occupancy
	// up to the knee, and aboveKneeCost the relative increase from the knee to a full home.
	kneeOccupancy = 0.6
	aboveKneeCost = 2.0
	belowKneeCost = 0.5
	// crossZoneFactor multiplies the cost of a home in another zone. Because responses
	// cause traffic between zones, the factor grows by one per bytesPerCrossZoneFactor
	// bytes of the average response size, up to maxCrossZoneFactor. It grows only while
	// the usual latency is at most lowLatencyShare of the route's objective: then the
	// latency that the preference for the node's own zone adds does not matter.
	crossZoneFactor         = 2.0
	maxCrossZoneFactor      = 12.0
	bytesPerCrossZoneFactor = 500.0
	lowLatencyShare         = 0.4
	// spareOccupancy is the occupancy below which a home has spare capacity, and
	// lowFailureRate the rate of failed calls below which it counts as healthy.
	spareOccupancy = 0.85
	lowFailureRate = 0.1
	// failureFactor is the relative cost increase of a home whose calls all fail, and
	// onceFailureFactor the same for requests that must not run twice.
	failureFactor     = 12.0
	onceFailureFactor = 40.0
	// stoppingFactor multiplies the cost of a home that has reported that it is about to
	// stop.
	stoppingFactor = 8.0
	// slowHomeRatio is the ratio of a home's latency to that of other homes above which it
	// counts as slow on all routes. Lower ratios are normal differences in speed.
	slowHomeRatio = 2.0
	// safeTimeShare is the ratio of usual latency to remaining time up to which hardly any
	// call misses its deadline.
	safeTimeShare = 0.4
	// latencyTolerance is the difference in latency that does not make a home more expensive. The
	// reported latencies of equal homes differ by up to a millisecond because of scheduling; without
	// the tolerance, two thirds of the calls of a service whose calls take 6 ms went to one of three
	// such homes.
	latencyTolerance = 1500 * time.Microsecond
	// jitter is the maximum random increase of a cost. It prevents nodes with the same
	// information from all choosing the same home.
	jitter = 0.2
)

// candidate is a home that a request may be offered to.
type candidate struct {
	home  *registry.Home
	state *homeState
	stats homeStats
	// latency is the expected latency of a call, set by the choice by pace.
	latency time.Duration
	// usable and unavailable are those of the state at the time of the choice.
	usable, unavailable bool
	// rateLimited reports whether the home's target announced a rate limit, and paused is the
	// time until the limit is expected to leave room for the request.
	rateLimited bool
	paused      time.Duration
}

// choiceBuffers are slices that a choice needs, reused by later choices.
type choiceBuffers struct {
	candidates []candidate
	latencies  []time.Duration
	errorRates []float64
}

var choiceBuffersPool = sync.Pool{New: func() any { return new(choiceBuffers) }}

// release returns the buffers to the pool. It clears them, so that they refer to no homes that
// have left.
func (b *choiceBuffers) release() {
	clear(b.candidates)
	choiceBuffersPool.Put(b)
}

// candidates fills the buffers with the homes of the request's service that have neither been
// excluded nor rejected the request, and whose targets are not leaving. The result is valid until
// the buffers are released. usual is the usual latency of the route, zero if unknown.
func (f *Forwarder) candidates(q *request, now time.Time, buffers *choiceBuffers) (candidates []candidate, usual time.Duration) {
	homes := f.directory.Homes(q.service)
	states, usual := f.homes.statesOf(q.service, homes, q.route.Name)
	buffers.candidates = slices.Grow(buffers.candidates[:0], len(homes))
	for i, home := range homes {
		if containsHome(q.excluded, home) || containsHome(q.rejected, home) {
			continue
		}
		c := candidate{home: home, state: states[i], rateLimited: home.RateLimit != nil}
		if f.announced.any() && !c.applyAnnouncements(&f.announced, q.rank.Level, now) {
			continue
		}
		buffers.candidates = append(buffers.candidates, c)
		buffers.candidates[len(buffers.candidates)-1].observe(q.route, usual, now)
	}
	return buffers.candidates, usual
}

// applyAnnouncements sets what follows from the announcements of the home's target. It returns false
// if the target is leaving.
func (c *candidate) applyAnnouncements(targets *announcedTargets, level criticality.Level, now time.Time) bool {
	announced, _ := targets.get(c.home.Instance)
	c.rateLimited = c.rateLimited || announced.Rate.Limited
	c.paused = announced.pausedFor(level, now)
	return !announced.Leaving
}

// choice is the home that a request is offered to next.
type choice struct {
	home *registry.Home
	// latency is the expected latency of a call there.
	latency time.Duration
	// paused is set if there is no home because of rate limits: the time until one of them is
	// expected to leave room.
	paused time.Duration
}

// choose returns the candidate with the lowest expected cost; its home is nil if there is
// none. A suspected home is chosen only for the first offer, and only if there is no other.
// Homes whose targets announced a rate limit come last once one of them has refused the
// request, and are not chosen while the limit leaves no room.
func (f *Forwarder) choose(q *request) choice {
	now := f.now()
	buffers := choiceBuffersPool.Get().(*choiceBuffers)
	defer buffers.release()
	candidates, usual := f.candidates(q, now, buffers)
	median := buffers.medianLatency()
	if median > 0 && median != usual {
		f.homes.setLatency(q.route.Name, median)
	}
	baselineErrorRate := buffers.medianErrorRate()
	zoneFactor := crossZoneFactor
	byPace := buffers.reportPace()
	if !byPace && len(q.excluded) == 0 && f.zoneHasCapacity(candidates, now) {
		zoneFactor = f.crossZoneFactorOf(q.route)
	}
	candidates, paused := q.withRoom(candidates)
	for i := range candidates {
		stats := &candidates[i].stats
		excessErrorRate := max(stats.errorRate-baselineErrorRate, 0)
		stats.failureRate += excessErrorRate * (1 - stats.failureRate)
	}
	var best, fallback choice
	if byPace {
		best, fallback = f.earliestCompletion(q, candidates, median, now)
	} else {
		best, fallback = f.lowestCost(q, candidates, median, zoneFactor, now)
	}
	if best.home == nil && paused > 0 {
		return choice{paused: paused}
	}
	if best.home == nil && len(q.excluded) == 0 {
		return fallback
	}
	return best
}

// lowestCost returns the usable candidate with the lowest cost, and the suspected one with the
// lowest cost.
func (f *Forwarder) lowestCost(q *request, candidates []candidate, median time.Duration, zoneFactor float64, now time.Time) (best, fallback choice) {
	least, leastFallback := math.Inf(1), math.Inf(1)
	remaining := q.deadline.Sub(now)
	lowest := lowestLatency(candidates, median, q.route.Kind)
	for i := range candidates {
		c := &candidates[i]
		latency := expectedLatency(&c.stats, median, q.route.Kind)
		cost := f.cost(q, c, max(latency-latencyTolerance, lowest), remaining, zoneFactor)
		switch {
		case c.usable:
			if cost < least {
				best, least = choice{home: c.home, latency: latency}, cost
			}
		case cost < leastFallback && !c.unavailable:
			fallback, leastFallback = choice{home: c.home, latency: latency}, cost
		}
	}
	return best, fallback
}

// lowestLatency returns the lowest expected latency of the usable candidates, zero if there are none.
func lowestLatency(candidates []candidate, median time.Duration, kind routetable.Kind) time.Duration {
	lowest := time.Duration(0)
	for i := range candidates {
		if c := &candidates[i]; c.usable {
			lowest = shorter(lowest, expectedLatency(&c.stats, median, kind))
		}
	}
	return lowest
}

// earliestCompletion returns the usable candidate at which a call is expected to complete first
// at the current pace of targets, and the same of the suspected candidates.
func (f *Forwarder) earliestCompletion(q *request, candidates []candidate, median time.Duration, now time.Time) (best, fallback choice) {
	var usable, suspected pace.Selection
	remaining := q.deadline.Sub(now)
	for i := range candidates {
		c := &candidates[i]
		estimate := c.estimate(median, q.route.Kind, now)
		risk := c.stats.riskFactor(q.route.Kind, estimate.Time(), remaining)
		c.latency = c.durationBound(estimate, median, q.route.Kind)
		added := pace.Candidate{Index: i, Estimate: estimate, Risk: risk, OtherZone: c.home.Zone != f.config.Zone, Random: rand.Float64()}
		switch {
		case c.usable:
			usable.Add(added)
		case !c.unavailable:
			suspected.Add(added)
		}
	}
	distance := pace.Distance(q.route.Objective)
	if i, found := usable.Best(distance); found {
		best = choice{home: candidates[i].home, latency: candidates[i].latency}
	}
	if i, found := suspected.Best(distance); found {
		fallback = choice{home: candidates[i].home, latency: candidates[i].latency}
	}
	return best, fallback
}

// estimate returns the expected time that a call takes at the home at its current pace. For a
// request that must not run twice it is at least as long as the other known estimates.
func (c *candidate) estimate(median time.Duration, kind routetable.Kind, now time.Time) pace.Estimate {
	home := c.state.paced(c.home, now)
	home.Usual = expectedLatency(&c.stats, median, routetable.Repeatable)
	estimate := home.Estimate()
	if kind == routetable.AtMostOnce {
		estimate.Duration = max(estimate.Duration, c.stats.cautiousLatency(median)-estimate.Wait)
	}
	return estimate
}

// durationBound returns the expected duration of a call at the home once it has a slot. It decides
// whether the call would miss its deadline: the wait does not count, because a queue orders calls
// by rank, so that an important one may not have to wait.
func (c *candidate) durationBound(estimate pace.Estimate, median time.Duration, kind routetable.Kind) time.Duration {
	if kind == routetable.AtMostOnce {
		return max(estimate.Duration, c.stats.cautiousLatency(median))
	}
	return estimate.Duration
}

const (
	// maxLimitedRefusals is the number of refusals because of rate limits after which a request
	// is offered only to homes whose targets are not known to have one.
	maxLimitedRefusals = 2
	// maxRateRefusals limits the refusals of one request because of rate limits.
	maxRateRefusals = 10
)

// withRoom returns the candidates that are expected to have room under the rate limits of their
// targets, and the time until the first of the others is. Once a limit has led to a refusal,
// homes without a limit take precedence. A nested call is offered to a home without room if
// there is no other: homes must see all nested calls, because the thresholds that they
// report for the calling routes depend on it.
func (q *request) withRoom(candidates []candidate) (withRoom []candidate, paused time.Duration) {
	if !slices.ContainsFunc(candidates, isRateLimited) {
		return candidates, 0
	}
	unlimited := false
	withRoom = make([]candidate, 0, len(candidates))
	for _, c := range candidates {
		switch {
		case c.paused > 0:
			paused = shorter(paused, c.paused)
			continue
		case c.rateLimited && q.rateRefusals >= maxLimitedRefusals:
			continue
		}
		unlimited = unlimited || !c.rateLimited && c.usable
		withRoom = append(withRoom, c)
	}
	switch {
	case len(withRoom) == 0 && q.nested && q.rateRefusals == 0:
		return candidates, 0
	case unlimited && q.rateRefusals > 0:
		withRoom = slices.DeleteFunc(withRoom, isRateLimited)
	}
	return withRoom, paused
}

// isRateLimited reports whether the candidate's target announced a rate limit. Only such
// candidates are paused.
func isRateLimited(c candidate) bool { return c.rateLimited }

// shorter returns the shorter of two durations, where zero stands for none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// cost returns the expected cost of a call at the home, in seconds of latency. The cost
// grows with occupancy and failure rate and is multiplied by zoneFactor for a home in
// another zone.
func (f *Forwarder) cost(q *request, c *candidate, latency, remaining time.Duration, zoneFactor float64) float64 {
	s := &c.stats
	cost := latency.Seconds() * (1 + belowKneeCost*min(s.occupancy, kneeOccupancy))
	if s.occupancy > kneeOccupancy {
		cost *= 1 + aboveKneeCost*(s.occupancy-kneeOccupancy)/(1-kneeOccupancy)
	}
	cost *= s.riskFactor(q.route.Kind, latency, remaining)
	if c.home.Zone != f.config.Zone {
		cost *= zoneFactor
	}
	return cost * (1 + jitter*rand.Float64())
}

// riskFactor returns the factor by which a call at the home costs more because it may fail or miss
// its deadline, or because the home is about to stop.
func (s *homeStats) riskFactor(kind routetable.Kind, latency, remaining time.Duration) float64 {
	factor := 1 + failureFactor*s.failureRate
	if kind == routetable.AtMostOnce {
		failureProbability := 1 - (1-s.failureRate)*(1-lateProbability(latency, remaining))
		factor = 1 + onceFailureFactor*failureProbability
	}
	if s.stopping {
		factor *= stoppingFactor
	}
	return factor
}

// reportPace reports whether a candidate reports the pace of its target.
func (b *choiceBuffers) reportPace() bool {
	for i := range b.candidates {
		if b.candidates[i].stats.reportsPace {
			return true
		}
	}
	return false
}

// zoneHasCapacity reports whether a home in the node's own zone is healthy and has spare
// capacity. Otherwise crossZoneFactor is not increased by the response size.
func (f *Forwarder) zoneHasCapacity(candidates []candidate, now time.Time) bool {
	for i := range candidates {
		c := &candidates[i]
		s := &c.stats
		if c.paused == 0 && c.home.Zone == f.config.Zone && s.occupancy < spareOccupancy && s.failureRate < lowFailureRate && !s.stopping && c.state.usable(c.home, now) {
			return true
		}
	}
	return false
}

// crossZoneFactorOf returns the factor for the cost of homes in other zones, given the usual
// latency and response size of the route.
func (f *Forwarder) crossZoneFactorOf(route *routetable.Route) float64 {
	stats := f.homes.statsOf(route.Name)
	if stats.latency > time.Duration(lowLatencyShare*float64(route.Objective)) {
		return crossZoneFactor
	}
	return min(crossZoneFactor+stats.responseBytes/bytesPerCrossZoneFactor, maxCrossZoneFactor)
}

// expectedLatency returns the expected latency of a call at the home. For a request that
// must not run twice it is the highest of the known estimates. For other requests, which can
// be retried elsewhere, estimates from few calls are left out, because their noise would
// make the load distribution less even.
func expectedLatency(s *homeStats, median time.Duration, kind routetable.Kind) time.Duration {
	median = max(median, time.Millisecond)
	latency := s.latency
	if latency == 0 {
		latency = median
	}
	if kind != routetable.AtMostOnce {
		return latency
	}
	return max(latency, s.cautiousLatency(median))
}

// cautiousLatency returns the higher of the estimates that follow from the latencies of other routes
// and from this node's pending calls, zero if there are none. Calls of a target that is slow on
// other routes, or that has not answered for long, may miss their deadline.
func (s *homeStats) cautiousLatency(median time.Duration) time.Duration {
	if s.slowness > slowHomeRatio {
		return max(time.Duration(float64(median)*s.slowness), s.pendingLatency)
	}
	return s.pendingLatency
}

// lateProbability estimates, from the usual latency, the probability that a call does not
// finish within the remaining time.
func lateProbability(latency, remaining time.Duration) float64 {
	if remaining <= 0 {
		return 1
	}
	used := float64(latency) / float64(remaining)
	return min(max((used-safeTimeShare)/(1-safeTimeShare), 0), 1)
}

func containsHome(homes []*registry.Home, home *registry.Home) bool {
	for _, other := range homes {
		if other.Address == home.Address {
			return true
		}
	}
	return false
}
