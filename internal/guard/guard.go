// Package guard controls admission of calls to the local target, the one target
// that a node serves. All calls to the target pass through this process, so the
// number of calls in flight is known exactly. A guard consists of a fixed
// concurrency limit of at most the target's slots, a priority queue and a
// connection pool. Each call gets a typed outcome that states whether it may have
// been executed.
package guard

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/callheader"
	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/downstream"
	"github.com/lugspur/lugspur/internal/ending"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/scheduler"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/shortage"
	"github.com/lugspur/lugspur/internal/targetrate"
	"github.com/lugspur/lugspur/internal/transport"
)

// Config sets the address of the target and the limits of the guard.
type Config struct {
	// Service is the only service whose target the node may serve.
	Service string
	// Address is the target's host and port.
	Address string
	Headers callheader.Names
	// SlotShare is the fraction of the target's slots that is used, greater than 0
	// and at most 1.
	SlotShare float64
	// MaxQueue and MaxWait limit the length of the queue and the time in it.
	MaxQueue int
	MaxWait  time.Duration
	// MaxBuffered is the maximum size of a response in bytes.
	MaxBuffered int64
	// MaxConnections returns the maximum number of connections to the target, zero
	// for no limit.
	MaxConnections func() int
	// Downstream returns the pressure on the downstream calls that requests of the route
	// make.
	Downstream func(route string) pressure.Level
	// Quarantine tracks requests that crash targets.
	Quarantine Quarantine
	// OnRateLimit is called with each change of the rate limit that an incarnation announces; it
	// may be nil.
	OnRateLimit func(registry.Incarnation, targetrate.Announcement)
	// OnLeaving is called once with each incarnation that announces in a response that it is
	// leaving; it may be nil.
	OnLeaving func(registry.Incarnation)
	// Shortages holds the reports on shortages that replies carry, and Costs what requests use of
	// each service. They are nil unless the deployment must expect shortage.
	Shortages *shortage.Table
	Costs     *downstream.Table
	// Observer receives the outcomes of calls; it may be nil.
	Observer Observer
}

// Quarantine tracks requests that crash targets. It is safe for concurrent use.
type Quarantine interface {
	// Empty reports whether there are neither suspects nor quarantined requests.
	Empty() bool
	// State returns the quarantine state of a request.
	State(hash fingerprint.Fingerprint) quarantine.State
	// RecordCrash records a crash of the target with its suspects among the open calls.
	RecordCrash(instance string, open []quarantine.Call)
	// RecordAnswer records that the target answered a request.
	RecordAnswer(call quarantine.Call)
	// ClaimTrial reports whether a quarantined request whose trial run is due may run
	// on this node.
	ClaimTrial(ctx context.Context, call quarantine.Call) bool
}

// Observer receives the outcomes of calls, for metrics.
type Observer interface {
	// CallFinished records a finished call with the time that it spent in the queue and at the
	// target. The latter is zero for a call that was refused admission.
	CallFinished(outcome peering.Outcome, reason peering.Reason, queueTime, targetTime time.Duration)
	// CallSent records a call that is sent to the target.
	CallSent(kind SendKind)
	// CallGivenBack records a queued call that is given back because it would complete much
	// earlier elsewhere.
	CallGivenBack(service string)
	// LoadReported records a load report of the target.
	LoadReported(kind pace.Kind)
}

// Guard admits calls to the target. It is safe for concurrent use.
type Guard struct {
	config Config
	log    *eventlog.Log
	now    func() time.Time

	stopping atomic.Bool
	closed   atomic.Bool
	// shutdownDeadline is the time by which all calls must have finished.
	shutdownDeadline ending.ShutdownTime
	inFlight         atomic.Int64
	current          atomic.Pointer[incarnation]
	running          runningTable
	suspectLock      suspectLock
	answered         answeredSet
	mutex            sync.Mutex
}

// incarnation is the state of one target process, from its registration until another
// process replaces it.
type incarnation struct {
	target        registry.Target
	limit         *fixedLimit
	scheduler     *scheduler.Scheduler
	pool          *transport.Pool
	stats         targetStats
	reachability  reachability
	shedding      *shed.Controller
	crashDetector crashDetector
	draining      atomic.Bool
	// slots is the number of slots of the latest registration.
	slots atomic.Int64
	// name is the name of the incarnation. announcements are shared with an earlier state of
	// the same incarnation.
	name          string
	announcements *announcements
}

// New returns a guard without a target, which refuses all calls.
func New(config Config, log *eventlog.Log, now func() time.Time) *Guard {
	return &Guard{config: config, log: log, now: now}
}

// SetTarget applies the current registration of the local target.
func (g *Guard) SetTarget(target registry.Target) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	old := g.current.Load()
	if target.State != registry.Ready {
		if old != nil {
			old.drain()
		}
		return
	}
	if old != nil && old.target.Incarnation() == target.Incarnation() && !old.draining.Load() {
		g.updateLimit(old, target)
		return
	}
	if old != nil {
		g.handleReplacement(old)
		old.drain()
		old.pool.Close()
	}
	next := g.newIncarnation(target)
	if old != nil && old.target.Incarnation() == target.Incarnation() {
		next.announcements = old.announcements
	}
	if next.announcements.isLeaving() {
		next.drain()
	}
	if target.RateLimit.Limited && next.announcements.rate.Adopt(target.RateLimit, g.now()) {
		next.announcements.updatePacer(g.now())
	}
	next.stats.pace = &next.announcements.pace
	g.current.Store(next)
}

// TCP timeouts that detect a dead connection to the target, even while a call waits for
// its response. They can be short because the target runs on the same machine, where no
// packets are lost. They don't limit the duration of a call.
const (
	targetUserTimeout = time.Second
	targetKeepAlive   = time.Second
)

// drain refuses queued and new calls; calls in flight continue.
func (inc *incarnation) drain() {
	inc.draining.Store(true)
	inc.scheduler.Close()
}

func (g *Guard) newIncarnation(target registry.Target) *incarnation {
	limit := &fixedLimit{}
	limit.set(g.limitFor(target))
	inc := &incarnation{
		target:        target,
		name:          target.Incarnation().String(),
		announcements: newAnnouncements(g.rateShedConfig()),
		limit:         limit,
		shedding:      shed.NewController(g.shedConfig()),
		pool: transport.NewPool(transport.Config{
			Address:              g.config.Address,
			MaxConnections:       g.config.MaxConnections(),
			MaxBuffered:          g.config.MaxBuffered,
			AcceptCloseDelimited: true,
			UserTimeout:          targetUserTimeout,
			KeepAlive:            targetKeepAlive,
			IsRejection:          g.isRejection,
			OnAvoided:            g.logAvoidedConnection,
		}),
	}
	inc.slots.Store(int64(target.Slots))
	inc.scheduler = scheduler.New(scheduler.Config{MaxQueue: g.config.MaxQueue, MaxWait: g.config.MaxWait, ByRank: true, Factor: inc.paceFactor}, limit, g.now)
	return inc
}

// updateLimit adjusts the concurrency limit to the slots of a renewed registration.
func (g *Guard) updateLimit(inc *incarnation, target registry.Target) {
	inc.slots.Store(int64(target.Slots))
	newLimit := g.limitFor(target)
	if inc.limit.Limit() == newLimit {
		return
	}
	inc.limit.set(newLimit)
	inc.scheduler.Wake()
	g.log.Record(eventlog.Event{Kind: eventlog.LimitChanged, Target: target.Incarnation().String(), Count: newLimit})
}

func (g *Guard) limitFor(target registry.Target) int {
	return max(int(float64(target.Slots)*g.config.SlotShare), 1)
}

// MarkStopping reports in all replies that the node is about to stop, so that peers prefer
// other homes. Calls are still admitted, as this may be the last home of the service.
func (g *Guard) MarkStopping() { g.stopping.Store(true) }

// SetShutdownDeadline makes the guard refuse new calls that may not finish by the given time.
// Calls in flight continue.
func (g *Guard) SetShutdownDeadline(deadline time.Time) { g.shutdownDeadline.Set(deadline) }

// Close makes the guard refuse all new calls; calls at the target continue.
func (g *Guard) Close() { g.closed.Store(true) }

// InFlight returns the number of calls that are queued or at the target.
func (g *Guard) InFlight() int64 { return g.inFlight.Load() }

// Load returns the load that the guard reports to peers on replies to calls of the route.
func (g *Guard) Load(route string) peering.Load {
	inc := g.current.Load()
	if inc == nil {
		return peering.Load{Threshold: shed.None}
	}
	stats := inc.scheduler.Stats()
	downstream := g.config.Downstream(route)
	return peering.Load{
		InFlight:        stats.InFlight,
		Queued:          stats.Queued,
		Limit:           stats.Limit,
		Latency:         inc.stats.latency(route, g.now()),
		Threshold:       min(inc.ownThreshold(), downstream.Threshold),
		FailurePercent:  inc.stats.failurePercent(),
		ErrorPercent:    inc.stats.errorPercent(),
		CallsPerRequest: downstream.CallsPerRequest,
		RetryBudgetLow:  downstream.RetryBudgetLow,
		Stopping:        g.stopping.Load(),
		Target:          inc.targetAnnouncement(),
		Pace:            inc.announcements.pace.Reading(g.now()),
	}
}

// Run executes the call at the target and returns the reply with its outcome.
func (g *Guard) Run(ctx context.Context, call *peering.Call) *peering.Reply {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	started := g.now()
	reply, times := g.run(ctx, call, started)
	reply.Load = g.Load(call.Route)
	g.addRateLimit(&reply.Load, call)
	g.addShortages(reply, call)
	g.logReply(call, reply, started)
	if g.config.Observer != nil {
		g.config.Observer.CallFinished(reply.Outcome, reply.Reason, times.queueTime, times.targetTime)
	}
	return reply
}

// addRateLimit adds the effect of the target's rate limit to a load report: its capacity is
// the number of calls in flight at that rate.
func (g *Guard) addRateLimit(load *peering.Load, call *peering.Call) {
	inc := g.current.Load()
	if inc == nil {
		return
	}
	pacer := &inc.announcements.pacer
	rate := pacer.Rate()
	if rate == 0 {
		return
	}
	latency := inc.stats.currentLatency(call.Route, g.now())
	load.Limit = max(min(load.Limit, int(math.Ceil(rate*latency.Seconds()))), 1)
	load.Room = pacer.Room(pacedCall(call), g.now())
}

// callTimes holds the time that a call spent in the queue and at the target.
type callTimes struct{ queueTime, targetTime time.Duration }

// logReply logs a call that was refused or failed, unless its caller left.
func (g *Guard) logReply(call *peering.Call, reply *peering.Reply, started time.Time) {
	if reply.Outcome == peering.Answered || reply.Reason == peering.CallCanceled {
		return
	}
	kind := eventlog.CallRefused
	if reply.Outcome == peering.Failed {
		kind = eventlog.CallFailed
	}
	event := eventlog.Event{Kind: kind, Request: call.RequestID, Route: call.Route, Service: call.Service, Reason: string(reply.Reason),
		Count: reply.Load.Queued, Wait: reply.RetryAfter, Duration: g.now().Sub(started)}
	if reply.Reason == peering.ExchangeBroken || reply.Reason == peering.TargetCrashed || reply.Reason == peering.Quarantined {
		event.Fingerprint = call.Fingerprint().String()
	}
	g.log.Record(event)
}

func refusedReply(reason peering.Reason) *peering.Reply {
	return &peering.Reply{Outcome: peering.Refused, Reason: reason}
}

func failedReply(reason peering.Reason) *peering.Reply {
	return &peering.Reply{Outcome: peering.Failed, Reason: reason}
}

// run executes the call and measures its time in the queue and at the target.
func (g *Guard) run(ctx context.Context, call *peering.Call, started time.Time) (*peering.Reply, callTimes) {
	inc := g.current.Load()
	switch {
	case g.closed.Load():
		return refusedReply(peering.Stopping), callTimes{}
	case inc == nil || call.Service != inc.target.Service || call.Service != g.config.Service:
		return refusedReply(peering.NoTarget), callTimes{}
	}
	g.adoptAnnouncements(inc, call)
	switch {
	case inc.draining.Load():
		return refusedReply(peering.TargetLeaving), callTimes{}
	case !g.endsBeforeShutdown(inc, call, started):
		return refusedReply(peering.Stopping), callTimes{}
	case inc.reachability.backingOff(started):
		return refusedReply(peering.NoTarget), callTimes{}
	}
	limit := g.limitOf(call, started)
	ctx, cancel := clock.WithTimeout(ctx, limit.wait)
	defer cancel()
	deadline := started.Add(limit.run)
	screened, reply := g.screen(ctx, call)
	if reply != nil {
		return reply, callTimes{queueTime: g.now().Sub(started)}
	}
	defer screened.release()
	token, reply := g.takeToken(inc, call)
	if reply != nil {
		return reply, callTimes{queueTime: g.now().Sub(started)}
	}
	permit, reply := g.acquire(ctx, inc, call, deadline)
	admitted := g.now()
	times := callTimes{queueTime: admitted.Sub(started)}
	if reply != nil {
		inc.announcements.pacer.Return(token)
		return reply, times
	}
	reply = g.exchange(ctx, inc, admission{permit: permit, token: token}, call, &screened, deadline)
	reply = limit.correct(reply, call)
	times.targetTime = g.now().Sub(admitted)
	return reply, times
}
