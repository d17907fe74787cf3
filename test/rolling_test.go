package test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/problem"
)

// TestRollingReplacementKeepsClaims stops each node in turn in a planned way and restarts it
// without state. Calls with idempotency keys must succeed throughout, because a stopping
// claim replica waits for its successor, and a used key must still be refused when none of
// the processes that granted it remains.
func TestRollingReplacementKeepsClaims(t *testing.T) {
	running := startCluster(t, 2)
	key := newNonce()
	assert.Assert(t, placeOrder(t, running.Nodes[0], key).complete("order"))
	for i, node := range running.Nodes {
		assert.NilError(t, node.Stop(30*time.Second))
		other := running.Nodes[(i+1)%len(running.Nodes)]
		granted := placeOrder(t, other, newNonce())
		assert.Assert(t, granted.complete("order"), "after the stop of %s: %s", node.Name, granted)
		assert.NilError(t, running.StartNode(node))
		assert.NilError(t, running.AwaitMembers(t.Context()))
		assert.NilError(t, running.AwaitReady(t.Context()))
	}
	for _, node := range running.Nodes {
		placeOrder(t, node, key).assertRefused(t, problem.DuplicateRequest, problem.ExecutedUnknown)
	}
	assert.Equal(t, countExecutions(t, running, key), 1)
}
