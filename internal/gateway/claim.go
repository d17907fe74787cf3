package gateway

import (
	"context"

	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/problem"
)

// Claims lets a call with an idempotency key run at most once in the cluster.
type Claims interface {
	// Claim claims the key within its scope. The problem tells why the call may
	// not run; it is nil when the claim was granted.
	Claim(ctx context.Context, scope, key string) (Claim, *problem.Problem)
}

// Claim is a granted claim.
type Claim interface {
	// Release gives the claim up. It is called only if the call was certainly
	// not run and never will be.
	Release()
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
	claim, failure := g.claims.Claim(ctx, scope, c.key)
	if failure != nil {
		return nil, failure
	}
	reply, failure := g.attempts(ctx, c)
	if failure != nil && failure.Executed == problem.ExecutedNo {
		claim.Release()
	}
	return reply, failure
}
