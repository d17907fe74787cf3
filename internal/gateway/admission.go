package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/problem"
)

// admit sets the rank of the call and checks it against the service's policy and the
// shed threshold.
func (g *Gateway) admit(c *call, r *http.Request, requestURI string) *problem.Problem {
	c.policyInput = g.newPolicyInput(c, r, requestURI)
	sheddingService := ""
	c.shedThreshold, sheddingService = g.shedThreshold(c)
	load := g.policyLoad(c)
	admitted, err := c.service.Policy.Admit(c.policyInput, load)
	g.logPolicyError(c, err)
	if !admitted {
		return g.newProblem(problem.NotAdmitted, "policy", "the service's policy does not admit the call")
	}
	g.logPolicyError(c, g.setRank(c))
	if g.settings.ShedLevels && c.context.Rank.Key() >= c.shedThreshold {
		failure := g.newProblem(problem.Overloaded, "shed", "calls of this rank are being shed by "+sheddingService)
		return g.setRetryAfter(c, load, failure)
	}
	return nil
}

// policyLoad returns the load of the call's service as input for its policy.
func (g *Gateway) policyLoad(c *call) policy.Load {
	load := g.router.Load(c.service.Name)
	load.ShedLevel = shedLevelName(c.shedThreshold)
	return load
}

// logPolicyError logs an error in the evaluation of a policy, if any. It logs at debug
// level only, because external callers can cause such errors.
func (g *Gateway) logPolicyError(c *call, err error) {
	if err != nil {
		g.log.WithError(err).WithField("step", "policy").WithField("service", c.service.Name).Debug("policy evaluation failed")
	}
}

func (g *Gateway) setRank(c *call) error {
	if c.withoutContext {
		return nil
	}
	level, err := c.service.Policy.Rank(c.policyInput)
	c.context.Rank.Level = level
	if g.settings.DisablePriority {
		c.context.Rank = criticality.Rank{Level: criticality.SheddablePlus}
	}
	return err
}

// newPolicyInput returns the attributes of the call as input for the service's policy.
func (g *Gateway) newPolicyInput(c *call, r *http.Request, requestURI string) policy.Call {
	path, _, _ := strings.Cut(requestURI, "?")
	incoming := ""
	if c.listener == Mesh && !c.withoutContext {
		incoming = c.context.Rank.Level.String()
	}
	return policy.Call{
		Service:      c.service.Name,
		Method:       r.Method,
		Path:         path,
		Caller:       c.context.Caller,
		Zone:         g.settings.Zone,
		IncomingRank: incoming,
		Repeatable:   c.idempotencyKey == "" && c.service.Repeatable(r.Method),
		Keyed:        c.idempotencyKey != "",
		External:     c.listener == Edge,
		Hops:         int(c.context.Hops),
		TimeoutMs:    int(c.context.Deadline.Sub(g.now()).Milliseconds()),
	}
}

// shedLevelName returns the name of the most important criticality level of which calls
// are shed, or an empty string if no calls are shed.
func shedLevelName(threshold uint16) string {
	if threshold >= criticality.RankCount {
		return ""
	}
	return criticality.RankOf(threshold).Level.String()
}

// setRetryAfter sets the problem's Retry-After to the time that the service's policy
// returns.
func (g *Gateway) setRetryAfter(c *call, load policy.Load, failure *problem.Problem) *problem.Problem {
	outcome := policy.Outcome{Status: failure.Status, Executed: string(failure.Executed), Reason: string(failure.Reason)}
	seconds, err := c.service.Policy.RefuseSeconds(c.policyInput, load, outcome)
	g.logPolicyError(c, err)
	return failure.WithRetryAfter(time.Duration(seconds) * time.Second)
}
