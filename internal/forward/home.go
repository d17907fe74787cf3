package forward

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/ending"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
)

// homeState holds what this node has observed of one home by calling it.
type homeState struct {
	address string

	mutex sync.Mutex
	// inFlight holds the cancel functions of the calls that wait for the home, and pending
	// summarizes these calls by route.
	inFlight map[uint64]context.CancelCauseFunc
	pending  map[string]pendingCalls
	nextCall uint64
	load     peering.Load
	loadAt   time.Time
	// sentSinceLoad is the number of calls that began after loadAt.
	sentSinceLoad int
	// latencies holds the reported latencies by route.
	latencies map[string]latencySample
	// slowness is the ratio of the home's latency to the median of all homes, as a moving
	// average over the reports for all routes.
	slowness   float64
	slownessAt time.Time
	// lastSeen is the time of the last liveness signal.
	lastSeen time.Time
	// busySince is when the number of waiting calls last became greater than zero.
	busySince time.Time
	suspicion suspicion
	// unavailableRevision is the revision of the home's record when the home reported that
	// it has no available target. The home is skipped until unavailableUntil or until its
	// record changes.
	unavailableRevision uint64
	// unavailableNotice is the sequence number of the notice that the record was known from then.
	unavailableNotice uint64
	unavailableUntil  time.Time
}

// latencySample is a latency that the home reported.
type latencySample struct {
	value time.Duration
	at    time.Time
}

// suspicion is the state of a home that is suspected to have failed. The home is not chosen
// until it responds to a probe. backoff is the delay before the next probe, which grows with
// each failure; zero means that the home is not suspected.
type suspicion struct {
	since, until time.Time
	backoff      time.Duration
}

const (
	minSuspicionBackoff = 300 * time.Millisecond
	maxSuspicionBackoff = 3 * time.Second
	// unavailablePeriod is how long a home without an available target is skipped if its
	// record does not change.
	unavailablePeriod = time.Second
	// loadMaxAge is how long the number of calls that a home reported is valid.
	loadMaxAge = time.Second
	// maxTrackedRoutes limits the number of routes with latencies of one home, and of
	// routes with statistics over all homes.
	maxTrackedRoutes = 256
	// maxTrackedServices limits the number of services with a list of states.
	maxTrackedServices = 256
)

// usable reports whether the home may be chosen. A suspected home may be chosen again only
// after it has responded to a probe: requests are not used to test whether it has recovered.
func (s *homeState) usable(home *registry.Home, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.unavailableLocked(home, now) && s.suspicion.backoff == 0
}

// begin records a call of the route that waits for the home. The returned function must be
// called when the call ends.
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
	s.sentSinceLoad++
	loadAt := s.loadAt
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.loadAt.Equal(loadAt) {
			s.sentSinceLoad = max(s.sentSinceLoad-1, 0)
		}
		delete(s.inFlight, id)
		rest := s.pending[route].remove(now)
		if rest.count == 0 {
			delete(s.pending, route)
			return
		}
		s.pending[route] = rest
	}
}

// probeDue reports whether the home must be probed: calls have waited longer than maxSilence
// without a liveness signal, or the backoff of a suspected home is over.
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

// markReachable records that the home has responded, which ends its suspicion. It returns
// how long the home was suspected.
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

// markUnavailable excludes the home from choices until its record changes or
// unavailablePeriod has passed.
func (s *homeState) markUnavailable(home *registry.Home, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unavailableRevision, s.unavailableNotice = uint64(home.Revision), home.NoticeSequence
	s.unavailableUntil = now.Add(unavailablePeriod)
}

func (s *homeState) isSuspected() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.suspicion.backoff > 0
}

// suspect marks the home as suspected and doubles its backoff, up to maxSuspicionBackoff. It
// has no effect during the backoff. It reports whether the home was not suspected before.
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

// cancelCalls cancels the calls that wait for the home and may be offered to another one.
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
	// services holds the states of the homes of services; a removed state empties it.
	services map[string]serviceHomes
	// routes holds statistics over all homes, by route.
	routes map[string]routeStats
}

// routeStats holds the usual latency and response size of one route.
type routeStats struct {
	// latency is the median latency at all homes, zero if unknown.
	latency time.Duration
	// responseBytes is the average size of a response body, and largest the largest recent one.
	responseBytes float64
	largest       ending.Recent[int]
	// durations holds the durations of requests that were sent to a target.
	durations ending.Durations
}

// responseBytesWeight is the weight of one response in the average size.
const responseBytesWeight = 1.0 / 32

// setLatency records the median latency of a route.
func (t *homeTable) setLatency(route string, latency time.Duration) {
	t.updateStats(route, func(stats *routeStats) { stats.latency = latency })
}

// recordResponseSize adds the body size of a response to the route's statistics.
func (t *homeTable) recordResponseSize(route string, bytes int, now time.Time) {
	t.updateStats(route, func(stats *routeStats) {
		stats.largest.Record(bytes, now)
		stats.responseBytes += (float64(bytes) - stats.responseBytes) * responseBytesWeight
	})
}

// recordDuration records the duration of a request that was sent to a target.
func (t *homeTable) recordDuration(route string, duration time.Duration, now time.Time) {
	t.updateStats(route, func(stats *routeStats) { stats.durations.Record(duration, now) })
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

// tailDuration returns a duration that few recent requests of a route exceeded, zero if there were none.
func (t *homeTable) tailDuration(route string, now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	stats := t.routes[route]
	return stats.durations.Tail(now)
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
	return t.stateLocked(address)
}

// stateLocked returns the state of a home and creates it if necessary. The caller holds the mutex.
func (t *homeTable) stateLocked(address string) *homeState {
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

// serviceHomes holds the states of the homes of a service, in the order of the directory's list.
// Both slices are never modified.
type serviceHomes struct {
	homes  []*registry.Home
	states []*homeState
}

// isFor reports whether the list is the one for which the states were looked up.
func (l *serviceHomes) isFor(homes []*registry.Home) bool {
	return len(l.homes) == len(homes) && len(homes) > 0 && &l.homes[0] == &homes[0]
}

// statesOf returns the states of a service's homes, as listed by the directory, and the usual
// latency of the route, zero if unknown. The states must not be modified. They are looked up again
// only when the directory has another list.
func (t *homeTable) statesOf(service string, homes []*registry.Home, route string) ([]*homeState, time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	list := t.services[service]
	if !list.isFor(homes) {
		list = t.lookUpLocked(service, homes)
	}
	return list.states, t.routes[route].latency
}

// lookUpLocked looks up the states of a service's homes and keeps them.
func (t *homeTable) lookUpLocked(service string, homes []*registry.Home) serviceHomes {
	list := serviceHomes{homes: homes, states: make([]*homeState, len(homes))}
	for i, home := range homes {
		list.states[i] = t.stateLocked(home.Address)
	}
	if t.services == nil || len(t.services) >= maxTrackedServices {
		t.services = make(map[string]serviceHomes)
	}
	t.services[service] = list
	return list
}

// find returns the state of a home, or nil if there is none.
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
			t.services = nil
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

// unavailableLocked reports whether the home reported that it has no available target.
func (s *homeState) unavailableLocked(home *registry.Home, now time.Time) bool {
	unchanged := s.unavailableRevision == uint64(home.Revision) && s.unavailableNotice == home.NoticeSequence
	return unchanged && now.Before(s.unavailableUntil)
}

// suspect marks the home as suspected and logs it if it was not suspected before.
func (f *Forwarder) suspect(state *homeState, reason string) {
	if state.suspect(f.now()) {
		f.log.Record(eventlog.Event{Kind: eventlog.HomeSuspected, Peer: state.address, Reason: reason})
	}
}

// markReachable records that a home has responded, and logs the end of a suspicion.
func (f *Forwarder) markReachable(state *homeState) {
	if suspectedFor := state.markReachable(f.now()); suspectedFor > 0 {
		f.log.Record(eventlog.Event{Kind: eventlog.HomeTrusted, Peer: state.address, Age: suspectedFor})
	}
}
