package ratelimit

import (
	"time"

	"github.com/lugspur/lugspur/internal/routetable"
)

// leased is the way that stands: permits of shares.
type leased struct {
	sim    *simulation
	queues []*queue
	lives  []time.Time
	// aheadNone has nodes ask for each request.
	aheadNone bool
	issuers   []*Issuer
	// holders tell which node holds each share, and idle since when no node before issued
	// permits of it.
	holders   [Shares]int
	idle      [Shares]time.Time
	suspected [][]time.Time
}

const (
	testHoldTTL = shardTTL
	testRenewal = renewAfter
	// takeOverDelay is how long nodes take to find that a lease ended and that another
	// node holds the share.
	takeOverDelay = 1500 * time.Millisecond
)

func newLeased(sim *simulation) way { return startLeased(sim, false) }

func newAskEach(sim *simulation) way { return startLeased(sim, true) }

func startLeased(sim *simulation, aheadNone bool) *leased {
	l := &leased{sim: sim, aheadNone: aheadNone, queues: make([]*queue, sim.nodes), lives: make([]time.Time, sim.nodes),
		issuers: make([]*Issuer, sim.nodes), suspected: make([][]time.Time, sim.nodes)}
	for node := range sim.nodes {
		l.start(node)
		l.suspected[node] = make([]time.Time, sim.nodes)
	}
	for share := range Shares {
		l.holders[share], l.idle[share] = share%sim.nodes, sim.begun.Add(-time.Minute)
		l.hold(share, l.holders[share])
	}
	return l
}

func (l *leased) start(node int) {
	l.queues[node] = &queue{}
	l.issuers[node] = NewIssuer(testBounds, func(string) *routetable.Tenant { return &l.sim.tenant }, l.sim.now)
}

// look replaces what a process that was restarted has lost.
func (l *leased) look(node int) {
	if l.lives[node].Before(l.sim.reborn[node]) {
		l.lives[node] = l.sim.reborn[node]
		l.start(node)
	}
}

// hold has a node renew its hold of a share. One that is cut off can't; one that was
// restarted goes on a second later, unless it is lost for good.
func (l *leased) hold(share, node int) {
	l.look(node)
	sim := l.sim
	if sim.loseHolders && !sim.reborn[node].IsZero() {
		sim.after(testHoldTTL, func() { l.takeOver(share) })
		return
	}
	if sim.cut[node] {
		l.awaitLease(share, node)
		return
	}
	life := sim.reborn[node]
	l.issuers[node].Hold(shardOf(sim.tenant.Name, share), l.idle[share], sim.clock.Add(testHoldTTL))
	sim.after(testRenewal, func() {
		if sim.reborn[node].Equal(life) {
			l.hold(share, node)
			return
		}
		l.idle[share] = sim.reborn[node]
		sim.after(time.Second, func() { l.hold(share, node) })
	})
}

// awaitLease has the share's lease end while its holder can't renew it.
func (l *leased) awaitLease(share, node int) {
	deadline := l.sim.clock.Add(testHoldTTL)
	var look func()
	look = func() {
		if !l.sim.cut[node] && l.sim.clock.Before(deadline) {
			l.hold(share, node)
			return
		}
		if l.sim.clock.Before(deadline) {
			l.sim.after(100*time.Millisecond, look)
			return
		}
		l.takeOver(share)
	}
	look()
}

func (l *leased) takeOver(share int) {
	l.idle[share] = l.sim.clock
	l.sim.after(takeOverDelay, func() {
		for next := range l.sim.nodes {
			node := (l.holders[share] + Shares + next) % l.sim.nodes
			if !l.sim.cut[node] && (!l.sim.loseHolders || l.sim.reborn[node].IsZero()) {
				l.holders[share] = node
				l.hold(share, node)
				return
			}
		}
	})
}

func (l *leased) askable(node int) func(int) bool {
	return func(share int) bool { return !l.suspected[node][l.holders[share]].After(l.sim.clock) }
}

func (l *leased) arrive(node int) {
	l.look(node)
	q := l.queues[node]
	q.count(l.sim.clock)
	if _, taken := q.take(l.sim.clock); taken {
		l.sim.ran()
		return
	}
	if _, open := q.open(l.sim.clock, l.askable(node)); !open {
		return
	}
	q.waiting = append(q.waiting, &waiter{decided: make(chan Decision, 1)})
	if !q.asking {
		q.asking = true
		l.ask(node, q)
	}
}

// ask is what askFor does.
func (l *leased) ask(node int, q *queue) {
	l.serve(q)
	share, open := q.open(l.sim.clock, l.askable(node))
	if !open {
		q.waiting = nil
	}
	if len(q.waiting) == 0 {
		q.asking = false
		return
	}
	ask := &PermitRequest{Share: share, Tenant: l.sim.tenant.Name, Needed: len(q.waiting), Ahead: q.ahead()}
	if l.aheadNone {
		ask.Ahead = 0
	}
	holder, asked := l.holders[share], l.sim.clock
	if holder != node {
		l.sim.messages++
	}
	fail := func() {
		l.suspected[node][holder] = l.sim.clock.Add(suspectedFor)
		l.ask(node, q)
	}
	if holder != node && (l.sim.cut[holder] || l.sim.cut[node]) {
		l.sim.after(askTimeout, fail)
		return
	}
	l.sim.after(l.sim.oneWay(), func() {
		l.look(holder)
		grant := l.issuers[holder].Issue(ask)
		l.sim.after(l.sim.oneWay(), func() {
			if !grant.Held {
				fail()
				return
			}
			q.granted(share, grant, ask.Needed, asked, l.sim.clock)
			l.ask(node, q)
		})
	})
}

func (l *leased) serve(q *queue) {
	before := len(q.waiting)
	q.serve(l.sim.clock)
	for range before - len(q.waiting) {
		l.sim.ran()
	}
}
