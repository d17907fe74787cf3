package replay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/limit"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/scheduler"
	"github.com/lugspur/lugspur/internal/shed"
)

// guard is the state of one target at its home, without its connections.
type guard struct {
	target    *catalog.Target
	limiter   *limit.Limiter
	scheduler *scheduler.Scheduler
	shedding  *shed.Controller
}

// permission is what a call got that asked for a permit.
type permission struct {
	call   *call
	guard  *guard
	permit *scheduler.Permit
	err    error
}

// guardOf returns the guard of the target, for its present object.
func (p *player) guardOf(target *catalog.Target) *guard {
	g := p.guards[target.Name]
	if g == nil {
		g = p.newGuard(target)
		p.guards[target.Name] = g
	}
	if g.target != target {
		g.target = target
		g.limiter.SetCeiling(ceilingOf(target))
		g.scheduler.Wake()
	}
	return g
}

func ceilingOf(target *catalog.Target) int { return max(min(target.Slots, target.Connections), 1) }

func (p *player) newGuard(target *catalog.Target) *guard {
	config := limit.Config{Ceiling: ceilingOf(target)}
	if p.header.FixedLimit {
		config.Initial, config.Minimum = config.Ceiling, config.Ceiling
	}
	limiter := limit.New(config, p.clock.now)
	queue := scheduler.Config{
		MaxQueue: p.header.Queue.MaxQueue,
		MaxWait:  p.header.Queue.MaxWait.Duration(),
		Target:   p.header.Queue.Target.Duration(),
		Interval: p.header.Queue.Interval.Duration(),
	}
	return &guard{
		target:    target,
		limiter:   limiter,
		scheduler: scheduler.New(queue, limiter, p.clock.now),
		shedding:  shed.NewController(shed.Config{}),
	}
}

// acquire asks for a permit for the call.
func (p *player) acquire(c *call, g *guard) {
	g.shedding.Observe(c.context.Rank)
	request := scheduler.Request{
		Rank:     c.context.Rank,
		Deadline: c.context.Deadline,
		ID:       c.id,
		Caller:   xxhash.Sum64String(c.context.Caller),
	}
	ask := func() {
		// The scheduler itself keeps to the request's deadline.
		permit, err := g.scheduler.Acquire(context.Background(), request)
		p.hand(permission{call: c, guard: g, permit: permit, err: err})
	}
	if p.clock.timers() {
		go ask()
		return
	}
	if stats := g.scheduler.Stats(); stats.Queued > 0 || stats.InFlight >= stats.Limit {
		p.fail(fmt.Errorf("call %s: %w", c.id, ErrQueues))
		return
	}
	ask()
}

// hand gives what a call got to the player.
func (p *player) hand(got permission) {
	p.mu.Lock()
	p.arrived = append(p.arrived, got)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// take lets a call go on with its permit or refusal.
func (p *player) take(got permission) {
	c := got.call
	c.guard = got.guard
	if got.err != nil {
		p.attempted(c, 0, refusalOf(got.guard.target, got.err))
		return
	}
	c.permit = got.permit
	c.send(p)
}

func refusalOf(target *catalog.Target, err error) *problem.Problem {
	var refusal *scheduler.Refusal
	if !errors.As(err, &refusal) {
		return problem.New(problem.CallerGone, problem.ExecutedNo, home.Step, target.Name, err.Error())
	}
	return problem.New(problem.Overloaded, problem.ExecutedNo, home.Step, target.Name, refusal.Reason.String()).
		WithRetryAfter(refusal.RetryAfter)
}

// load is what the guard tells of the target.
func (g *guard) load(now time.Time) home.Load {
	stats := g.scheduler.Stats()
	return home.Load{
		InFlight:   stats.InFlight,
		Limit:      stats.Limit,
		Queued:     stats.Queued,
		QueueDelay: stats.QueueDelay,
		Threshold:  g.shedding.Threshold(),
		Version:    uint64(now.UnixMilli()),
	}
}
