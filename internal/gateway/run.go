package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/resend"
	"github.com/lugspur/lugspur/internal/transport"
)

// retryBudgetGrace is the time between the deadline of a request and the expiry of its
// retry budget, which applies if the budget is not closed.
const retryBudgetGrace = time.Second

// run executes the call, with retries where allowed, and returns the response.
func (g *Gateway) run(ctx context.Context, c *call) (*home.Reply, *problem.Problem) {
	if c.listener == Edge {
		g.retryBudgets.Open(c.context.RequestID, g.maxRetries(c), c.context.Deadline.Add(retryBudgetGrace))
		defer g.retryBudgets.Close(c.context.RequestID)
		return g.execute(ctx, c)
	}
	if c.withoutContext {
		return g.execute(ctx, c)
	}
	return g.runNested(ctx, c)
}

// execute runs the call, under a claim if it has an idempotency key.
func (g *Gateway) execute(ctx context.Context, c *call) (*home.Reply, *problem.Problem) {
	if c.idempotencyKey == "" {
		return g.runWithRetries(ctx, c)
	}
	return g.runWithClaim(ctx, c)
}

// runNested runs a call that a target made while it processed another call. If the
// target sends a call again that failed before, this counts as a retry of the request
// and requires a grant.
func (g *Gateway) runNested(ctx context.Context, c *call) (*home.Reply, *problem.Problem) {
	fingerprint := resend.FingerprintOf(c.service.Name, c.request.Method, c.request.RequestURI, c.request.Body)
	if g.resends.IsResend(c.context, fingerprint) && !g.requestRetryGrant(ctx, c) {
		return nil, g.newProblem(problem.RetriesSpent, "resend", "the request has no retry left for a call that was sent again").
			WithRetryAfter(defaultRetryAfter)
	}
	reply, failure := g.execute(ctx, c)
	if failure != nil || reply.Status >= http.StatusInternalServerError {
		g.resends.RecordFailure(c.context, fingerprint)
	}
	return reply, failure
}

func (g *Gateway) maxRetries(c *call) int {
	if c.service.Spec.MaxRetries != nil {
		return *c.service.Spec.MaxRetries
	}
	return g.settings.MaxRetries
}

// runWithRetries attempts the call until it succeeds or no retry is allowed.
func (g *Gateway) runWithRetries(ctx context.Context, c *call) (*home.Reply, *problem.Problem) {
	var tried []string
	mayHaveExecuted := false
	for attempt := 1; ; attempt++ {
		reply, failure, target := g.attempt(ctx, c, tried)
		if failure == nil && !isRetryableStatus(reply.Status) {
			g.retryRatio.RecordSuccess()
			return reply, nil
		}
		mayHaveExecuted = mayHaveExecuted || failure == nil || failure.Executed != problem.ExecutedNo
		if !g.mayRetry(ctx, c, reply, failure, attempt) {
			return reply, g.finalProblem(c, failure, mayHaveExecuted)
		}
		if failure == nil {
			reply.Close()
		}
		tried = append(tried, target)
		g.observer.RecordRetry(c.service.Name)
	}
}

// finalProblem returns the problem to report after the last attempt. It must not
// state that the call was not executed if an earlier attempt may have executed it.
func (g *Gateway) finalProblem(c *call, failure *problem.Problem, mayHaveExecuted bool) *problem.Problem {
	if failure == nil {
		return nil
	}
	if mayHaveExecuted {
		failure.Executed = problem.ExecutedUnknown
	}
	if failure.Reason == problem.Overloaded {
		return g.setRetryAfter(c, g.policyLoad(c), failure)
	}
	return failure
}

// attempt sends the call to one target, preferably one that was not tried yet, and
// also returns the target's name.
func (g *Gateway) attempt(ctx context.Context, c *call, tried []string) (*home.Reply, *problem.Problem, string) {
	route, found := g.router.Pick(c.service.Name, tried)
	if !found && len(tried) > 0 {
		route, found = g.router.Pick(c.service.Name, nil)
	}
	if !found {
		return nil, g.newProblem(problem.NoTarget, "routing", "the service has no target that takes calls").
			WithRetryAfter(defaultRetryAfter), ""
	}
	reply, failure := g.send(ctx, c, route)
	load := home.Load{}
	if reply != nil {
		load = reply.Load
	}
	g.router.Done(route, load)
	return reply, failure, route.Target.Name
}

// send sends one attempt of the call to the home node of the route's target, which may
// be this node. If the home cannot be reached, the router skips it for
// unreachablePeriod.
func (g *Gateway) send(ctx context.Context, c *call, route Route) (*home.Reply, *problem.Problem) {
	attemptContext := c.context
	attemptContext.Span = callcontext.NewSpanID()
	forwarded := &home.Call{Context: attemptContext, Call: transport.Call{
		Method:     c.request.Method,
		RequestURI: c.request.RequestURI,
		// All attempts share the headers. Each one overwrites the context and timeout
		// headers of the previous attempt.
		Header: c.request.Header,
		Body:   c.request.Body,
	}}
	if route.Peer == "" {
		return g.runLocally(ctx, c, route, forwarded)
	}
	reply, failure := g.homeClient.Run(ctx, route.Peer, route.Target.Name, forwarded)
	if failure != nil && failure.Reason == problem.NoTarget && failure.Peer == route.Peer {
		g.router.MarkUnreachable(route.Peer)
	}
	return reply, failure
}

func (g *Gateway) runLocally(ctx context.Context, c *call, route Route, forwarded *home.Call) (*home.Reply, *problem.Problem) {
	if err := forwarded.Context.SetHeader(forwarded.Header); err != nil {
		return nil, g.newProblem(problem.Internal, "context", err.Error()).WithCause(err)
	}
	reply, failure := g.homes.Run(ctx, c.service, route.Target, route.Owner, forwarded)
	if failure != nil {
		reply = &home.Reply{Load: g.homes.LoadOf(route.Target.Name)}
	}
	return reply, failure
}

// isRetryableStatus reports whether another target may succeed after a response with
// the status.
func isRetryableStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// mayRetry reports whether the call may be retried. It checks the outcome of the
// attempt, the service's policy, the node's retry ratio and finally the request's retry
// budget, which is charged only if all other checks have passed.
func (g *Gateway) mayRetry(ctx context.Context, c *call, reply *home.Reply, failure *problem.Problem, attempt int) bool {
	if ctx.Err() != nil || !isRetryable(c, reply, failure) {
		return false
	}
	allowedRetries, err := c.service.Policy.Retry(c.policyInput, outcomeOf(reply, failure, attempt))
	if err != nil || attempt > allowedRetries {
		return false
	}
	if !g.retryRatioAllows(c, failure) {
		return false
	}
	return g.requestRetryGrant(ctx, c)
}

// retryRatioAllows reports whether the node's retry ratio allows a retry. Two kinds of
// retries are exempt from the ratio: those after failures that are unrelated to load,
// and those of critical-plus calls after a refusal, because such a call must not be
// shed by one target while another target accepts less important calls.
func (g *Gateway) retryRatioAllows(c *call, failure *problem.Problem) bool {
	if isUnreachableFailure(failure) {
		return true
	}
	notExecuted := failure != nil && failure.Executed == problem.ExecutedNo
	if notExecuted && c.context.Rank.Level == criticality.CriticalPlus {
		return true
	}
	return g.retryRatio.Allow()
}

// requestRetryGrant requests one retry from the request's ingress node and reports
// whether it was granted. It denies the retry if the ingress node is unknown.
func (g *Gateway) requestRetryGrant(ctx context.Context, c *call) bool {
	ingress, known := c.ingress()
	if !known {
		return false
	}
	granted, err := g.retryGrants.RequestRetry(ctx, ingress, c.context.RequestID)
	if err != nil {
		g.log.WithError(err).WithField("step", "grant").WithField("peer", ingress.String()).
			WithField("request_id", c.context.RequestID.String()).Debug("retry grant request failed")
	}
	return granted
}

// isRetryable reports whether a retry of the call may succeed and is safe.
func isRetryable(c *call, reply *home.Reply, failure *problem.Problem) bool {
	if failure == nil {
		return c.policyInput.Repeatable && reply.Header.Get("Retry-After") == ""
	}
	switch failure.Reason {
	case problem.Overloaded, problem.NoTarget, problem.TargetFailed, problem.IncompleteAnswer, problem.Draining:
	default:
		return false
	}
	return failure.Executed == problem.ExecutedNo || c.policyInput.Repeatable
}

// isUnreachableFailure reports whether the call failed before it was executed for a
// reason other than overload, such as an unreachable target.
func isUnreachableFailure(failure *problem.Problem) bool {
	return failure != nil && failure.Executed == problem.ExecutedNo && failure.Reason != problem.Overloaded
}

func outcomeOf(reply *home.Reply, failure *problem.Problem, attempt int) policy.Outcome {
	if failure == nil {
		return policy.Outcome{Status: reply.Status, Executed: policy.ExecutedYes, Attempt: attempt}
	}
	return policy.Outcome{
		Status:   failure.Status,
		Executed: string(failure.Executed),
		Attempt:  attempt,
		Reason:   string(failure.Reason),
	}
}
