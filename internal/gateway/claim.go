package gateway

import (
	"context"

	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/problem"
)

// Claims ensures that a call with an idempotency key runs at most once in the
// cluster.
type Claims interface {
	// Claim claims the key within its scope. It returns a problem if the claim is
	// denied and the call may not run.
	Claim(ctx context.Context, scope, key string) (Claim, *problem.Problem)
}

// Claim is a granted claim.
type Claim interface {
	// Release releases the claim. It is called only if it is certain that the call
	// did not run and never will.
	Release()
}

// maxKeyLength is the maximum length of an idempotency key in bytes.
const maxKeyLength = 256

// runClaimed runs a call that must run at most once. It keeps the claim unless it
// is certain that the call did not run.
func (g *Gateway) runClaimed(ctx context.Context, c *call) (*home.Reply, *problem.Problem) {
	if len(c.idempotencyKey) > maxKeyLength {
		return nil, g.problem(problem.BadRequest, "claim", "the idempotency key is longer than 256 bytes")
	}
	scope := c.service.Name + "\x00" + c.context.Caller
	claim, failure := g.claims.Claim(ctx, scope, c.idempotencyKey)
	if failure != nil {
		return nil, failure
	}
	reply, failure := g.runWithRetries(ctx, c)
	if failure != nil && failure.Executed == problem.ExecutedNo {
		claim.Release()
	}
	return reply, failure
}
