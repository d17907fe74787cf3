package guard

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/shed"
)

// Running is a request that the target works on.
type Running struct {
	Route string
	Rank  criticality.Rank
	// Repeat tells that the request, or one that led to it, ran before.
	Repeat bool
	// Context ends when nobody waits for the request's answer any more.
	Context context.Context
}

// runningRequest is a request at the target with the calls that it made.
type runningRequest struct {
	Running
	// calls counts the calls that the request made by their routes.
	calls map[string]int
	// callFailed tells that one of them brought no success.
	callFailed bool
	// abandon ends Wanted.
	abandon context.CancelFunc
	// call is the request as it was sent to the target, and withdraw ends the exchange.
	call     *peering.Call
	withdraw context.CancelCauseFunc
}

// abandonedGeneration is the least time for which an abandoned request is
// remembered: as long as a target works on one, which ends at its deadline.
const abandonedGeneration = 10 * time.Second

// maxAbandoned bounds the abandoned requests of one generation.
const maxAbandoned = 4096

// abandonedSet holds the requests whose exchange with the target ended without an
// answer, in two generations. Their targets may work on, and what these call for then
// is wanted by nobody.
type abandonedSet struct {
	recent, earlier map[string]bool
	turned          time.Time
}

func (s *abandonedSet) add(id string, now time.Time) {
	if s.recent == nil || len(s.recent) >= maxAbandoned || now.Sub(s.turned) >= abandonedGeneration {
		s.earlier, s.recent = s.recent, make(map[string]bool)
		s.turned = now
	}
	s.recent[id] = true
}

func (s *abandonedSet) remove(id string) {
	delete(s.recent, id)
	delete(s.earlier, id)
}

func (s *abandonedSet) contains(id string) bool { return s.recent[id] || s.earlier[id] }

// runningTable holds the requests at the target by their ids.
type runningTable struct {
	mutex     sync.Mutex
	requests  map[string]*runningRequest
	abandoned abandonedSet
}

// begin notes a request at the target. The returned function ends it, with or without
// an answer, and reports whether a call that the request made had failed.
func (t *runningTable) begin(call *peering.Call, withdraw context.CancelCauseFunc) func(answered bool, now time.Time) (callFailed bool) {
	wanted, abandon := context.WithCancel(context.Background())
	request := &runningRequest{
		Running:  Running{Route: call.Route, Rank: criticality.RankOf(call.Rank), Repeat: call.Retried, Context: wanted},
		abandon:  abandon,
		call:     call,
		withdraw: withdraw,
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.requests == nil {
		t.requests = make(map[string]*runningRequest)
	}
	t.requests[call.RequestID] = request
	t.abandoned.remove(call.RequestID)
	return func(answered bool, now time.Time) bool {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		if !answered {
			t.abandoned.add(call.RequestID, now)
			request.abandon()
		}
		if t.requests[call.RequestID] == request {
			delete(t.requests, call.RequestID)
		}
		return request.callFailed
	}
}

// errQuarantined ends the exchanges of requests that are quarantined meanwhile.
var errQuarantined = errors.New(string(peering.Quarantined))

// CancelQuarantined ends the exchanges with the target of a request that is quarantined from now
// on: a target that drops it in time does not crash.
func (g *Guard) CancelQuarantined(hash fingerprint.Fingerprint) {
	g.running.mutex.Lock()
	defer g.running.mutex.Unlock()
	for _, request := range g.running.requests {
		if request.call.Fingerprint() == hash {
			request.withdraw(errQuarantined)
		}
	}
}

// Running returns a request that the target works on.
func (g *Guard) Running(id string) (Running, bool) {
	g.running.mutex.Lock()
	defer g.running.mutex.Unlock()
	request, found := g.running.requests[id]
	if !found {
		return Running{}, false
	}
	return request.Running, true
}

// Abandoned reports whether the exchange of a request with the target ended without
// an answer lately.
func (g *Guard) Abandoned(id string) bool {
	g.running.mutex.Lock()
	defer g.running.mutex.Unlock()
	return g.running.abandoned.contains(id)
}

// CountCall notes that a request at the target made a call of the route. It returns
// how many it has made by now.
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

// RecordCallFailure notes that a call which a request at the target made brought no
// success, so that the target is not to blame if the request fails.
func (g *Guard) RecordCallFailure(id string) {
	g.running.mutex.Lock()
	defer g.running.mutex.Unlock()
	if request, found := g.running.requests[id]; found {
		request.callFailed = true
	}
}

const (
	// tick is how often the shed threshold is moved.
	tick = 100 * time.Millisecond
	// loggedStep is the least change of the threshold that is worth a line.
	loggedStep = criticality.CohortCount / 4
)

// shedConfig lets thresholds fall until next to nothing is admitted.
var shedConfig = shed.Config{Floor: 8}

// RunShedding moves the shed threshold with the queue until the context ends.
func (g *Guard) RunShedding(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	logged := shed.None
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			logged = g.moveThreshold(logged)
		}
	}
}

// moveThreshold moves the threshold and returns the one logged last.
func (g *Guard) moveThreshold(logged uint16) uint16 {
	i := g.current.Load()
	if i == nil {
		return logged
	}
	stats := i.scheduler.Stats()
	i.shedding.Tick(g.now(), shed.State{
		InFlight:   stats.InFlight,
		Limit:      stats.Limit,
		Queued:     stats.Queued,
		Overloaded: stats.Overloaded,
		Served:     stats.Served,
	})
	threshold := i.shedding.Threshold()
	if max(threshold, logged)-min(threshold, logged) < loggedStep {
		return logged
	}
	g.log.Record(eventlog.Event{Kind: eventlog.AdmissionChanged, Service: i.target.Service, Target: i.target.Incarnation().String(),
		Count: int(threshold) * 100 / criticality.RankCount, Reason: "queue " + stats.QueueDelay.String()})
	return threshold
}
