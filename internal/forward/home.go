package forward

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
)

// homeState is what this node has learned of one home by calling it.
type homeState struct {
	address string

	mutex sync.Mutex
	// inFlight holds what ends each call that waits for the home.
	inFlight map[uint64]context.CancelCauseFunc
	nextCall uint64
	load     peering.Load
	loadAt   time.Time
	// latencies are the home's usual times by route.
	latencies map[string]knownLatency
	// heard is when the home last answered anything.
	heard time.Time
	// waitingSince is when a call began to wait while none did before.
	waitingSince time.Time
	suspicion    suspicion
	// departed marks the record whose home said that it has nothing to offer,
	// until recheck.
	departed uint64
	recheck  time.Time
}

// knownLatency is the usual time of a call as the home told it.
type knownLatency struct {
	value time.Duration
	at    time.Time
}

// suspicion passes a home over that failed, for longer each time.
type suspicion struct {
	since, until time.Time
	pause        time.Duration
}

const (
	minSuspicion = 300 * time.Millisecond
	maxSuspicion = 3 * time.Second
	// departedRecheck is how long a home is passed over that said that it has no
	// target to offer and whose record stays the same.
	departedRecheck = time.Second
	// loadFresh is how long a home's report of its load is believed.
	loadFresh = time.Second
	// standingFresh is how long a home's latencies and failures are believed. A
	// home that did badly is tried again after that.
	standingFresh = 2 * time.Second
	// maxLatencies bounds the routes whose latencies are kept for one home.
	maxLatencies = 256
	percent      = 100
)

// usable reports whether the home may be chosen.
func (s *homeState) usable(home *registry.Home, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.departed == uint64(home.Revision) && now.Before(s.recheck) {
		return false
	}
	return !now.Before(s.suspicion.until)
}

// standing is what a choice between homes rests on.
type standing struct {
	// occupancy is the part of the home's limit that is in use, above 1 when calls
	// wait.
	occupancy float64
	// latency is the usual time of a call of the route, zero if not known.
	latency time.Duration
	// failures is the part of calls that fail at the target.
	failures float64
}

func (s *homeState) standing(home *registry.Home, route string, now time.Time) standing {
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
	known := standing{occupancy: float64(busy) / float64(limit)}
	if latency := s.latencies[route]; now.Sub(latency.at) < standingFresh {
		known.latency = latency.value
	}
	if now.Sub(s.loadAt) < standingFresh {
		known.failures = float64(s.load.Failures) / percent
	}
	return known
}

// begin notes a call that waits for the home. The returned function ends it.
func (s *homeState) begin(cancel context.CancelCauseFunc, now time.Time) func() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.inFlight) == 0 {
		s.waitingSince = now
	}
	id := s.nextCall
	s.nextCall++
	s.inFlight[id] = cancel
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.inFlight, id)
	}
}

// silentFor returns for how long calls have waited without a sign of the home.
func (s *homeState) silentFor(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.inFlight) == 0 || now.Before(s.suspicion.until) {
		return 0
	}
	since := s.waitingSince
	if s.heard.After(since) {
		since = s.heard
	}
	return now.Sub(since)
}

// answered notes a sign of life.
func (s *homeState) answered(now time.Time) (suspectedFor time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heard = now
	if s.suspicion.pause == 0 {
		return 0
	}
	suspectedFor = now.Sub(s.suspicion.since)
	s.suspicion = suspicion{}
	return suspectedFor
}

// report notes what the home told on a call of the route.
func (s *homeState) report(route string, load peering.Load, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if load.Latency > 0 {
		if s.latencies == nil || len(s.latencies) >= maxLatencies {
			s.latencies = make(map[string]knownLatency)
		}
		s.latencies[route] = knownLatency{value: load.Latency, at: now}
	}
	s.load = load
	s.loadAt = now
}

// depart passes the home over until its record changes or some time went by.
func (s *homeState) depart(home *registry.Home, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.departed = uint64(home.Revision)
	s.recheck = now.Add(departedRecheck)
}

// suspect passes the home over for a while. It reports whether it was trusted
// before.
func (s *homeState) suspect(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Before(s.suspicion.until) {
		return false
	}
	first := s.suspicion.pause == 0
	if first {
		s.suspicion.since = now
	}
	s.suspicion.pause = min(max(s.suspicion.pause*2, minSuspicion), maxSuspicion)
	s.suspicion.until = now.Add(s.suspicion.pause)
	return first
}

// abandon ends the calls that wait for the home and may go elsewhere.
func (s *homeState) abandon(cause error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, cancel := range s.inFlight {
		if cancel != nil {
			cancel(cause)
		}
	}
}

// homeTable holds the states of homes by their addresses.
type homeTable struct {
	mutex  sync.Mutex
	states map[string]*homeState
}

func (t *homeTable) state(address string) *homeState {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.states == nil {
		t.states = make(map[string]*homeState)
	}
	s := t.states[address]
	if s == nil {
		s = &homeState{address: address, inFlight: make(map[uint64]context.CancelCauseFunc)}
		t.states[address] = s
	}
	return s
}

func (t *homeTable) all() []*homeState {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	states := make([]*homeState, 0, len(t.states))
	for _, s := range t.states {
		states = append(states, s)
	}
	return states
}

func (s *homeState) isDeparted(home *registry.Home, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.departed == uint64(home.Revision) && now.Before(s.recheck)
}

// suspect passes a home over from now on and logs the change.
func (f *Forwarder) suspect(state *homeState, reason string) {
	if state.suspect(f.now()) {
		f.log.Record(eventlog.Event{Kind: eventlog.HomeSuspected, Peer: state.address, Reason: reason})
	}
}

// trust notes a sign of life of a home.
func (f *Forwarder) trust(state *homeState) {
	if suspectedFor := state.answered(f.now()); suspectedFor > 0 {
		f.log.Record(eventlog.Event{Kind: eventlog.HomeTrusted, Peer: state.address, Age: suspectedFor})
	}
}
