package test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/problem"
)

// Every node is stopped as planned and started again without memory, one after
// the other. Keyed calls must stay possible all the time, because a stopping
// claim replica waits for its successor, and a key that was used before must
// still be known when no process remains of those that granted it.
func TestRollingReplacementKeepsClaims(t *testing.T) {
	running := startCluster(t, 2)
	key := newNonce()
	assert.Assert(t, order(t, running.Nodes[0], key).complete("order"))
	for i, node := range running.Nodes {
		assert.NilError(t, node.Stop(30*time.Second))
		other := running.Nodes[(i+1)%len(running.Nodes)]
		granted := order(t, other, newNonce())
		assert.Assert(t, granted.complete("order"), "after the stop of %s: %s", node.Name, granted)
		assert.NilError(t, running.StartNode(node))
		assert.NilError(t, running.AwaitMembers(t.Context()))
		assert.NilError(t, running.AwaitReady(t.Context()))
	}
	for _, node := range running.Nodes {
		order(t, node, key).refused(t, problem.DuplicateRequest, problem.ExecutedUnknown)
	}
	assert.Equal(t, runsOf(t, running, key), 1)
}
