package gateway

import (
	"context"

	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/problem"
)

// Claims grants claims for idempotency keys, so that a call with a key runs at most
// once in the cluster.
type Claims interface {
	// Claim claims the key within its scope. If it returns a problem, the claim was not
	// granted and the call must not run.
	Claim(ctx context.Context, scope, key string) (Claim, *problem.Problem)
}

// Claim is a granted claim.
type Claim interface {
	// Release releases the claim. It must be called only if it is certain that the call
	// did not run and never will.
	Release()
}

// maxIdempotencyKeyBytes is the maximum length of an idempotency key in bytes.
const maxIdempotencyKeyBytes = 256

// runWithClaim claims the call's idempotency key and runs the call. It releases the
// claim only if it is certain that the call did not run.
func (g *Gateway) runWithClaim(ctx context.Context, c *call) (*home.Reply, *problem.Problem) {
	if len(c.idempotencyKey) > maxIdempotencyKeyBytes {
		return nil, g.newProblem(problem.BadRequest, "claim", "the idempotency key is longer than 256 bytes")
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
