package gateway

import (
	"context"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/problem"
)

// Claims lets a call with an idempotency key run at most once in the cluster.
type Claims interface {
	// Claim claims the key for the attempt. The problem tells why the call may
	// not run; it is nil when the claim was granted.
	Claim(ctx context.Context, scope, key string, attempt callcontext.RequestID) *problem.Problem
	// Release gives up the claim of an attempt that was certainly not run and
	// never will be.
	Release(scope, key string, attempt callcontext.RequestID)
}

// maxKeyLength bounds an idempotency key, in bytes.
const maxKeyLength = 256

// runClaimed runs a call that must run at most once. The claim stays held
// unless the call was certainly not run.
func (g *Gateway) runClaimed(ctx context.Context, c *call) (*home.Reply, *problem.Problem) {
	if len(c.key) > maxKeyLength {
		return nil, g.problem(problem.BadRequest, "claim", "the idempotency key is longer than 256 bytes")
	}
	scope := c.service.Name + "\x00" + c.context.Caller
	attempt := callcontext.NewRequestID()
	if failure := g.claims.Claim(ctx, scope, c.key, attempt); failure != nil {
		return nil, failure
	}
	reply, failure := g.attempts(ctx, c)
	if failure != nil && failure.Executed == problem.ExecutedNo {
		g.claims.Release(scope, c.key, attempt)
	}
	return reply, failure
}
