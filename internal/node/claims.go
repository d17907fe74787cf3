package node

import (
	"context"
	"net/http"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/resource"
)

// claims joins the gateway to the claim replicas.
type claims struct{ node *Node }

func newClaims(n *Node) *claims { return &claims{node: n} }

func (c *claims) register(*http.ServeMux) {}

func (c *claims) run(ctx context.Context) { <-ctx.Done() }

func (c *claims) configurationChanged([]resource.Versioned) {}

// Claim claims the key for the attempt.
func (c *claims) Claim(context.Context, string, string, callcontext.RequestID) *problem.Problem {
	return problem.New(problem.ClaimsUnavailable, problem.ExecutedNo, "claim", c.node.settings.Name, "no claim replicas")
}

// Release gives up a claim.
func (c *claims) Release(string, string, callcontext.RequestID) {}
