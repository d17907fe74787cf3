// Package guard admits calls to the one target beside a node. It is the only
// process that can reach the target, so that it counts the target's work
// exactly: a fixed limit below the target's slots, a priority queue in front of
// it, and pooled connections. A call gets a typed outcome that says whether it
// may have run.
package guard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/callheader"
	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/ending"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/scheduler"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/transport"
)

// Config describes the target's place and the guard's bounds.
type Config struct {
	// Service is the only service whose target may be beside the node.
	Service string
	// Address is the target's.
	Address string
	Headers callheader.Names
	// SlotShare is the part of the target's slots that is used, above 0 and at
	// most 1.
	SlotShare float64
	// MaxQueue and MaxWait bound the queue in front of the target.
	MaxQueue int
	MaxWait  time.Duration
	// MaxBuffered is the largest answer, in bytes.
	MaxBuffered int64
	// MaxConnections returns the target's bound on connections, zero for none.
	MaxConnections func() int
	// Downstream returns what is known of the calls that requests of the route make.
	Downstream func(route string) pressure.Level
	// Quarantine knows requests that crash targets.
	Quarantine Quarantine
	// Observer sees what becomes of calls; it may be nil.
	Observer Observer
}

// Quarantine knows requests that crash targets. It is safe for concurrent use.
type Quarantine interface {
	// Empty reports whether there are no suspects.
	Empty() bool
	// Standing returns what is known of a request.
	Standing(hash fingerprint.Fingerprint) quarantine.Standing
	// Crashed takes the end of the target, with the calls that broke off.
	Crashed(instance string, open []quarantine.OpenCall)
	// Answered notes that the target answered a request.
	Answered(call quarantine.OpenCall)
	// ClaimTrial reports whether a quarantined request whose trial is due may run here.
	ClaimTrial(ctx context.Context, call quarantine.OpenCall) bool
}

// Observer sees what becomes of calls, for metrics.
type Observer interface {
	// Ended sees a call that ended, with its time in the queue and at the target.
	// Calls that were refused have none at the target.
	Ended(outcome peering.Outcome, reason peering.Reason, waited, ran time.Duration)
}

// Guard admits calls to the target. It is safe for concurrent use.
type Guard struct {
	config Config
	log    *eventlog.Log
	now    func() time.Time

	stopping atomic.Bool
	closed   atomic.Bool
	// end is the moment by which all calls must have ended.
	end      ending.ShutdownTime
	inFlight atomic.Int64
	current  atomic.Pointer[incarnation]
	running  runningTable
	turns    turns
	answered answeredSet
	mutex    sync.Mutex
}

// incarnation is one life of the target.
type incarnation struct {
	target    registry.Target
	limit     *fixedLimit
	scheduler *scheduler.Scheduler
	pool      *transport.Pool
	record    trackRecord
	reach     reach
	shedding  *shed.Controller
	crash     crashWatch
	leaving   atomic.Bool
}

// New returns a guard that knows no target yet and refuses all calls.
func New(config Config, log *eventlog.Log, now func() time.Time) *Guard {
	return &Guard{config: config, log: log, now: now}
}

// SetTarget takes the newest state of the target beside the node.
func (g *Guard) SetTarget(target registry.Target) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	old := g.current.Load()
	if target.State != registry.Ready {
		if old != nil {
			old.leave()
		}
		return
	}
	if old != nil && old.target.Incarnation() == target.Incarnation() && !old.leaving.Load() {
		g.resize(old, target)
		return
	}
	if old != nil {
		g.replaced(old)
		old.leave()
		old.pool.Close()
	}
	g.current.Store(g.newIncarnation(target))
}

// Bounds by which a connection to the target that went silent is told, also while a
// call waits on it. The target runs on the same machine, where nothing is lost on the
// way; only its own answers tell how long a call takes.
const (
	targetUserTimeout = time.Second
	targetKeepAlive   = time.Second
)

// leave refuses what waits and all later calls; calls in flight go on.
func (i *incarnation) leave() {
	i.leaving.Store(true)
	i.scheduler.Close()
}

func (g *Guard) newIncarnation(target registry.Target) *incarnation {
	bound := &fixedLimit{}
	bound.set(g.limitFor(target))
	return &incarnation{
		target:    target,
		limit:     bound,
		shedding:  shed.NewController(shedConfig),
		scheduler: scheduler.New(scheduler.Config{MaxQueue: g.config.MaxQueue, MaxWait: g.config.MaxWait, ByRank: true}, bound, g.now),
		pool: transport.NewPool(transport.Config{
			Address:              g.config.Address,
			MaxConnections:       g.config.MaxConnections(),
			MaxBuffered:          g.config.MaxBuffered,
			AcceptCloseDelimited: true,
			UserTimeout:          targetUserTimeout,
			KeepAlive:            targetKeepAlive,
		}),
	}
}

func (g *Guard) resize(i *incarnation, target registry.Target) {
	next := g.limitFor(target)
	if i.limit.Limit() == next {
		return
	}
	i.limit.set(next)
	i.scheduler.Wake()
	g.log.Record(eventlog.Event{Kind: eventlog.LimitChanged, Target: target.Incarnation().String(), Count: next})
}

func (g *Guard) limitFor(target registry.Target) int {
	return max(int(float64(target.Slots)*g.config.SlotShare), 1)
}

// MarkStopping tells peers to prefer other homes ahead of a planned stop. Calls are still
// admitted, as this may be the last home of the service.
func (g *Guard) MarkStopping() { g.stopping.Store(true) }

// SetStopDeadline refuses later calls that may not have ended by the moment. Calls in flight
// go on.
func (g *Guard) SetStopDeadline(moment time.Time) { g.end.Set(moment) }

// endsInTime reports whether a call of the route that begins now has surely ended
// before the guard's end.
func (g *Guard) endsInTime(i *incarnation, route string, now time.Time) bool {
	return g.end.Allows(ending.SafeDuration(i.record.latency(route, now)), now)
}

// Close refuses all later calls; calls in flight go on.
func (g *Guard) Close() { g.closed.Store(true) }

// InFlight returns the number of calls at the target or waiting for it.
func (g *Guard) InFlight() int64 { return g.inFlight.Load() }

// Load returns the guard's state as peers are told it on calls of the route.
func (g *Guard) Load(route string) peering.Load {
	i := g.current.Load()
	if i == nil {
		return peering.Load{Threshold: shed.None}
	}
	stats := i.scheduler.Stats()
	below := g.config.Downstream(route)
	return peering.Load{
		InFlight:        stats.InFlight,
		Queued:          stats.Queued,
		Limit:           stats.Limit,
		Latency:         i.record.latency(route, g.now()),
		Threshold:       min(i.shedding.Threshold(), below.Threshold),
		FailurePercent:  i.record.failures(),
		ErrorPercent:    i.record.errors(),
		CallsPerRequest: below.Calls,
		RetryBudgetLow:  below.RetryBudgetLow,
		Stopping:        g.stopping.Load(),
	}
}

// Run runs the call at the target and says what became of it.
func (g *Guard) Run(ctx context.Context, call *peering.Call) *peering.Reply {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	started := g.now()
	reply, times := g.run(ctx, call, started)
	reply.Load = g.Load(call.Route)
	g.note(call, reply, started)
	if g.config.Observer != nil {
		g.config.Observer.Ended(reply.Outcome, reply.Reason, times.waited, times.ran)
	}
	return reply
}

// callTimes are the times of a call in the queue and at the target.
type callTimes struct{ waited, ran time.Duration }

func (g *Guard) note(call *peering.Call, reply *peering.Reply, started time.Time) {
	if reply.Outcome == peering.Answered || reply.Reason == peering.CallerLeft {
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

func refused(reason peering.Reason) *peering.Reply {
	return &peering.Reply{Outcome: peering.Refused, Reason: reason}
}

func failed(reason peering.Reason) *peering.Reply {
	return &peering.Reply{Outcome: peering.Failed, Reason: reason}
}

func (g *Guard) run(ctx context.Context, call *peering.Call, started time.Time) (*peering.Reply, callTimes) {
	i := g.current.Load()
	switch {
	case g.closed.Load():
		return refused(peering.Stopping), callTimes{}
	case i == nil || call.Service != i.target.Service || call.Service != g.config.Service:
		return refused(peering.NoTarget), callTimes{}
	case i.leaving.Load():
		return refused(peering.TargetLeaving), callTimes{}
	case !g.endsInTime(i, call.Route, started):
		return refused(peering.Stopping), callTimes{}
	case i.reach.paused(started):
		return refused(peering.NoTarget), callTimes{}
	}
	deadline := started.Add(call.Remaining)
	ctx, cancel := clock.WithTimeout(ctx, call.Remaining)
	defer cancel()
	screened, reply := g.screen(ctx, call)
	if reply != nil {
		return reply, callTimes{waited: g.now().Sub(started)}
	}
	defer screened.done()
	permit, reply := g.acquire(ctx, i, call, deadline)
	admitted := g.now()
	times := callTimes{waited: admitted.Sub(started)}
	if reply != nil {
		return reply, times
	}
	reply = g.exchange(ctx, i, permit, call, &screened, deadline)
	times.ran = g.now().Sub(admitted)
	return reply, times
}
