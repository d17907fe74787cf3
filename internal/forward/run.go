package forward

import (
	"context"
	"errors"
	"time"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/routetable"
)

const (
	// maxHomes bounds the homes that one request is offered to.
	maxHomes = 4
	// hopelessDelay is told where no home is likely to answer in time.
	hopelessDelay = 700 * time.Millisecond
	// defaultRetryAfter is told where no home proposed a time.
	defaultRetryAfter = 150 * time.Millisecond
)

// run offers the request to homes until one answers or none is left. A target's
// own failure stands if no other target answers.
func (f *Forwarder) run(ctx context.Context, q *request) (*peering.Reply, *problem.Problem) {
	if !q.call.Repeat {
		f.budget(q.service).CountRequest()
		f.observer.BudgetCounted(q.service, FirstSent, "")
	}
	reply, failure := f.tryHomes(ctx, q)
	if failure != nil && q.errorAnswer != nil {
		return q.errorAnswer, nil
	}
	return reply, failure
}

// tryHomes offers the request to one home after the other.
func (f *Forwarder) tryHomes(ctx context.Context, q *request) (*peering.Reply, *problem.Problem) {
	for q.offers < maxHomes {
		next := f.chooseAgain(q)
		home := next.home
		if home == nil {
			break
		}
		if f.hopeless(q, next) {
			return nil, f.refusal(q, problem.Overloaded, "run", "no home is likely to answer in time", hopelessDelay)
		}
		if failure := f.payForRepetition(q); failure != nil {
			return nil, failure
		}
		q.lastHome = home.Address
		q.offers++
		reply := f.offer(ctx, q, home)
		f.countArrival(q, reply)
		if reply.Outcome != peering.Refused {
			q.attempts++
		}
		if reply.Outcome == peering.Answered {
			f.noteAnswered(q)
			if !f.worthRepeating(q, reply) {
				return reply, nil
			}
			q.errorAnswer = reply
			q.lastReason = peering.TargetFailed
			q.excluded = append(q.excluded, home)
			continue
		}
		q.lastReason = reply.Reason
		q.noteCrash(reply)
		if failure := f.final(ctx, q, reply); failure != nil {
			return nil, failure
		}
		q.exclude(home, reply)
		if reply.Outcome == peering.Refused && !f.offersAgain(q, reply) {
			break
		}
	}
	return nil, f.exhausted(q)
}

// final returns the answer to a request that no other home may be offered after a
// reply without an answer, nil if one may.
func (f *Forwarder) final(ctx context.Context, q *request, reply *peering.Reply) *problem.Problem {
	switch {
	case reply.Reason == peering.Quarantined:
		// One that failed was withdrawn from the target.
		return f.quarantined(q, reply.RetryAfter)
	case ctx.Err() != nil, reply.Reason == peering.DeadlinePassed:
		// The home watches the deadline as well and may notice first. That is no failure
		// of its target, and no time is left for another one.
		return f.timedOut(q, reply)
	case reply.Outcome == peering.Failed:
		return f.repeatable(q, reply)
	}
	return nil
}

// offersAgain reports whether a request that a home refused goes to another one.
func (f *Forwarder) offersAgain(q *request, reply *peering.Reply) bool {
	q.noteWait(reply.RetryAfter)
	return q.offers <= f.retries(q) && !(q.suspected() && reply.Reason == peering.Waited)
}

// chooseAgain returns the home that the request goes to next. Once no other is
// left, homes whose targets turned it away are chosen again: these may reject
// requests at random.
func (f *Forwarder) chooseAgain(q *request) choice {
	if q.suspected() {
		return f.chooseByHash(q)
	}
	next := f.choose(q)
	if next.home != nil || len(q.rejected) == 0 {
		return next
	}
	q.rejected = nil
	return f.choose(q)
}

// exclude keeps the request from being offered to the home once more.
func (q *request) exclude(home *registry.Home, reply *peering.Reply) {
	if reply.Reason == peering.TargetFull {
		q.rejected = append(q.rejected, home)
		return
	}
	q.excluded = append(q.excluded, home)
}

// noteRetry logs that the request is repeated after what the last home said.
func (f *Forwarder) noteRetry(q *request) {
	f.log.Record(eventlog.Event{Kind: eventlog.RequestRetried, Request: q.id, Route: q.route.Name, Service: q.service, Peer: q.lastHome,
		Attempt: q.attempts, Reason: string(q.lastReason)})
}

// worthRepeating reports whether a request goes to another target although one
// answered: with a failure of its own, for a request that may run again. If a
// call that the request made had failed, another target would fail as well.
func (f *Forwarder) worthRepeating(q *request, reply *peering.Reply) bool {
	return reply.OwnFailure && f.repeatable(q, reply) == nil
}

// hopeless reports whether a request that must not run twice would most likely
// run in vain: its caller could not send it again, while one that is refused may
// come back once a home does better.
func (f *Forwarder) hopeless(q *request, next choice) bool {
	return q.route.Kind == routetable.Once && q.attempts == 0 && next.latency > q.deadline.Sub(f.now())
}

func (q *request) noteWait(proposed time.Duration) {
	if proposed > 0 && (q.retryAfter == 0 || proposed < q.retryAfter) {
		q.retryAfter = proposed
	}
}

// repeatable returns nil if the request, which may have run, may go to another
// target.
func (f *Forwarder) repeatable(q *request, reply *peering.Reply) *problem.Problem {
	detail := ""
	switch {
	case q.route.Kind != routetable.Repeatable:
		detail = "may have run and must not run twice"
	case q.attempts >= max(q.route.Attempts, 1), q.attempts > f.retries(q):
		detail = "no attempts left"
	case q.isolated():
		// The next target may well crash, too.
		detail = "targets crashed under the request"
	case f.levels.Scarce(q.route.Name):
		detail = "no retry budget left for the calls of the request"
	default:
		return nil
	}
	return f.problem(problem.TargetFailed, problem.ExecutedUnknown, "run", string(reply.Reason)+": "+detail)
}

// timedOut returns the answer to a request whose time is over.
func (f *Forwarder) timedOut(q *request, reply *peering.Reply) *problem.Problem {
	if q.attempts == 0 && reply.Outcome == peering.Refused {
		return f.refusal(q, problem.Overloaded, "run", "no room before the deadline", defaultRetryAfter)
	}
	return f.problem(problem.DeadlineExceeded, problem.ExecutedUnknown, "run", "no answer before the deadline")
}

// exhausted returns the answer to a request that no home took.
func (f *Forwarder) exhausted(q *request) *problem.Problem {
	if q.attempts > 0 {
		return f.problem(problem.TargetFailed, problem.ExecutedUnknown, "run", "no other home took the repetition")
	}
	reason := problem.Overloaded
	if len(q.excluded) == 0 || q.lastReason.Final() {
		reason = problem.NoTarget
	}
	delay := q.retryAfter
	if delay == 0 {
		delay = defaultRetryAfter
	}
	return f.refusal(q, reason, "run", "no home took the request: "+string(q.lastReason), delay)
}

// offer has one home run the request.
func (f *Forwarder) offer(ctx context.Context, q *request, home *registry.Home) *peering.Reply {
	state := f.homes.state(home.Address)
	call := *q.call
	call.Header = q.call.Header.Clone()
	call.Repeat = q.repeats()
	call.Offer = q.offers - 1
	call.Process = home.Process
	call.Remaining = q.deadline.Sub(f.now())
	if call.Remaining <= 0 {
		return &peering.Reply{Outcome: peering.Refused, Reason: peering.DeadlinePassed}
	}
	if home.Address == f.config.Address {
		done := state.begin(q.route.Name, nil, f.now())
		defer done()
		reply := f.local.Run(ctx, &call)
		f.heed(q, home, state, reply)
		return reply
	}
	return f.offerToPeer(ctx, q, home, state, &call)
}

func (f *Forwarder) offerToPeer(ctx context.Context, q *request, home *registry.Home, state *homeState, call *peering.Call) *peering.Reply {
	offerCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	abandon := cancel
	if q.route.Kind != routetable.Repeatable {
		// It must not go elsewhere, so that waiting for the home is all that is left.
		abandon = nil
	}
	done := state.begin(q.route.Name, abandon, f.now())
	reply, err := f.peers.Call(offerCtx, home.Address, call)
	done()
	if err == nil {
		f.heed(q, home, state, reply)
		return reply
	}
	return f.peerFailed(ctx, offerCtx, state, err)
}

// peerFailed says what a missing reply means.
func (f *Forwarder) peerFailed(ctx, offerCtx context.Context, state *homeState, err error) *peering.Reply {
	var failure *peering.Error
	outcome, reason := peering.Failed, peering.Broken
	if errors.As(err, &failure) && !failure.Sent {
		outcome, reason = peering.Refused, peering.Unconnected
	}
	switch {
	case clock.Expired(ctx):
		reason = peering.DeadlinePassed
	case ctx.Err() != nil:
		reason = peering.CallerLeft
	case errors.Is(context.Cause(offerCtx), errSuspected):
		reason = peering.Suspected
	default:
		f.suspect(state, err.Error())
		f.peers.Forget(state.address)
	}
	return &peering.Reply{Outcome: outcome, Reason: reason}
}

// heed takes what a reply tells of the home.
func (f *Forwarder) heed(q *request, home *registry.Home, state *homeState, reply *peering.Reply) {
	f.trust(state)
	state.report(q.route.Name, reply.Load, f.homes.usualOf(q.route.Name).latency, f.now())
	if reply.Outcome == peering.Refused && reply.Reason.Final() {
		// One that takes nothing is no room for others.
		state.depart(home, f.now())
		f.levels.Remove(home.Address)
		return
	}
	if reply.Outcome == peering.Answered {
		f.homes.noteAnswer(q.route.Name, len(reply.Body))
	}
	if reply.Load.Limit > 0 {
		f.levels.Report(q.route.Name, home.Address, pressure.Level{Threshold: reply.Load.Threshold, Calls: reply.Load.Calls, Scarce: reply.Load.Scarce}, reply.Load.Limit)
	}
}
