package forward

import (
	"slices"
	"time"

	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/routetable"
)

const (
	// repeatableFresh is how long what a home told of its latencies and failures is
	// believed for requests that may run again. A home that did badly is tried
	// again after that.
	repeatableFresh = 2 * time.Second
	// onceFresh is the same for requests that must not run twice: they are not the
	// ones to find out whether a home does well again.
	onceFresh = 6 * time.Second
	// slowFresh is how long a home is believed to be slow, at verySlow times the
	// latency that is common elsewhere. Finding out again costs a late request.
	slowFresh = 6 * time.Second
	verySlow  = 3
	// stoppingFresh is how long a home is believed that it is about to stop.
	stoppingFresh = 3 * time.Second
	// slownessWeight is the part of a home's slowness that one report makes up.
	slownessWeight = 0.25
	percent        = 100
)

// freshFor returns how long reports are believed for requests of a kind.
func freshFor(kind routetable.Kind) time.Duration {
	if kind == routetable.Once {
		return onceFresh
	}
	return repeatableFresh
}

// waitingCalls sums the calls of one route that wait for a home.
type waitingCalls struct {
	count int
	// since sums when they began, as time since the first of them.
	first time.Time
	since time.Duration
}

func (w waitingCalls) with(began time.Time) waitingCalls {
	if w.count == 0 {
		w = waitingCalls{first: began}
	}
	w.count++
	w.since += began.Sub(w.first)
	return w
}

func (w waitingCalls) without(began time.Time) waitingCalls {
	w.count--
	w.since -= began.Sub(w.first)
	return w
}

// meanAge returns for how long the calls have waited on the average.
func (w waitingCalls) meanAge(now time.Time) time.Duration {
	if w.count == 0 {
		return 0
	}
	return now.Sub(w.first) - w.since/time.Duration(w.count)
}

// standing is what a choice between homes rests on.
type standing struct {
	// occupancy is the part of the home's limit that is in use, above 1 when calls
	// wait.
	occupancy float64
	// latency is the usual time of a call of the route, zero if not known.
	latency time.Duration
	// slowness is how many times as long as elsewhere calls of any route take, zero
	// if not known.
	slowness float64
	// waited is the expected time of a call as this node's own waiting calls show
	// it, zero if none waits.
	waited time.Duration
	// stopping tells that the home is about to stop.
	stopping bool
	// failures is the part of calls that fail at the target, and errors that of
	// answers which say that the target failed.
	failures, errors float64
}

func (s *homeState) standing(home *registry.Home, route *routetable.Route, common time.Duration, now time.Time) standing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limit := max(home.Slots, 1)
	if s.load.Limit > 0 {
		limit = s.load.Limit
	}
	busy := len(s.inFlight)
	if now.Sub(s.loadAt) < loadFresh {
		busy = max(busy, s.load.InFlight+s.load.Queued)
	}
	fresh := freshFor(route.Kind)
	// Calls that wait are on the average halfway through.
	known := standing{stopping: s.stopping(now), occupancy: float64(busy) / float64(limit), waited: 2 * s.waiting[route.Name].meanAge(now)}
	if latency := s.latencies[route.Name]; now.Sub(latency.at) < fresh || (now.Sub(latency.at) < slowFresh && latency.value > verySlow*common && common > 0) {
		known.latency = latency.value
	}
	if now.Sub(s.slownessAt) < fresh {
		known.slowness = s.slowness
	}
	if now.Sub(s.loadAt) < fresh {
		known.failures = float64(s.load.Failures) / percent
		known.errors = float64(s.load.Errors) / percent
	}
	return known
}

// isStopping reports whether the home told that it is about to stop.
func (s *homeState) isStopping(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopping(now)
}

func (s *homeState) stopping(now time.Time) bool {
	return s.load.Stopping && now.Sub(s.loadAt) < stoppingFresh
}

// report notes what the home told on a call of the route, which takes the common
// latency at other homes; zero if that is not known.
func (s *homeState) report(route string, load peering.Load, common time.Duration, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if load.Latency > 0 {
		if s.latencies == nil || len(s.latencies) >= maxLatencies {
			s.latencies = make(map[string]knownLatency)
		}
		s.latencies[route] = knownLatency{value: load.Latency, at: now}
		s.noteSlowness(load.Latency, common, now)
	}
	s.load = load
	s.loadAt = now
}

func (s *homeState) noteSlowness(latency, common time.Duration, now time.Time) {
	if common <= 0 {
		return
	}
	ratio := float64(latency) / float64(common)
	if now.Sub(s.slownessAt) >= repeatableFresh {
		s.slowness = ratio
	}
	s.slowness += (ratio - s.slowness) * slownessWeight
	s.slownessAt = now
}

// commonErrors returns the median part of errors. What all homes have in common
// has its cause further down the chain.
func commonErrors(candidates []candidate) float64 {
	if len(candidates) == 0 {
		return 0
	}
	errors := make([]float64, len(candidates))
	for i, c := range candidates {
		errors[i] = c.standing.errors
	}
	slices.Sort(errors)
	return errors[(len(errors)-1)/2]
}

// commonLatency returns the median of the known latencies of a route, which
// stands for those of homes that are not known.
func commonLatency(candidates []candidate) time.Duration {
	known := make([]time.Duration, 0, len(candidates))
	for _, c := range candidates {
		if c.standing.latency > 0 {
			known = append(known, c.standing.latency)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
