package ratelimit

import (
	"time"

	"github.com/lugspur/lugspur/internal/routetable"
)

// permitStrategy is the strategy of the package: permits for shares of the limit.
type permitStrategy struct {
	sim         *simulation
	queues      []*queue
	restartedAt []time.Time
	// noPrefetch disables prefetching of permits.
	noPrefetch bool
	issuers    []*Issuer
	// holders holds the node that holds each share, and idleSince the time since which no
	// previous holder issued permits of it.
	holders          [Shares]int
	idleSince        [Shares]time.Time
	unavailableUntil [][]time.Time
}

const (
	holdTTL     = shardTTL
	holdRenewal = renewInterval
	// takeOverDelay is how long it takes after the end of a lease until another node holds the
	// share.
	takeOverDelay = 1500 * time.Millisecond
)

func newPermits(sim *simulation) strategy { return newPermitStrategy(sim, false) }

func newPermitsOnDemand(sim *simulation) strategy { return newPermitStrategy(sim, true) }

func newPermitStrategy(sim *simulation, noPrefetch bool) *permitStrategy {
	s := &permitStrategy{sim: sim, noPrefetch: noPrefetch, queues: make([]*queue, sim.nodes), restartedAt: make([]time.Time, sim.nodes),
		issuers: make([]*Issuer, sim.nodes), unavailableUntil: make([][]time.Time, sim.nodes)}
	for node := range sim.nodes {
		s.start(node)
		s.unavailableUntil[node] = make([]time.Time, sim.nodes)
	}
	for share := range Shares {
		s.holders[share], s.idleSince[share] = share%sim.nodes, sim.start.Add(-time.Minute)
		s.hold(share, s.holders[share])
	}
	return s
}

func (s *permitStrategy) start(node int) {
	s.queues[node] = &queue{}
	s.issuers[node] = NewIssuer(testBounds, func(string) *routetable.Tenant { return &s.sim.tenant }, s.sim.now)
}

// resetIfRestarted discards the state of a node that was restarted.
func (s *permitStrategy) resetIfRestarted(node int) {
	if s.restartedAt[node].Before(s.sim.restartedAt[node]) {
		s.restartedAt[node] = s.sim.restartedAt[node]
		s.start(node)
	}
}

// hold lets a node hold a share and renew its hold. A partitioned node can't renew; a restarted
// one resumes a second later unless it is lost permanently.
func (s *permitStrategy) hold(share, node int) {
	s.resetIfRestarted(node)
	sim := s.sim
	if sim.loseHolders && !sim.restartedAt[node].IsZero() {
		sim.after(holdTTL, func() { s.takeOver(share) })
		return
	}
	if sim.partitioned[node] {
		s.awaitLease(share, node)
		return
	}
	restartedAt := sim.restartedAt[node]
	s.issuers[node].Hold(shardOf(sim.tenant.Name, share), s.idleSince[share], sim.clock.Add(holdTTL))
	sim.after(holdRenewal, func() {
		if sim.restartedAt[node].Equal(restartedAt) {
			s.hold(share, node)
			return
		}
		s.idleSince[share] = sim.restartedAt[node]
		sim.after(time.Second, func() { s.hold(share, node) })
	})
}

// awaitLease waits for the end of the share's lease while its holder is partitioned.
func (s *permitStrategy) awaitLease(share, node int) {
	deadline := s.sim.clock.Add(holdTTL)
	var check func()
	check = func() {
		if !s.sim.partitioned[node] && s.sim.clock.Before(deadline) {
			s.hold(share, node)
			return
		}
		if s.sim.clock.Before(deadline) {
			s.sim.after(100*time.Millisecond, check)
			return
		}
		s.takeOver(share)
	}
	check()
}

func (s *permitStrategy) takeOver(share int) {
	s.idleSince[share] = s.sim.clock
	s.sim.after(takeOverDelay, func() {
		for next := range s.sim.nodes {
			node := (s.holders[share] + Shares + next) % s.sim.nodes
			if !s.sim.partitioned[node] && (!s.sim.loseHolders || s.sim.restartedAt[node].IsZero()) {
				s.holders[share] = node
				s.hold(share, node)
				return
			}
		}
	})
}

func (s *permitStrategy) available(node int) func(int) bool {
	return func(share int) bool { return !s.unavailableUntil[node][s.holders[share]].After(s.sim.clock) }
}

func (s *permitStrategy) arrive(node int) {
	s.resetIfRestarted(node)
	q := s.queues[node]
	q.countRequest(s.sim.clock)
	if _, taken := q.take(s.sim.clock); taken {
		s.sim.recordExecution()
		return
	}
	if _, found := q.pickShare(s.sim.clock, s.available(node)); !found {
		return
	}
	q.waiters = append(q.waiters, &waiter{decision: make(chan Decision, 1)})
	if !q.requesting {
		q.requesting = true
		s.request(node, q)
	}
}

// request does the same as Limiter.requestPermits.
func (s *permitStrategy) request(node int, q *queue) {
	s.serve(q)
	share, found := q.pickShare(s.sim.clock, s.available(node))
	if !found {
		q.waiters = nil
	}
	if len(q.waiters) == 0 {
		q.requesting = false
		return
	}
	request := &PermitRequest{Share: share, Tenant: s.sim.tenant.Name, Needed: len(q.waiters), Prefetch: q.prefetch()}
	if s.noPrefetch {
		request.Prefetch = 0
	}
	holder, requested := s.holders[share], s.sim.clock
	if holder != node {
		s.sim.messages++
	}
	fail := func() {
		s.unavailableUntil[node][holder] = s.sim.clock.Add(silentBackoff)
		s.request(node, q)
	}
	if holder != node && (s.sim.partitioned[holder] || s.sim.partitioned[node]) {
		s.sim.after(requestTimeout, fail)
		return
	}
	s.sim.after(s.sim.networkDelay(), func() {
		s.resetIfRestarted(holder)
		grant := s.issuers[holder].Issue(request)
		s.sim.after(s.sim.networkDelay(), func() {
			if !grant.Held {
				fail()
				return
			}
			q.applyGrant(share, grant, request.Needed, requested, s.sim.clock)
			s.request(node, q)
		})
	})
}

func (s *permitStrategy) serve(q *queue) {
	before := len(q.waiters)
	q.serve(s.sim.clock)
	for range before - len(q.waiters) {
		s.sim.recordExecution()
	}
}
