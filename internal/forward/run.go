package forward

import (
	"context"
	"errors"
	"time"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/memorybudget"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/routetable"
)

const (
	// maxOffers limits the number of homes that one request is offered to.
	maxOffers = 4
	// missedDeadlineDelay is the retry delay sent to callers if no home is likely to
	// respond before the deadline.
	missedDeadlineDelay = 700 * time.Millisecond
	// defaultRetryAfter is the retry delay sent to callers if no home proposed one.
	defaultRetryAfter = 150 * time.Millisecond
)

// run offers the request to homes until one answers or none is left. The error response of a
// target is returned if no other target answers.
func (f *Forwarder) run(ctx context.Context, q *request) (*peering.Reply, *problem.Problem) {
	if !q.call.Retried {
		f.budget(q.service).CountRequest()
		f.observer.BudgetCounted(q.service, FirstSent, "")
	}
	started := f.now()
	reply, failure := f.tryHomes(ctx, q)
	f.refundMove(q)
	if q.attempts > 0 && q.route.Kind == routetable.AtMostOnce {
		now := f.now()
		f.homes.recordDuration(q.route.Name, now.Sub(started), now)
	}
	if failure != nil && q.errorReply != nil {
		return q.errorReply, nil
	}
	return reply, failure
}

// tryHomes offers the request to one home after another.
func (f *Forwarder) tryHomes(ctx context.Context, q *request) (*peering.Reply, *problem.Problem) {
	for q.countedOffers()-q.rateRefusals < maxOffers && q.rateRefusals < maxRateRefusals {
		next := f.nextChoice(q)
		home := next.home
		if home == nil {
			q.recordPause(next.paused)
			break
		}
		if !f.endsBeforeShutdown(q) {
			return nil, f.shutdownProblem(q, "run")
		}
		if f.wouldMissDeadline(q, next) {
			return nil, f.refusal(q, problem.Overloaded, "run", "no home is likely to answer in time", missedDeadlineDelay)
		}
		if failure := f.reserveResponse(q); failure != nil {
			return nil, failure
		}
		if failure := f.spendRetryBudget(q); failure != nil {
			return nil, failure
		}
		if home.Zone != f.config.Zone {
			f.observer.ZoneLeft()
		}
		q.lastHome = home.Address
		q.offers++
		q.setAlternative(next)
		reply := f.offer(ctx, q, home)
		if f.takeBack(q, home, reply) {
			continue
		}
		f.recordArrival(q, reply)
		if reply.Outcome != peering.Refused {
			q.attempts++
		}
		if reply.Outcome == peering.Answered {
			f.reportAnswered(q)
			if !f.shouldRetryResponse(q, reply) {
				return reply, nil
			}
			q.errorReply = reply
			q.memory.keepErrorResponse()
			q.lastReason = peering.TargetFailed
			q.excluded = append(q.excluded, home)
			continue
		}
		q.lastReason = reply.Reason
		q.recordCrashes(reply)
		if failure := f.terminalProblem(ctx, q, reply); failure != nil {
			return nil, failure
		}
		q.exclude(home, reply)
		if reply.Outcome == peering.Refused && !f.mayOfferAgain(q, reply) {
			break
		}
	}
	return nil, f.exhaustedProblem(q)
}

// terminalProblem returns the problem for a request that must not be offered to another home
// after a refused or failed offer, and nil if it may be.
func (f *Forwarder) terminalProblem(ctx context.Context, q *request, reply *peering.Reply) *problem.Problem {
	switch {
	case reply.Reason == peering.Quarantined:
		// If the outcome is Failed, the call was canceled while the target was executing
		// it.
		return f.quarantineProblem(q, reply.RetryAfter)
	case ctx.Err() != nil, reply.Reason == peering.DeadlinePassed:
		// The home checks the deadline too and may detect first that it has passed. This
		// is not a failure of its target, and no time is left to try another one.
		return f.timeoutProblem(q, reply)
	case reply.Outcome == peering.Failed:
		return f.retryProblem(q, reply)
	}
	return nil
}

// mayOfferAgain reports whether a request that a home refused is offered to another one.
func (f *Forwarder) mayOfferAgain(q *request, reply *peering.Reply) bool {
	q.recordRetryAfter(reply.RetryAfter)
	if reply.Reason == peering.RateLimited {
		q.rateRefusals++
	}
	return q.countedOffers()-q.rateRefusals <= f.maxRetries(q) && !(q.isSuspect() && reply.Reason == peering.QueueTimeout)
}

// nextChoice returns the home that the request is offered to next. If no other is left,
// homes whose targets rejected the request become eligible again, because targets may reject
// requests at random, and so does a home that gave it back.
func (f *Forwarder) nextChoice(q *request) choice {
	if q.isSuspect() {
		return f.chooseByRendezvousHash(q)
	}
	next := f.choose(q)
	if next.home != nil || !q.readmit() {
		return next
	}
	return f.choose(q)
}

// recordPause records that no home was left to which the request could be offered under the
// rate limits of targets; zero means that this was not the reason.
func (q *request) recordPause(paused time.Duration) {
	if paused == 0 {
		return
	}
	q.recordRetryAfter(paused)
	if q.attempts == 0 {
		q.lastReason = peering.RateLimited
	}
}

// exclude prevents the request from being offered to the home again.
func (q *request) exclude(home *registry.Home, reply *peering.Reply) {
	if reply.Reason == peering.TargetFull {
		q.rejected = append(q.rejected, home)
		return
	}
	q.excluded = append(q.excluded, home)
}

// logRetry logs a retry and the reason why the last offer was not successful.
func (f *Forwarder) logRetry(q *request) {
	f.log.Record(eventlog.Event{Kind: eventlog.RequestRetried, Request: q.id, Route: q.route.Name, Service: q.service, Peer: q.lastHome,
		Attempt: q.attempts, Reason: string(q.lastReason)})
}

// shouldRetryResponse reports whether an answered request is offered to another target: the
// response must report an error of the target itself, and the route must allow retries. If
// the error was caused by a failed downstream call, another target would fail as well.
func (f *Forwarder) shouldRetryResponse(q *request, reply *peering.Reply) bool {
	return reply.TargetError && f.retryProblem(q, reply) == nil
}

// wouldMissDeadline reports whether a request that must not run twice would probably miss
// its deadline at the chosen home. After a missed deadline its caller could not safely send
// it again, but a refused request can be sent again when a home is faster.
func (f *Forwarder) wouldMissDeadline(q *request, next choice) bool {
	return q.route.Kind == routetable.AtMostOnce && q.attempts == 0 && next.latency > q.deadline.Sub(f.now())
}

func (q *request) recordRetryAfter(delay time.Duration) {
	if delay > 0 && (q.retryAfter == 0 || delay < q.retryAfter) {
		q.retryAfter = delay
	}
}

// retryProblem returns nil if a request that may have been executed may be retried at another
// target, and the final problem of the request otherwise.
func (f *Forwarder) retryProblem(q *request, reply *peering.Reply) *problem.Problem {
	detail := ""
	switch {
	case q.route.Kind != routetable.Repeatable:
		detail = "may have run and must not run twice"
	case q.attempts >= max(q.route.Attempts, 1), q.attempts > f.maxRetries(q):
		detail = "no attempts left"
	case q.isolated():
		// The next target is likely to crash as well.
		detail = "targets crashed under the request"
	case f.levels.RetryBudgetLow(q.route.Name):
		detail = "no retry budget left for the calls of the request"
	default:
		return nil
	}
	return f.problem(problem.TargetFailed, problem.ExecutedUnknown, "run", string(reply.Reason)+": "+detail)
}

// timeoutProblem returns the problem for a request whose deadline has passed or whose caller
// has disconnected.
func (f *Forwarder) timeoutProblem(q *request, reply *peering.Reply) *problem.Problem {
	if q.attempts == 0 && reply.Outcome == peering.Refused {
		return f.refusal(q, problem.Overloaded, "run", "no room before the deadline", defaultRetryAfter)
	}
	return f.problem(problem.DeadlineExceeded, problem.ExecutedUnknown, "run", "no answer before the deadline")
}

// exhaustedProblem returns the problem for a request that no further home accepted.
func (f *Forwarder) exhaustedProblem(q *request) *problem.Problem {
	if q.attempts > 0 {
		return f.problem(problem.TargetFailed, problem.ExecutedUnknown, "run", "no other home took the repetition")
	}
	reason := problem.Overloaded
	delay := q.retryAfter
	switch {
	case q.lastReason == peering.RateLimited:
		delay = f.returnDelay(q)
	case len(q.excluded) == 0 || q.lastReason.HomeUnavailable():
		reason = problem.NoTarget
	}
	if delay == 0 {
		delay = defaultRetryAfter
	}
	return f.refusal(q, reason, "run", "no home took the request: "+string(q.lastReason), delay)
}

// offer sends the request to one home and returns its reply.
func (f *Forwarder) offer(ctx context.Context, q *request, home *registry.Home) *peering.Reply {
	state := f.homes.state(home.Address)
	call := *q.call
	call.Retried = q.isRetry()
	call.OfferIndex = q.offers - 1
	call.Alternative = q.move.alternative
	call.Process = home.Process
	if announced, known := f.announced.get(home.Instance); known {
		call.Target = announced.TargetAnnouncement
	}
	call.ResponseMemory = &q.memory.response
	call.WantCost = f.costs.Wanted(q.route.Name, q.service)
	now := f.now()
	call.Remaining = q.deadline.Sub(now)
	if call.Remaining <= 0 {
		return &peering.Reply{Outcome: peering.Refused, Reason: peering.DeadlinePassed}
	}
	if limit, shortened := f.shutdownDeadline.RunLimit(call.Remaining, now); shortened {
		if limit <= 0 {
			return &peering.Reply{Outcome: peering.Refused, Reason: peering.DeadlinePassed}
		}
		call.RunLimit = limit
	}
	if home.Address == f.config.Address {
		done := state.begin(q.route.Name, nil, now)
		defer done()
		// The local home adds headers for its target.
		call.Header = q.call.Header.Clone()
		reply := f.local.Run(ctx, &call)
		f.recordReply(q, home, state, reply)
		return reply
	}
	return f.offerToPeer(ctx, q, home, state, &call)
}

func (f *Forwarder) offerToPeer(ctx context.Context, q *request, home *registry.Home, state *homeState, call *peering.Call) *peering.Reply {
	offerCtx, cancel := clock.WithCancelCause(ctx)
	defer cancel(nil)
	cancelOnSuspicion := cancel
	if q.route.Kind != routetable.Repeatable {
		// The request must not be offered to another home, so canceling this call would
		// gain nothing.
		cancelOnSuspicion = nil
	}
	done := state.begin(q.route.Name, cancelOnSuspicion, f.now())
	reply, err := f.peers.Call(offerCtx, home.Address, call)
	done()
	if err == nil {
		f.recordReply(q, home, state, reply)
		return reply
	}
	return f.replyFromError(ctx, offerCtx, state, err)
}

// replyFromError returns the reply that represents a failed call to a peer. It marks the home
// as suspected, unless the call was ended by its deadline, its caller or an earlier suspicion.
func (f *Forwarder) replyFromError(ctx, offerCtx context.Context, state *homeState, err error) *peering.Reply {
	var failure *peering.Error
	outcome, reason := peering.Failed, peering.ExchangeBroken
	if errors.As(err, &failure) && !failure.Sent {
		outcome, reason = peering.Refused, peering.ConnectFailed
	}
	switch {
	case clock.Expired(ctx):
		reason = peering.DeadlinePassed
	case ctx.Err() != nil:
		reason = peering.CallCanceled
	case errors.Is(err, memorybudget.ErrExceeded):
		reason = peering.OutOfMemory
	case errors.Is(clock.Cause(offerCtx), errSuspected):
		reason = peering.Suspected
	default:
		f.suspect(state, err.Error())
		f.peers.CloseIdle(state.address)
	}
	return &peering.Reply{Outcome: outcome, Reason: reason}
}

// recordReply updates the state of the home with the load and the outcome in a reply.
func (f *Forwarder) recordReply(q *request, home *registry.Home, state *homeState, reply *peering.Reply) {
	f.markReachable(state)
	f.recordAnnouncement(q, home, reply)
	f.shortages.Merge(reply.Shortages)
	f.costs.Merge(q.route.Name, q.service, reply.Costs)
	state.recordLoad(q.route.Name, reply.Load, f.homes.statsOf(q.route.Name).latency, f.now())
	if reply.Outcome == peering.Refused && reply.Reason.HomeUnavailable() {
		// A home that accepts no requests has no capacity, so its shed thresholds no longer
		// apply.
		state.markUnavailable(home, f.now())
		f.levels.Remove(home.Address)
		return
	}
	if reply.Outcome == peering.Answered {
		f.homes.recordResponseSize(q.route.Name, len(reply.Body), f.now())
		f.memory.RecordResponse(q.route.Name, len(reply.Body))
	}
	if reply.Load.Limit > 0 {
		f.levels.Report(q.route.Name, home.Address, pressure.Level{Threshold: reply.Load.Threshold, CallsPerRequest: reply.Load.CallsPerRequest, RetryBudgetLow: reply.Load.RetryBudgetLow}, reply.Load.Limit)
	}
}
