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
	// inFlight holds what ends each call that waits for the home, and waiting sums
	// these calls by route.
	inFlight map[uint64]context.CancelCauseFunc
	waiting  map[string]waitingCalls
	nextCall uint64
	load     peering.Load
	loadAt   time.Time
	// latencies are the home's usual times by route.
	latencies map[string]knownLatency
	// slowness is how many times as long as elsewhere calls take at the home, over
	// all routes that it told of.
	slowness   float64
	slownessAt time.Time
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
	// maxLatencies bounds the routes whose latencies are kept for one home.
	maxLatencies = 256
)

// usable reports whether the home may be chosen. One that failed is chosen again
// only once it has answered: requests are not what finds out.
func (s *homeState) usable(home *registry.Home, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.departed == uint64(home.Revision) && now.Before(s.recheck) {
		return false
	}
	return s.suspicion.pause == 0
}

// begin notes a call of the route that waits for the home. The returned function
// ends it.
func (s *homeState) begin(route string, cancel context.CancelCauseFunc, now time.Time) func() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.inFlight) == 0 {
		s.waitingSince = now
	}
	id := s.nextCall
	s.nextCall++
	s.inFlight[id] = cancel
	s.waiting[route] = s.waiting[route].with(now)
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.inFlight, id)
		left := s.waiting[route].without(now)
		if left.count == 0 {
			delete(s.waiting, route)
			return
		}
		s.waiting[route] = left
	}
}

// toAsk reports whether the home is to be asked whether it is there: calls have
// waited without a sign of it, or it failed and the pause after that is over.
func (s *homeState) toAsk(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.suspicion.pause > 0 {
		return !now.Before(s.suspicion.until)
	}
	if len(s.inFlight) == 0 {
		return false
	}
	since := s.waitingSince
	if s.heard.After(since) {
		since = s.heard
	}
	return now.Sub(since) > silence
}

// hear notes a sign of life.
func (s *homeState) hear(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heard = now
}

// askNow ends the pause of a home that failed, as it gave a sign of life.
func (s *homeState) askNow(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.suspicion.pause > 0 && now.Before(s.suspicion.until) {
		s.suspicion.until = now
	}
}

// idle reports whether nothing waits for the home.
func (s *homeState) idle() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.inFlight) == 0
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

// depart passes the home over until its record changes or some time went by.
func (s *homeState) depart(home *registry.Home, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.departed = uint64(home.Revision)
	s.recheck = now.Add(departedRecheck)
}

func (s *homeState) isSuspected() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.suspicion.pause > 0
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
	// usual holds what stands for all homes, by route.
	usual map[string]usualCall
}

// usualCall is how calls of one route usually go.
type usualCall struct {
	// latency is the common latency at all homes, zero if it is not known.
	latency time.Duration
	// bytes is the average size of an answer's body.
	bytes float64
}

// bytesWeight is the part of the average size that one answer makes up.
const bytesWeight = 1.0 / 32

// setLatency notes the common latency of a route.
func (t *homeTable) setLatency(route string, latency time.Duration) {
	t.change(route, func(usual *usualCall) { usual.latency = latency })
}

// noteAnswer notes the size of an answer, in bytes.
func (t *homeTable) noteAnswer(route string, bytes int) {
	t.change(route, func(usual *usualCall) { usual.bytes += (float64(bytes) - usual.bytes) * bytesWeight })
}

func (t *homeTable) change(route string, apply func(*usualCall)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.usual == nil || len(t.usual) >= maxLatencies {
		t.usual = make(map[string]usualCall)
	}
	usual := t.usual[route]
	apply(&usual)
	t.usual[route] = usual
}

// usualOf returns how calls of a route usually go.
func (t *homeTable) usualOf(route string) usualCall {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.usual[route]
}

func (t *homeTable) state(address string) *homeState {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.states == nil {
		t.states = make(map[string]*homeState)
	}
	s := t.states[address]
	if s == nil {
		s = &homeState{address: address, inFlight: make(map[uint64]context.CancelCauseFunc), waiting: make(map[string]waitingCalls)}
		t.states[address] = s
	}
	return s
}

// known returns the state of a home, nil if there is none.
func (t *homeTable) known(address string) *homeState {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.states[address]
}

// forget drops the states of homes that are not among the listed ones and that
// nothing waits for.
func (t *homeTable) forget(listed []string) {
	kept := make(map[string]bool, len(listed))
	for _, address := range listed {
		kept[address] = true
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for address, state := range t.states {
		if !kept[address] && state.idle() {
			delete(t.states, address)
		}
	}
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
