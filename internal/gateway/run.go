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

// budgetGrace is how long a request's retry budget outlives its deadline when
// the request is never closed.
const budgetGrace = time.Second

// run has the call run, once or more often, and returns the answer.
func (g *Gateway) run(ctx context.Context, c *call) (*home.Reply, *problem.Problem) {
	if c.listener == Edge {
		g.budgets.Open(c.context.RequestID, g.maxRetries(c), c.context.Deadline.Add(budgetGrace))
		defer g.budgets.Close(c.context.RequestID)
		return g.runOnce(ctx, c)
	}
	if c.orphan {
		return g.runOnce(ctx, c)
	}
	return g.runForTarget(ctx, c)
}

// runOnce has the call run, under a claim if it carries an idempotency key.
func (g *Gateway) runOnce(ctx context.Context, c *call) (*home.Reply, *problem.Problem) {
	if c.key == "" {
		return g.attempts(ctx, c)
	}
	return g.runClaimed(ctx, c)
}

// runForTarget has a target's call run. One that failed before and that the
// target sends again is a retry of the request and needs a grant.
func (g *Gateway) runForTarget(ctx context.Context, c *call) (*home.Reply, *problem.Problem) {
	fingerprint := resend.FingerprintOf(c.service.Name, c.message.Method, c.message.RequestURI, c.message.Body)
	if g.resent.IsResend(c.context, fingerprint) && !g.granted(ctx, c) {
		return nil, g.problem(problem.RetriesSpent, "resend", "the request has no retry left for a call that was sent again").
			WithRetryAfter(retryAfterDefault)
	}
	reply, failure := g.runOnce(ctx, c)
	if failure != nil || reply.Status >= http.StatusInternalServerError {
		g.resent.RecordFailure(c.context, fingerprint)
	}
	return reply, failure
}

func (g *Gateway) maxRetries(c *call) int {
	if c.service.Spec.MaxRetries != nil {
		return *c.service.Spec.MaxRetries
	}
	return g.settings.MaxRetries
}

// attempts sends the call until it is answered or may not be sent again.
func (g *Gateway) attempts(ctx context.Context, c *call) (*home.Reply, *problem.Problem) {
	var tried []string
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		reply, failure, target := g.attempt(ctx, c, tried)
		if failure == nil && !retryableStatus(reply.Status) {
			g.ratio.Success()
			return reply, nil
		}
		mayHaveRun = mayHaveRun || failure == nil || failure.Executed != problem.ExecutedNo
		if !g.mayRetry(ctx, c, reply, failure, attempt) {
			return reply, g.final(c, failure, mayHaveRun)
		}
		if failure == nil {
			reply.Close()
		}
		tried = append(tried, target)
		g.observer.Retried(c.service.Name)
	}
}

// final is the problem that the caller is told after the last attempt: it must
// not say that the call was not run when an earlier attempt may have run it.
func (g *Gateway) final(c *call, failure *problem.Problem, mayHaveRun bool) *problem.Problem {
	if failure == nil {
		return nil
	}
	if mayHaveRun {
		failure.Executed = problem.ExecutedUnknown
	}
	if failure.Reason == problem.Overloaded {
		return g.whenToComeBack(c, g.policyLoad(c), failure)
	}
	return failure
}

// attempt sends the call to one target. It returns the target's name.
func (g *Gateway) attempt(ctx context.Context, c *call, tried []string) (*home.Reply, *problem.Problem, string) {
	route, found := g.router.Pick(c.service.Name, tried)
	if !found && len(tried) > 0 {
		route, found = g.router.Pick(c.service.Name, nil)
	}
	if !found {
		return nil, g.problem(problem.NoTarget, "routing", "the service has no target that takes calls").
			WithRetryAfter(retryAfterDefault), ""
	}
	reply, failure := g.send(ctx, c, route)
	load := home.Load{}
	if reply != nil {
		load = reply.Load
	}
	g.router.Done(route, load)
	return reply, failure, route.Target.Name
}

func (g *Gateway) send(ctx context.Context, c *call, route Route) (*home.Reply, *problem.Problem) {
	sent := c.context
	sent.Span = callcontext.NewSpanID()
	forwarded := &home.Call{Context: sent, Call: transport.Call{
		Method:     c.message.Method,
		RequestURI: c.message.RequestURI,
		// Each sending writes its own context and timeout over the last one's.
		Header: c.message.Header,
		Body:   c.message.Body,
	}}
	if route.Peer == "" {
		return g.runHere(ctx, c, route, forwarded)
	}
	reply, failure := g.peers.Run(ctx, route.Peer, route.Target.Name, forwarded)
	if failure != nil && failure.Reason == problem.NoTarget && failure.Peer == route.Peer {
		g.router.Suspect(route.Peer)
	}
	return reply, failure
}

func (g *Gateway) runHere(ctx context.Context, c *call, route Route, forwarded *home.Call) (*home.Reply, *problem.Problem) {
	if err := forwarded.Context.SetHeader(forwarded.Header); err != nil {
		return nil, g.problem(problem.Internal, "context", err.Error()).WithCause(err)
	}
	reply, failure := g.homes.Run(ctx, c.service, route.Target, route.Owner, forwarded)
	if failure != nil {
		reply = &home.Reply{Load: g.homes.LoadOf(route.Target.Name)}
	}
	return reply, failure
}

// retryableStatus reports whether an answer says that another target might do
// better.
func retryableStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// mayRetry decides whether the call is sent again: the call must allow it, then
// the policy, then the node's share of retries, and last the request's budget,
// which is asked only when everything else allows the retry.
func (g *Gateway) mayRetry(ctx context.Context, c *call, reply *home.Reply, failure *problem.Problem, attempt int) bool {
	if ctx.Err() != nil || !worthRetrying(c, reply, failure) {
		return false
	}
	allowed, err := c.service.Policy.Retry(c.policy, outcomeOf(reply, failure, attempt))
	if err != nil || attempt > allowed {
		return false
	}
	if !g.withinRatio(c, failure) {
		return false
	}
	return g.granted(ctx, c)
}

// withinRatio reports whether the node's share of retries leaves room for one.
// Two kinds of retries need none of it: those that have nothing to do with load,
// and those of the most important calls after a refusal, because such a call
// must not be shed by one target while another takes less important ones.
func (g *Gateway) withinRatio(c *call, failure *problem.Problem) bool {
	if unreachable(failure) {
		return true
	}
	notRun := failure != nil && failure.Executed == problem.ExecutedNo
	if notRun && c.context.Rank.Level == criticality.CriticalPlus {
		return true
	}
	return g.ratio.Allow()
}

// granted asks the request's ingress node for one retry.
func (g *Gateway) granted(ctx context.Context, c *call) bool {
	ingress, known := c.ingress()
	if !known {
		return false
	}
	granted, err := g.grants.RequestRetry(ctx, ingress, c.context.RequestID)
	if err != nil {
		g.log.WithError(err).WithField("step", "grant").WithField("peer", ingress.String()).
			WithField("request_id", c.context.RequestID.String()).Debug("no grant")
	}
	return granted
}

// worthRetrying reports whether sending the call again can do good and no harm.
func worthRetrying(c *call, reply *home.Reply, failure *problem.Problem) bool {
	if failure == nil {
		return c.policy.Repeatable && reply.Header.Get("Retry-After") == ""
	}
	switch failure.Reason {
	case problem.Overloaded, problem.NoTarget, problem.TargetFailed, problem.IncompleteAnswer, problem.Draining:
	default:
		return false
	}
	return failure.Executed == problem.ExecutedNo || c.policy.Repeatable
}

// unreachable reports whether the failure has nothing to do with load: the
// call did not reach a target that could take it.
func unreachable(failure *problem.Problem) bool {
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
