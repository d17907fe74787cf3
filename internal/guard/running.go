package guard

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/downstream"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/shed"
)

// Running describes a request that the target is executing.
type Running struct {
	Route string
	Rank  criticality.Rank
	// Retried is set if the request, or one of its ancestors in the call chain, was
	// sent to a target before.
	Retried bool
	// Context is canceled when the caller of the request no longer waits for the response.
	Context context.Context
}

// runningRequest is a request at the target and the downstream calls that it has made.
type runningRequest struct {
	Running
	// calls counts the downstream calls of the request by route.
	calls map[string]int
	// sent counts the downstream calls by route and service.
	sent []downstream.Call
	// callFailed is set if one of these calls failed.
	callFailed bool
	// cancelContext cancels Context. Both are nil until the request makes a call.
	cancelContext context.CancelFunc
	// call is the request, and cancelExchange cancels its exchange with the target.
	call           *peering.Call
	cancelExchange context.CancelCauseFunc
}

// abandonedGeneration is the minimum time for which an abandoned request is
// remembered. It covers the time until the request's deadline, for which the target
// may continue to execute the request.
const abandonedGeneration = 10 * time.Second

// maxAbandoned limits the abandoned requests of one generation.
const maxAbandoned = 4096

// abandonedSet holds the IDs of requests whose exchange with the target ended without
// a response, in two rotating generations. The target may continue to execute such a
// request and make downstream calls whose results are no longer needed.
type abandonedSet struct {
	current, previous map[string]bool
	rotatedAt         time.Time
}

// add records an abandoned request and rotates the generations when the current one is
// full or too old.
func (s *abandonedSet) add(id string, now time.Time) {
	if s.current == nil || len(s.current) >= maxAbandoned || now.Sub(s.rotatedAt) >= abandonedGeneration {
		s.previous, s.current = s.current, make(map[string]bool)
		s.rotatedAt = now
	}
	s.current[id] = true
}

func (s *abandonedSet) remove(id string) {
	delete(s.current, id)
	delete(s.previous, id)
}

func (s *abandonedSet) contains(id string) bool { return s.current[id] || s.previous[id] }

// runningTable holds the requests at the target by ID.
type runningTable struct {
	mutex     sync.Mutex
	requests  map[string]*runningRequest
	abandoned abandonedSet
}

// downstreamCalls is what is known of the downstream calls of a request when its exchange
// with the target ends.
type downstreamCalls struct {
	// failed is set if one of the calls failed.
	failed bool
	// sent counts the calls by route and service.
	sent []downstream.Call
}

// begin adds a request that is sent to the target. The returned function must be called
// when the exchange ends, with or without a response. It removes the request and returns
// the results of its downstream calls.
func (t *runningTable) begin(call *peering.Call, cancelExchange context.CancelCauseFunc) func(answered bool, now time.Time) downstreamCalls {
	request := &runningRequest{
		Running:        Running{Route: call.Route, Rank: criticality.RankOf(call.Rank), Retried: call.Retried},
		call:           call,
		cancelExchange: cancelExchange,
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.requests == nil {
		t.requests = make(map[string]*runningRequest)
	}
	t.requests[call.RequestID] = request
	t.abandoned.remove(call.RequestID)
	return func(answered bool, now time.Time) downstreamCalls {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		if !answered {
			t.abandoned.add(call.RequestID, now)
			request.abandon()
		}
		if t.requests[call.RequestID] == request {
			delete(t.requests, call.RequestID)
		}
		return downstreamCalls{failed: request.callFailed, sent: request.sent}
	}
}

// abandon cancels the context if there is one. The table's mutex must be held.
func (r *runningRequest) abandon() {
	if r.cancelContext != nil {
		r.cancelContext()
	}
}

// running returns the request with its context. The table's mutex must be held.
func (r *runningRequest) running() Running {
	if r.Context == nil {
		r.Context, r.cancelContext = clock.WithCancel(context.Background())
	}
	return r.Running
}

// errQuarantined is the cancellation cause of running requests that are quarantined.
var errQuarantined = errors.New(string(peering.Quarantined))

// CancelQuarantined cancels the running exchanges of a request that has been quarantined. A
// target that stops executing it in time doesn't crash.
func (g *Guard) CancelQuarantined(hash fingerprint.Fingerprint) {
	g.running.mutex.Lock()
	defer g.running.mutex.Unlock()
	for _, request := range g.running.requests {
		if request.call.Fingerprint() == hash {
			request.cancelExchange(errQuarantined)
		}
	}
}

// Running returns the request with the given ID if the target is executing it.
func (g *Guard) Running(id string) (Running, bool) {
	g.running.mutex.Lock()
	defer g.running.mutex.Unlock()
	request, found := g.running.requests[id]
	if !found {
		return Running{}, false
	}
	return request.running(), true
}

// Abandoned reports whether the exchange of a request with the target recently ended
// without a response.
func (g *Guard) Abandoned(id string) bool {
	g.running.mutex.Lock()
	defer g.running.mutex.Unlock()
	return g.running.abandoned.contains(id)
}

// CountCall counts a call of the route that a request at the target has made. It returns
// the number of such calls so far, or zero for an unknown request.
func (g *Guard) CountCall(id, route string) int {
	g.running.mutex.Lock()
	defer g.running.mutex.Unlock()
	request, found := g.running.requests[id]
	if !found {
		return 0
	}
	if request.calls == nil {
		request.calls = make(map[string]int)
	}
	request.calls[route]++
	return request.calls[route]
}

// RecordCallSent records that a request at the target makes a call of the route which is sent to
// homes of the service.
func (g *Guard) RecordCallSent(id, route, service string) {
	if g.config.Costs == nil {
		return
	}
	g.running.mutex.Lock()
	defer g.running.mutex.Unlock()
	request, found := g.running.requests[id]
	if !found {
		return
	}
	for i := range request.sent {
		if request.sent[i].Route == route && request.sent[i].Service == service {
			request.sent[i].Count++
			return
		}
	}
	request.sent = append(request.sent, downstream.Call{Route: route, Service: service, Count: 1})
}

// RecordCallFailure records that a downstream call of a request at the target failed, so
// that a failure of the request isn't attributed to the target.
func (g *Guard) RecordCallFailure(id string) {
	g.running.mutex.Lock()
	defer g.running.mutex.Unlock()
	if request, found := g.running.requests[id]; found {
		request.callFailed = true
	}
}

const (
	// shedInterval is the interval at which the shed threshold is updated.
	shedInterval = 100 * time.Millisecond
	// minLoggedChange is the minimum change of the threshold that is logged.
	minLoggedChange = criticality.CohortCount / 4
)

// shedFloor is a low minimum threshold, at which almost no requests are admitted.
const shedFloor = 8

// fastShedConfig is for thresholds that reach entry nodes within 200 ms. The queue is shorter and
// corrected faster than where thresholds take more than a second. Requests with several calls take up to
// the second for which rates settle. The queue serves one level after the other, so that less important
// calls, waiting or of started requests, cost more important requests nothing.
var fastShedConfig = shed.Config{Floor: shedFloor, QueueShare: 0.1, DrainTime: 500 * time.Millisecond, SettleTime: 1000 * time.Millisecond, DeductStarted: true, WithinLevel: true}

// shedConfig returns the configuration of the controller of the queue.
func (g *Guard) shedConfig() shed.Config {
	if g.config.Shortages == nil {
		return shed.Config{Floor: shedFloor}
	}
	return fastShedConfig
}

// RunShedding adjusts the shed threshold to the state of the queue until the context ends.
func (g *Guard) RunShedding(ctx context.Context) {
	ticker := time.NewTicker(shedInterval)
	defer ticker.Stop()
	logged := shed.None
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			logged = g.updateThreshold(logged)
		}
	}
}

// updateThreshold updates the threshold and returns the one that was logged last.
func (g *Guard) updateThreshold(logged uint16) uint16 {
	inc := g.current.Load()
	if inc == nil {
		g.config.Shortages.SetLocal(shed.None, 0)
		return logged
	}
	inc.announcements.tickShedding(g.now())
	inc.scheduler.Review()
	stats := inc.scheduler.Stats()
	inc.shedding.Tick(g.now(), shed.State{
		InFlight:   stats.InFlight,
		Limit:      stats.Limit,
		Queued:     stats.Queued,
		Overloaded: stats.Overloaded,
		Served:     stats.Served,
	})
	g.config.Shortages.SetLocal(inc.ownThreshold(), inc.shortageWeight())
	threshold := inc.shedding.Threshold()
	if max(threshold, logged)-min(threshold, logged) < minLoggedChange {
		return logged
	}
	g.log.Record(eventlog.Event{Kind: eventlog.AdmissionChanged, Service: inc.target.Service, Target: inc.target.Incarnation().String(),
		Count: int(threshold) * 100 / criticality.RankCount, Reason: "queue " + stats.QueueDelay.String()})
	return threshold
}
