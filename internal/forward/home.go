package forward

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
)

// homeState holds what this node has observed of one home by calling it.
type homeState struct {
	address string

	mutex sync.Mutex
	// inFlight holds the cancel function of each call that waits for the home, and
	// pending sums these calls by route.
	inFlight map[uint64]context.CancelCauseFunc
	pending  map[string]pendingCalls
	nextCall uint64
	load     peering.Load
	loadAt   time.Time
	// latencies are the home's usual latencies by route.
	latencies map[string]latencySample
	// slowness is the ratio of the home's latency to that of other homes, averaged over
	// all routes that it reported.
	slowness   float64
	slownessAt time.Time
	// lastSeen is when the home last answered anything.
	lastSeen time.Time
	// busySince is when a call began to wait while no other did.
	busySince time.Time
	suspicion suspicion
	// departedRevision is the revision of the home's record when the home reported that
	// it has no target to offer. The home is skipped until departedUntil or until its
	// record changes.
	departedRevision uint64
	departedUntil    time.Time
}

// latencySample is the usual latency of a call as the home reported it.
type latencySample struct {
	value time.Duration
	at    time.Time
}

// suspicion marks a failed home, which is not chosen until it answers a probe. backoff is
// the pause before the next probe; it grows with each failure.
type suspicion struct {
	since, until time.Time
	backoff      time.Duration
}

const (
	minSuspicionBackoff = 300 * time.Millisecond
	maxSuspicionBackoff = 3 * time.Second
	// departedPeriod is how long a home is skipped that has no target to offer and whose
	// record does not change.
	departedPeriod = time.Second
	// loadMaxAge is how long a home's load report is valid.
	loadMaxAge = time.Second
	// maxTrackedRoutes bounds the routes whose latencies are kept for one home, and those
	// with statistics over all homes.
	maxTrackedRoutes = 256
)

// usable reports whether the home may be chosen. A suspected home is chosen again only
// once it has answered a probe: requests are not used to find out whether it recovered.
func (s *homeState) usable(home *registry.Home, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.departedRevision == uint64(home.Revision) && now.Before(s.departedUntil) {
		return false
	}
	return s.suspicion.backoff == 0
}

// begin records a call of the route that waits for the home. The returned function ends
// it.
func (s *homeState) begin(route string, cancel context.CancelCauseFunc, now time.Time) func() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.inFlight) == 0 {
		s.busySince = now
	}
	id := s.nextCall
	s.nextCall++
	s.inFlight[id] = cancel
	s.pending[route] = s.pending[route].add(now)
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.inFlight, id)
		rest := s.pending[route].remove(now)
		if rest.count == 0 {
			delete(s.pending, route)
			return
		}
		s.pending[route] = rest
	}
}

// probeDue reports whether the home is to be probed: calls have waited without a liveness
// signal, or the backoff after a failure is over.
func (s *homeState) probeDue(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.suspicion.backoff > 0 {
		return !now.Before(s.suspicion.until)
	}
	if len(s.inFlight) == 0 {
		return false
	}
	since := s.busySince
	if s.lastSeen.After(since) {
		since = s.lastSeen
	}
	return now.Sub(since) > maxSilence
}

// markSeen records a liveness signal.
func (s *homeState) markSeen(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastSeen = now
}

// probeNow ends the backoff of a suspected home after a liveness signal.
func (s *homeState) probeNow(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.suspicion.backoff > 0 && now.Before(s.suspicion.until) {
		s.suspicion.until = now
	}
}

// idle reports whether no call waits for the home.
func (s *homeState) idle() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.inFlight) == 0
}

// markReachable records an answer of the home, which ends its suspicion. It returns how
// long the home was suspected.
func (s *homeState) markReachable(now time.Time) (suspectedFor time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastSeen = now
	if s.suspicion.backoff == 0 {
		return 0
	}
	suspectedFor = now.Sub(s.suspicion.since)
	s.suspicion = suspicion{}
	return suspectedFor
}

// markDeparted skips the home until its record changes or departedPeriod has passed.
func (s *homeState) markDeparted(home *registry.Home, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.departedRevision = uint64(home.Revision)
	s.departedUntil = now.Add(departedPeriod)
}

func (s *homeState) isSuspected() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.suspicion.backoff > 0
}

// suspect marks the home as suspected and doubles its backoff, up to maxSuspicionBackoff.
// It reports whether the home was not suspected before.
func (s *homeState) suspect(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Before(s.suspicion.until) {
		return false
	}
	first := s.suspicion.backoff == 0
	if first {
		s.suspicion.since = now
	}
	s.suspicion.backoff = min(max(s.suspicion.backoff*2, minSuspicionBackoff), maxSuspicionBackoff)
	s.suspicion.until = now.Add(s.suspicion.backoff)
	return first
}

// cancelCalls cancels the calls that wait for the home and may be offered elsewhere.
func (s *homeState) cancelCalls(cause error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, cancel := range s.inFlight {
		if cancel != nil {
			cancel(cause)
		}
	}
}

// homeTable holds the states of homes by address.
type homeTable struct {
	mutex  sync.Mutex
	states map[string]*homeState
	// routes holds statistics over all homes, by route.
	routes map[string]routeStats
}

// routeStats holds the usual latency and answer size of one route.
type routeStats struct {
	// latency is the median latency at all homes, zero if unknown.
	latency time.Duration
	// answerBytes is the average size of an answer's body.
	answerBytes float64
}

// answerBytesWeight is the weight of one answer in the average size.
const answerBytesWeight = 1.0 / 32

// setLatency records the median latency of a route.
func (t *homeTable) setLatency(route string, latency time.Duration) {
	t.updateStats(route, func(stats *routeStats) { stats.latency = latency })
}

// recordAnswerSize adds the size of an answer, in bytes, to the route's average.
func (t *homeTable) recordAnswerSize(route string, bytes int) {
	t.updateStats(route, func(stats *routeStats) { stats.answerBytes += (float64(bytes) - stats.answerBytes) * answerBytesWeight })
}

func (t *homeTable) updateStats(route string, apply func(*routeStats)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.routes == nil || len(t.routes) >= maxTrackedRoutes {
		t.routes = make(map[string]routeStats)
	}
	stats := t.routes[route]
	apply(&stats)
	t.routes[route] = stats
}

// statsOf returns the statistics of a route.
func (t *homeTable) statsOf(route string) routeStats {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.routes[route]
}

func (t *homeTable) state(address string) *homeState {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.states == nil {
		t.states = make(map[string]*homeState)
	}
	s := t.states[address]
	if s == nil {
		s = &homeState{address: address, inFlight: make(map[uint64]context.CancelCauseFunc), pending: make(map[string]pendingCalls)}
		t.states[address] = s
	}
	return s
}

// find returns the state of a home, nil if there is none.
func (t *homeTable) find(address string) *homeState {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.states[address]
}

// prune removes the states of homes that are not listed and that no call waits for.
func (t *homeTable) prune(listed []string) {
	isListed := make(map[string]bool, len(listed))
	for _, address := range listed {
		isListed[address] = true
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for address, state := range t.states {
		if !isListed[address] && state.idle() {
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
	return s.departedRevision == uint64(home.Revision) && now.Before(s.departedUntil)
}

// suspect marks the home as suspected and logs the change.
func (f *Forwarder) suspect(state *homeState, reason string) {
	if state.suspect(f.now()) {
		f.log.Record(eventlog.Event{Kind: eventlog.HomeSuspected, Peer: state.address, Reason: reason})
	}
}

// markReachable records an answer of a home, and logs it if that ends a suspicion.
func (f *Forwarder) markReachable(state *homeState) {
	if suspectedFor := state.markReachable(f.now()); suspectedFor > 0 {
		f.log.Record(eventlog.Event{Kind: eventlog.HomeTrusted, Peer: state.address, Age: suspectedFor})
	}
}
