package replay

import (
	"net/http"
	"slices"
	"time"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/limit"
	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/resend"
)

// startCall starts an admitted call, as the gateway does.
func (p *player) startCall(c *call) {
	if c.external() {
		p.budgets.Open(c.context.RequestID, p.maxRetries(c), c.context.Deadline.Add(budgetGrace))
	}
	c.fingerprint = resend.FingerprintOf(c.service.Name, c.method(), c.event.Path, nil)
	if c.event.Parent != "" && p.resends.IsResend(c.context, c.fingerprint) && !p.requestGrant(c, false) {
		failure := p.newProblem(problem.RetriesSpent, "resend", "the request has no retry left for a call that was sent again")
		p.finish(c, 0, failure.WithRetryAfter(defaultRetryAfter))
		return
	}
	if c.event.Key != "" {
		var failure *problem.Problem
		c.claimAttempt, failure = p.claims.claimKey(c, p.clock.now())
		if failure != nil {
			p.finish(c, 0, failure)
			return
		}
	}
	p.startAttempt(c)
}

func (p *player) maxRetries(c *call) int {
	if c.service.Spec.MaxRetries != nil {
		return *c.service.Spec.MaxRetries
	}
	return p.header.MaxRetries
}

// startAttempt picks a target and requests a permit for the call there.
func (p *player) startAttempt(c *call) {
	c.attempts++
	c.permit, c.targetState = nil, nil
	route, found := p.router.Pick(c.service.Name, c.triedTargets)
	if !found && len(c.triedTargets) > 0 {
		route, found = p.router.Pick(c.service.Name, nil)
	}
	if !found {
		failure := p.newProblem(problem.NoTarget, "routing", "the service has no target that takes calls")
		p.finishOrRetry(c, 0, failure.WithRetryAfter(defaultRetryAfter))
		return
	}
	c.route = route
	p.acquirePermit(c, p.targetStateOf(route.Target))
}

// send starts the exchange with the target, which ends at the call's deadline at the
// latest.
func (c *call) send(p *player) {
	now := p.clock.now()
	c.sendCount++
	c.lastTarget = c.route.Target.Name
	c.downstreamContext = c.context
	c.downstreamContext.Span = callcontext.SpanID{byte(c.sequence), byte(c.sequence >> 8), byte(c.sequence >> 16), byte(c.sendCount)}
	if c.sendCount == 1 {
		p.sequence++
		c.admissionOrder = p.sequence
		c.admittedAt = p.elapsed()
	}
	c.response = p.responseTo(c)
	end := now.Add(c.response.Latency.Duration())
	if end.After(c.context.Deadline) {
		p.scheduleAt(c.context.Deadline, func() { p.deadlineExceeded(c) })
		return
	}
	p.scheduleAt(end, func() { p.completeExchange(c) })
}

// defaultLatency is the latency of targets for which the trace defines no response.
const defaultLatency Millis = 10

func (p *player) responseTo(c *call) Response {
	if len(c.event.Responses) > 0 {
		return c.event.Responses[min(c.sendCount, len(c.event.Responses))-1]
	}
	if response, defined := p.defaultResponses[c.service.Name]; defined {
		return response
	}
	return Response{Latency: defaultLatency}
}

// deadlineExceeded ends an exchange at the call's deadline.
func (p *player) deadlineExceeded(c *call) {
	c.permit.Release(limit.Sample{Outcome: limit.Timeout})
	p.finishAttempt(c, 0, problem.New(problem.DeadlineExceeded, problem.ExecutedUnknown, "transport", c.lastTarget, "no complete answer from the target").
		WithRetryAfter(time.Second))
}

// completeExchange ends an exchange with the target's response.
func (p *player) completeExchange(c *call) {
	switch c.response.Outcome {
	case OutcomeFailedUnsent:
		p.failExchange(c, problem.TargetFailed, problem.ExecutedNo)
		return
	case OutcomeFailedSent:
		p.failExchange(c, problem.TargetFailed, problem.ExecutedUnknown)
		return
	case OutcomeIncomplete:
		p.failExchange(c, problem.IncompleteAnswer, problem.ExecutedUnknown)
		return
	}
	if c.service.Spec.LoadHeader != "" {
		c.targetState.limiter.Hint(c.response.Load)
	}
	if c.response.Outcome == OutcomeRefused && c.service.Spec.RefusalHeader != "" {
		c.permit.Release(limit.Sample{Outcome: limit.Overload})
		p.finishAttempt(c, 0, problem.New(problem.Overloaded, problem.ExecutedNo, home.Step, c.lastTarget, "refused by the target").
			WithRetryAfter(time.Second))
		return
	}
	c.permit.Release(limit.Sample{Outcome: limit.Success})
	p.finishAttempt(c, c.response.status(), nil)
}

func (r Response) status() int {
	switch {
	case r.Status != 0:
		return r.Status
	case r.Outcome == OutcomeRefused:
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

func (p *player) failExchange(c *call, reason problem.Reason, executed problem.Executed) {
	c.permit.Release(limit.Sample{Outcome: limit.Failure})
	p.finishAttempt(c, 0, problem.New(reason, executed, "transport", c.lastTarget, "no complete answer from the target").
		WithRetryAfter(time.Second))
}

// finishAttempt reports the target's load to the router at the end of an attempt, and
// finishes or retries the call.
func (p *player) finishAttempt(c *call, status int, failure *problem.Problem) {
	p.router.Done(c.route, c.targetState.load(p.clock.now()))
	p.finishOrRetry(c, status, failure)
}

// finishOrRetry finishes the call or retries it at another target.
func (p *player) finishOrRetry(c *call, status int, failure *problem.Problem) {
	if failure == nil && !retryableStatus(status) {
		p.retryRatio.RecordSuccess()
		p.finish(c, status, nil)
		return
	}
	c.mayHaveExecuted = c.mayHaveExecuted || failure == nil || failure.Executed != problem.ExecutedNo
	if !p.mayRetry(c, status, failure) {
		p.finish(c, status, p.finalProblem(c, failure))
		return
	}
	if c.route.Target != nil {
		c.triedTargets = append(c.triedTargets, c.route.Target.Name)
	}
	p.startAttempt(c)
}

func retryableStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// finalProblem returns the problem that the caller receives, or nil for a response.
func (p *player) finalProblem(c *call, failure *problem.Problem) *problem.Problem {
	if failure == nil {
		return nil
	}
	if c.mayHaveExecuted {
		failure.Executed = problem.ExecutedUnknown
	}
	if failure.Reason == problem.Overloaded {
		return p.setRetryAfter(c, failure)
	}
	return failure
}

// mayRetry reports whether the call is retried. It checks the call itself, the
// service's policy, the node's retry ratio and finally the request's retry budget, in
// the same order as the gateway.
func (p *player) mayRetry(c *call, status int, failure *problem.Problem) bool {
	if !p.clock.now().Before(c.context.Deadline) || !isRetryable(c, failure) {
		return false
	}
	outcome := policy.Outcome{Status: status, Executed: policy.ExecutedYes, Attempt: c.attempts}
	if failure != nil {
		outcome.Status = failure.Status
		outcome.Executed = string(failure.Executed)
		outcome.Reason = string(failure.Reason)
	}
	allowed, err := c.service.Policy.Retry(c.policy, outcome)
	if err != nil || c.attempts > allowed {
		return false
	}
	if !unreachable(failure) && !isUnexecutedCriticalPlus(c, failure) && !p.retryRatio.Allow() {
		return false
	}
	return p.requestGrant(c, c.response.GrantResponseLost)
}

var retryableReasons = []problem.Reason{
	problem.Overloaded, problem.NoTarget, problem.TargetFailed, problem.IncompleteAnswer, problem.Draining,
}

// isRetryable reports whether a retry of the call may succeed and is safe.
func isRetryable(c *call, failure *problem.Problem) bool {
	if failure == nil {
		return c.policy.Repeatable
	}
	if !slices.Contains(retryableReasons, failure.Reason) {
		return false
	}
	return failure.Executed == problem.ExecutedNo || c.policy.Repeatable
}

// unreachable reports whether the call did not reach a target that accepts calls,
// for a reason other than overload.
func unreachable(failure *problem.Problem) bool {
	return failure != nil && failure.Executed == problem.ExecutedNo && failure.Reason != problem.Overloaded
}

// finish records the call's result. It releases the claim of a call that was not
// executed and closes the retry budget of a call from outside the mesh.
func (p *player) finish(c *call, status int, failure *problem.Problem) {
	c.result = &callResult{elapsed: p.elapsed(), status: status, failure: failure}
	if failure != nil {
		c.result.status = failure.Status
	}
	if c.claimAttempt != nil && failure != nil && failure.Executed == problem.ExecutedNo {
		p.claims.release(c.claimAttempt, p.clock.now())
	}
	if c.service != nil && c.event.Parent != "" && c.result.status >= http.StatusInternalServerError {
		p.resends.RecordFailure(c.context, c.fingerprint)
	}
	if c.external() && c.attempts > 0 {
		p.report.retriesGranted[c.id] = p.budgets.Spent(c.context.RequestID)
		p.budgets.Close(c.context.RequestID)
	}
	p.pending--
}

// isUnexecutedCriticalPlus reports whether the failure is that of a critical-plus
// call that no target has executed, such as a refusal. As in the gateway, retries of
// such calls are exempt from the retry ratio.
func isUnexecutedCriticalPlus(c *call, failure *problem.Problem) bool {
	return failure != nil && failure.Executed == problem.ExecutedNo && c.context.Rank.Level == criticality.CriticalPlus
}
