package forward

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/store"
)

const (
	paceZones, paceHomesPerZone, paceNodesPerZone = 3, 6, 6

	paceSlots, paceMaxQueue = 16, 64
	paceUsual               = 40 * time.Millisecond
	pacePhase               = 600 * time.Millisecond
	paceSlowPercent         = 250
	paceDelay               = time.Millisecond
)

// paceSimulation simulates, in virtual time, nodes in several zones that call homes of different
// speeds, with slots and a queue. A share of the homes is slow in each phase.
type paceSimulation struct {
	eventLoop
	start  time.Time
	random *rand.Rand
	route  *routetable.Route
	homes  map[string]*pacedHome
	order  []*pacedHome
	// demand returns the requests of a zone as a share of its usual capacity.
	demand    func(zone int, elapsed time.Duration) float64
	slowShare float64
	// withPace is set if homes report their pace, so that nodes choose by it.
	withPace bool
	// withMoves is set if homes give calls back, and moved the number of these calls.
	withMoves bool
	moved     int
	// times are the times that calls spent at homes. excess is the number of calls by which the demand of
	// zones exceeded their current capacity.
	times                   []time.Duration
	calls, refused, crossed int
	excess                  float64
}

// pacedHome is a home; latency is its estimate at the usual pace, or of the current one if it does not
// report its pace.
type pacedHome struct {
	zone           int
	speed, percent float64
	running        int
	queue          []pacedCall
	returns        pace.Returns
	latency        float64
}

// pacedCall is a call that waits at a home, which runs it or gives it back.
type pacedCall struct {
	pace.Queued
	arrived       time.Time
	run, giveBack func()
}

// measurePlacement returns a simulation whose figures cover the time after a start.
func measurePlacement(t *testing.T, seed uint64, withPace, withMoves bool, slowShare float64, demand func(int, time.Duration) float64) *paceSimulation {
	t.Helper()
	s := &paceSimulation{eventLoop: eventLoop{now: time.Unix(1000, 0)}, start: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), homes: make(map[string]*pacedHome),
		withPace: withPace, withMoves: withMoves, slowShare: slowShare, demand: demand, route: &routetable.Route{Name: "read", Kind: routetable.Repeatable, Objective: time.Second / 2}}
	clock := func() time.Time { return s.now }
	directory := registry.NewDirectory("homes/", "", nil, clock)
	for i := range paceZones * paceHomesPerZone {
		home := &pacedHome{zone: i / paceHomesPerZone, speed: []float64{0.7, 0.7, 1.6}[i%3]}
		address := simulatedAddress(i)
		record, err := cbor.Marshal(registry.Record{Instance: address, Service: "s", Zone: fmt.Sprint(home.zone), Address: address, Slots: paceSlots, State: registry.Ready})
		assert.NilError(t, err)
		directory.ApplyChanges([]store.Entry{{Key: "homes/" + address, Value: record, Revision: store.Revision(i + 1)}}, "store")
		s.homes[address], s.order = home, append(s.order, home)
	}
	for i := range paceZones * paceNodesPerZone {
		s.arrivals(&Forwarder{config: Config{Zone: fmt.Sprint(i % paceZones)}, now: clock, directory: directory}, i%paceZones)
	}
	s.nextPhase()
	s.countExcess()
	s.run(2 * time.Second)
	s.times, s.calls, s.refused, s.crossed, s.moved, s.excess = nil, 0, 0, 0, 0, 0
	s.run(8 * time.Second)
	return s
}

func (s *paceSimulation) nextPhase() {
	slow := s.random.Perm(len(s.order))[:int(math.Round(s.slowShare*float64(len(s.order))))]
	for i, home := range s.order {
		home.percent = pace.Usual
		if slices.Contains(slow, i) {
			home.percent = paceSlowPercent
		}
	}
	s.after(pacePhase, s.nextPhase)
}

// rate returns the requests of a zone per second.
func (s *paceSimulation) rate(zone int) float64 {
	return s.demand(zone, s.now.Sub(s.start)) * paceHomesPerZone * paceSlots / paceUsual.Seconds()
}

func (s *paceSimulation) countExcess() {
	const step = 10 * time.Millisecond
	for zone := range paceZones {
		excess := s.rate(zone)
		for _, home := range s.order[zone*paceHomesPerZone:][:paceHomesPerZone] {
			excess -= home.speed * paceSlots / paceUsual.Seconds() * pace.Usual / home.percent
		}
		s.excess += max(excess, 0) * step.Seconds()
	}
	s.after(step, s.countExcess)
}

func (s *paceSimulation) arrivals(node *Forwarder, zone int) {
	interval := s.random.ExpFloat64() * paceNodesPerZone / s.rate(zone)
	s.after(time.Duration(interval*float64(time.Second)), func() {
		s.calls++
		s.offer(node, &request{route: s.route, service: "s", deadline: s.now.Add(5 * time.Second)})
		s.arrivals(node, zone)
	})
}

// offer sends the request to the home that the node chooses, and to another one after a refusal.
func (s *paceSimulation) offer(node *Forwarder, q *request) {
	if q.countedOffers() == maxOffers {
		s.refused++
		return
	}
	next := node.choose(q)
	chosen := next.home
	q.setAlternative(next)
	if chosen.Zone != node.config.Zone {
		s.crossed++
	}
	q.offers++
	q.excluded = append(q.excluded, chosen)
	home, state := s.homes[chosen.Address], node.homes.state(chosen.Address)
	done := state.begin(s.route.Name, nil, s.now)
	reply := func(ran bool) {
		load := peering.Load{InFlight: home.running, Queued: len(home.queue), Limit: paceSlots, Latency: time.Duration(home.latency * float64(time.Second))}
		if s.withPace {
			load.Pace = pace.Reading{Percent: int(home.percent)}
		}
		s.after(paceDelay, func() {
			done()
			state.recordLoad(s.route.Name, load, node.homes.statsOf(s.route.Name).latency, s.now)
			if !ran {
				s.offer(node, q)
			}
		})
	}
	s.after(paceDelay, func() { s.arrive(home, q, reply) })
}

// arrive refuses, queues or runs a call at a home.
func (s *paceSimulation) arrive(home *pacedHome, q *request, reply func(ran bool)) {
	if len(home.queue) >= paceMaxQueue {
		reply(false)
		return
	}
	if q.arrived.IsZero() {
		q.arrived = s.now
	}
	giveBack := func() {
		s.moved++
		q.move = callMove{givenBack: true}
		reply(false)
	}
	home.queue = append(home.queue, pacedCall{Queued: pace.Queued{Alternative: q.move.alternative}, arrived: s.now, giveBack: giveBack, run: func() {
		home.running++
		seconds := paceUsual.Seconds() / home.speed * (0.7 + 0.6*s.random.Float64()) * home.percent / pace.Usual
		s.after(time.Duration(seconds*float64(time.Second)), func() {
			home.running--
			s.times = append(s.times, s.now.Sub(q.arrived))
			if s.withPace {
				seconds *= pace.Usual / home.percent
			}
			home.latency += (seconds - home.latency) / 16
			home.startNext()
			s.review(home)
			reply(true)
		})
	}})
	home.startNext()
	s.review(home)
}

// review lets the home give calls back.
func (s *paceSimulation) review(home *pacedHome) {
	if !s.withMoves || len(home.queue) == 0 || !home.returns.Due(s.now) {
		return
	}
	var calls []pace.Queued
	for _, call := range home.queue {
		call.Usual, call.Waited = time.Duration(home.latency*float64(time.Second)), s.now.Sub(call.arrived)
		calls = append(calls, call.Queued)
	}
	for _, i := range home.returns.Select(calls, paceSlots, home.percent/pace.Usual, s.now) {
		home.queue[i].giveBack()
		home.queue = slices.Delete(home.queue, i, i+1)
	}
}

func (h *pacedHome) startNext() {
	if len(h.queue) > 0 && h.running < paceSlots {
		next := h.queue[0]
		h.queue = h.queue[1:]
		next.run()
	}
}

// percentile99 returns the 99th percentile of the times at homes.
func (s *paceSimulation) percentile99() time.Duration {
	slices.Sort(s.times)
	return s.times[len(s.times)*99/100]
}

// TestPlacementAvoidsSlowHomes guards against calls that queue at homes which are slow for a moment,
// against traffic between zones while no zone is short, and against moves of waiting calls that make
// them later. The demand is 0.9 of the capacity that
// the slow homes leave.
func TestPlacementAvoidsSlowHomes(t *testing.T) {
	const slowShare = 0.15
	available := 1 - slowShare*(1-float64(pace.Usual)/paceSlowPercent)
	demand := func(int, time.Duration) float64 { return 0.9 * available }
	for seed := range uint64(2) {
		undisturbed, previous, byPace := measurePlacement(t, seed, true, false, 0, demand), measurePlacement(t, seed, false, false, slowShare, demand), measurePlacement(t, seed, true, false, slowShare, demand)
		withMoves := measurePlacement(t, seed, true, true, slowShare, demand)
		usual, before, now := undisturbed.percentile99(), previous.percentile99(), byPace.percentile99()
		t.Logf("99th percentiles: %s undisturbed, %s previous choice, %s by pace; of %d calls %d and %d left the zone", usual, before, now, byPace.calls, previous.crossed, byPace.crossed)
		t.Logf("with moves: 99th percentile %s, %d calls moved, %d left the zone", withMoves.percentile99(), withMoves.moved, withMoves.crossed)
		assert.Check(t, withMoves.percentile99() <= now)
		assert.Equal(t, withMoves.refused, 0)
		assert.Check(t, now-usual < (before-usual)/2)
		assert.Check(t, byPace.crossed <= previous.crossed)
		assert.Equal(t, byPace.refused, 0)
		assert.Check(t, undisturbed.crossed <= undisturbed.calls/1000, "%d calls left zones with spare capacity", undisturbed.crossed)
	}
}

// TestOnlyExcessLeavesZone guards against refusals while another zone has spare capacity, and
// against more traffic between zones than necessary. The demand of each zone oscillates by 0.55, out
// of phase with the others.
func TestOnlyExcessLeavesZone(t *testing.T) {
	for _, average := range []float64{0.6, 0.75, 0.9} {
		s := measurePlacement(t, 1, true, false, 0, func(zone int, elapsed time.Duration) float64 {
			return average * (1 + 0.55*math.Sin(2*math.Pi*(elapsed.Seconds()/15+float64(zone)/paceZones)))
		})
		t.Logf("demand %v: of %d calls %d left the zone, excess %.0f", average, s.calls, s.crossed, s.excess)
		assert.Equal(t, s.refused, 0)
		assert.Check(t, float64(s.crossed) <= 1.5*s.excess+float64(s.calls)/1000, "%d of %.0f", s.crossed, s.excess)
	}
}
