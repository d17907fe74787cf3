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

// run has an admitted call run, as the gateway does.
func (p *player) run(c *call) {
	if c.external() {
		p.budgets.Open(c.context.RequestID, p.maxRetries(c), c.context.Deadline.Add(budgetGrace))
	}
	c.fingerprint = resend.FingerprintOf(c.service.Name, c.method(), c.event.Path, nil)
	if c.event.Parent != "" && p.resent.IsResend(c.context, c.fingerprint) && !p.granted(c, false) {
		failure := p.problem(problem.RetriesSpent, "resend", "the request has no retry left for a call that was sent again")
		p.finish(c, 0, failure.WithRetryAfter(retryAfterDefault))
		return
	}
	if c.event.Key != "" {
		var failure *problem.Problem
		c.claimed, failure = p.claims.claimNow(c, p.clock.now())
		if failure != nil {
			p.finish(c, 0, failure)
			return
		}
	}
	p.try(c)
}

func (p *player) maxRetries(c *call) int {
	if c.service.Spec.MaxRetries != nil {
		return *c.service.Spec.MaxRetries
	}
	return p.header.MaxRetries
}

// try sends the call to one target.
func (p *player) try(c *call) {
	c.attempt++
	c.permit, c.guard = nil, nil
	route, found := p.router.Pick(c.service.Name, c.tried)
	if !found && len(c.tried) > 0 {
		route, found = p.router.Pick(c.service.Name, nil)
	}
	if !found {
		failure := p.problem(problem.NoTarget, "routing", "the service has no target that takes calls")
		p.decide(c, 0, failure.WithRetryAfter(retryAfterDefault))
		return
	}
	c.route = route
	p.acquire(c, p.guardOf(route.Target))
}

// send begins the exchange with the target. It ends at the deadline at the latest.
func (c *call) send(p *player) {
	now := p.clock.now()
	c.sent++
	c.target = c.route.Target.Name
	c.below = c.context
	c.below.Span = callcontext.SpanID{byte(c.number), byte(c.number >> 8), byte(c.number >> 16), byte(c.sent)}
	if c.sent == 1 {
		p.sequence++
		c.order = p.sequence
		c.admitted = p.elapsed()
	}
	c.answer = p.answerTo(c)
	end := now.Add(c.answer.Latency.Duration())
	if end.After(c.context.Deadline) {
		p.at(c.context.Deadline, func() { p.exceeded(c) })
		return
	}
	p.at(end, func() { p.exchanged(c) })
}

// defaultLatency is how long a target takes of which the trace says nothing.
const defaultLatency Millis = 10

func (p *player) answerTo(c *call) Answer {
	if len(c.event.Does) > 0 {
		return c.event.Does[min(c.sent, len(c.event.Does))-1]
	}
	if answer, stated := p.answers[c.service.Name]; stated {
		return answer
	}
	return Answer{Latency: defaultLatency}
}

func (p *player) exceeded(c *call) {
	c.permit.Release(limit.Sample{Outcome: limit.Timeout})
	p.attempted(c, 0, problem.New(problem.DeadlineExceeded, problem.ExecutedUnknown, "transport", c.target, "no complete answer from the target").
		WithRetryAfter(time.Second))
}

// exchanged ends an exchange by what the target did.
func (p *player) exchanged(c *call) {
	switch c.answer.Outcome {
	case OutcomeUnsent:
		p.failed(c, problem.TargetFailed, problem.ExecutedNo)
		return
	case OutcomeSent:
		p.failed(c, problem.TargetFailed, problem.ExecutedUnknown)
		return
	case OutcomeIncomplete:
		p.failed(c, problem.IncompleteAnswer, problem.ExecutedUnknown)
		return
	}
	if c.service.Spec.LoadHeader != "" {
		c.guard.limiter.Hint(c.answer.Load)
	}
	if c.answer.Outcome == OutcomeRefused && c.service.Spec.RefusalHeader != "" {
		c.permit.Release(limit.Sample{Outcome: limit.Overload})
		p.attempted(c, 0, problem.New(problem.Overloaded, problem.ExecutedNo, home.Step, c.target, "refused by the target").
			WithRetryAfter(time.Second))
		return
	}
	c.permit.Release(limit.Sample{Outcome: limit.Success})
	p.attempted(c, c.answer.status(), nil)
}

func (a Answer) status() int {
	switch {
	case a.Status != 0:
		return a.Status
	case a.Outcome == OutcomeRefused:
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

func (p *player) failed(c *call, reason problem.Reason, executed problem.Executed) {
	c.permit.Release(limit.Sample{Outcome: limit.Failure})
	p.attempted(c, 0, problem.New(reason, executed, "transport", c.target, "no complete answer from the target").
		WithRetryAfter(time.Second))
}

// attempted ends an attempt at a target and tells the router its load.
func (p *player) attempted(c *call, status int, failure *problem.Problem) {
	p.router.Done(c.route, c.guard.load(p.clock.now()))
	p.decide(c, status, failure)
}

// decide ends the call or sends it again.
func (p *player) decide(c *call, status int, failure *problem.Problem) {
	if failure == nil && !retryableStatus(status) {
		p.ratio.RecordSuccess()
		p.finish(c, status, nil)
		return
	}
	c.mayHaveRun = c.mayHaveRun || failure == nil || failure.Executed != problem.ExecutedNo
	if !p.mayRetry(c, status, failure) {
		p.finish(c, status, p.final(c, failure))
		return
	}
	if c.route.Target != nil {
		c.tried = append(c.tried, c.route.Target.Name)
	}
	p.try(c)
}

func retryableStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func (p *player) final(c *call, failure *problem.Problem) *problem.Problem {
	if failure == nil {
		return nil
	}
	if c.mayHaveRun {
		failure.Executed = problem.ExecutedUnknown
	}
	if failure.Reason == problem.Overloaded {
		return p.whenToComeBack(c, failure)
	}
	return failure
}

// mayRetry asks the call, the policy, the node's share of retries and the
// request's budget, in the gateway's order.
func (p *player) mayRetry(c *call, status int, failure *problem.Problem) bool {
	if !p.clock.now().Before(c.context.Deadline) || !worthRetrying(c, failure) {
		return false
	}
	outcome := policy.Outcome{Status: status, Executed: policy.ExecutedYes, Attempt: c.attempt}
	if failure != nil {
		outcome.Status = failure.Status
		outcome.Executed = string(failure.Executed)
		outcome.Reason = string(failure.Reason)
	}
	allowed, err := c.service.Policy.Retry(c.policy, outcome)
	if err != nil || c.attempt > allowed {
		return false
	}
	if !unreachable(failure) && !mostImportantNotRun(c, failure) && !p.ratio.Allow() {
		return false
	}
	return p.granted(c, c.answer.GrantLost)
}

var retryableReasons = []problem.Reason{
	problem.Overloaded, problem.NoTarget, problem.TargetFailed, problem.IncompleteAnswer, problem.Draining,
}

func worthRetrying(c *call, failure *problem.Problem) bool {
	if failure == nil {
		return c.policy.Repeatable
	}
	if !slices.Contains(retryableReasons, failure.Reason) {
		return false
	}
	return failure.Executed == problem.ExecutedNo || c.policy.Repeatable
}

func unreachable(failure *problem.Problem) bool {
	return failure != nil && failure.Executed == problem.ExecutedNo && failure.Reason != problem.Overloaded
}

// finish ends a call.
func (p *player) finish(c *call, status int, failure *problem.Problem) {
	c.result = &result{at: p.elapsed(), status: status, failure: failure}
	if failure != nil {
		c.result.status = failure.Status
	}
	if c.claimed != nil && failure != nil && failure.Executed == problem.ExecutedNo {
		p.claims.release(c.claimed, p.clock.now())
	}
	if c.service != nil && c.event.Parent != "" && c.result.status >= http.StatusInternalServerError {
		p.resent.RecordFailure(c.context, c.fingerprint)
	}
	if c.external() && c.attempt > 0 {
		p.report.spent[c.id] = p.budgets.Spent(c.context.RequestID)
		p.budgets.Close(c.context.RequestID)
	}
	p.pending--
}

// mostImportantNotRun reports whether the failure is the refusal of a call of
// the highest level that no target has run, as the gateway asks it.
func mostImportantNotRun(c *call, failure *problem.Problem) bool {
	return failure != nil && failure.Executed == problem.ExecutedNo && c.context.Rank.Level == criticality.CriticalPlus
}
