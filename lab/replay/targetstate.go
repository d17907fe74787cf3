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

// targetState is the state that a home keeps of one target, without connections.
type targetState struct {
	target         *catalog.Target
	limiter        *limit.Limiter
	scheduler      *scheduler.Scheduler
	shedController *shed.Controller
}

// acquireResult is the result of a call's request for a permit.
type acquireResult struct {
	call        *call
	targetState *targetState
	permit      *scheduler.Permit
	err         error
}

// targetStateOf returns the state of the target. It creates the state if there is
// none and updates it if the target's object has changed.
func (p *player) targetStateOf(target *catalog.Target) *targetState {
	state := p.targetStates[target.Name]
	if state == nil {
		state = p.newTargetState(target)
		p.targetStates[target.Name] = state
	}
	if state.target != target {
		state.target = target
		state.limiter.SetCeiling(ceilingOf(target))
		state.scheduler.Wake()
	}
	return state
}

// ceilingOf returns the highest possible concurrency limit of the target.
func ceilingOf(target *catalog.Target) int { return max(min(target.Slots, target.Connections), 1) }

func (p *player) newTargetState(target *catalog.Target) *targetState {
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
	return &targetState{
		target:         target,
		limiter:        limiter,
		scheduler:      scheduler.New(queue, limiter, p.clock.now),
		shedController: shed.NewController(shed.Config{}),
	}
}

// acquirePermit requests a permit for the call. The call resumes with the result.
func (p *player) acquirePermit(c *call, state *targetState) {
	state.shedController.Observe(c.context.Rank)
	request := scheduler.Request{
		Rank:     c.context.Rank,
		Deadline: c.context.Deadline,
		ID:       c.id,
		Caller:   xxhash.Sum64String(c.context.Caller),
	}
	acquire := func() {
		// The context needs no deadline: the scheduler enforces the one of the request.
		permit, err := state.scheduler.Acquire(context.Background(), request)
		p.deliver(acquireResult{call: c, targetState: state, permit: permit, err: err})
	}
	if p.clock.drivesTimers() {
		go acquire()
		return
	}
	if stats := state.scheduler.Stats(); stats.Queued > 0 || stats.InFlight >= stats.Limit {
		p.fail(fmt.Errorf("call %s: %w", c.id, ErrCallQueued))
		return
	}
	acquire()
}

// deliver passes the result to the player and wakes it.
func (p *player) deliver(result acquireResult) {
	p.mu.Lock()
	p.acquireResults = append(p.acquireResults, result)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// resume continues a call that received a permit or a refusal.
func (p *player) resume(result acquireResult) {
	c := result.call
	c.targetState = result.targetState
	if result.err != nil {
		p.finishAttempt(c, 0, refusalProblem(result.targetState.target, result.err))
		return
	}
	c.permit = result.permit
	c.send(p)
}

func refusalProblem(target *catalog.Target, err error) *problem.Problem {
	var refusal *scheduler.Refusal
	if !errors.As(err, &refusal) {
		return problem.New(problem.CallerGone, problem.ExecutedNo, home.Step, target.Name, err.Error())
	}
	return problem.New(problem.Overloaded, problem.ExecutedNo, home.Step, target.Name, refusal.Reason.String()).
		WithRetryAfter(refusal.RetryAfter)
}

// load returns the load report that the home would send for the target.
func (s *targetState) load(now time.Time) home.Load {
	stats := s.scheduler.Stats()
	return home.Load{
		InFlight:   stats.InFlight,
		Limit:      stats.Limit,
		Queued:     stats.Queued,
		QueueDelay: stats.QueueDelay,
		Threshold:  s.shedController.Threshold(),
		Version:    uint64(now.UnixMilli()),
	}
}
