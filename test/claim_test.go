package test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/emulator"
)

// countExecutions returns how often calls with the key were executed.
func countExecutions(t *testing.T, running *cluster.Cluster, key string) int {
	t.Helper()
	records, err := running.Records(t.Context())
	assert.NilError(t, err)
	count := 0
	for _, record := range records {
		if record.IdempotencyKey == key {
			count++
		}
	}
	return count
}

func placeOrder(t *testing.T, node *cluster.Node, key string) callResult {
	t.Helper()
	return call(t, "POST", node.Addresses.Edge, "/order/order", idempotencyKey(key), header(callcontext.CallerHeader, "writer-1"))
}

func TestKeyedCallsExecuteOnce(t *testing.T) {
	running := startCluster(t, 2)
	t.Run("repeated at other nodes", func(t *testing.T) { testRepeatedKey(t, running) })
	t.Run("at all nodes at once", func(t *testing.T) { testConcurrentKey(t, running) })
	t.Run("the target resets the connection", func(t *testing.T) { testKeyAfterFailure(t, running) })
	t.Run("the node is killed", func(t *testing.T) { testKeyAfterKill(t, running) })
}

func testRepeatedKey(t *testing.T, running *cluster.Cluster) {
	key := newNonce()
	first := placeOrder(t, running.Nodes[0], key)
	assert.Assert(t, first.complete("order"), "%s", first)
	for _, node := range running.Nodes {
		placeOrder(t, node, key).assertRefused(t, problem.DuplicateRequest, problem.ExecutedUnknown)
	}
	assert.Equal(t, countExecutions(t, running, key), 1)
	other := call(t, "POST", running.Nodes[1].Addresses.Edge, "/order/order", idempotencyKey(key), header(callcontext.CallerHeader, "writer-2"))
	assert.Assert(t, other.complete("order"), "the same key of another caller was refused: %s", other)
}

func testConcurrentKey(t *testing.T, running *cluster.Cluster) {
	for range 10 {
		key := newNonce()
		results := make([]callResult, 2*len(running.Nodes))
		var callers sync.WaitGroup
		for i := range results {
			callers.Go(func() { results[i] = placeOrder(t, running.Nodes[i%len(running.Nodes)], key) })
		}
		callers.Wait()
		complete := 0
		for _, got := range results {
			if got.complete("order") {
				complete++
				continue
			}
			document := got.problem()
			assert.Assert(t, document != nil, "%s", got)
		}
		executions := countExecutions(t, running, key)
		assert.Assert(t, executions <= 1, "executed %d times", executions)
		assert.Equal(t, complete, executions)
	}
}

func testKeyAfterFailure(t *testing.T, running *cluster.Cluster) {
	for _, target := range []string{"order-n", "order-s"} {
		assert.NilError(t, running.SetTargetFaults(t.Context(), target, emulator.Faults{ResetRate: 1}))
	}
	key := newNonce()
	placeOrder(t, running.Nodes[0], key).assertRefused(t, problem.TargetFailed, problem.ExecutedUnknown)
	for _, target := range []string{"order-n", "order-s"} {
		assert.NilError(t, running.SetTargetFaults(t.Context(), target, emulator.Faults{}))
	}
	for _, node := range running.Nodes {
		placeOrder(t, node, key).assertRefused(t, problem.DuplicateRequest, problem.ExecutedUnknown)
	}
	assert.Equal(t, countExecutions(t, running, key), 1)
}

func testKeyAfterKill(t *testing.T, running *cluster.Cluster) {
	key := newNonce()
	killed := secondNode(running)
	first := placeOrder(t, killed, key)
	assert.Assert(t, first.complete("order"), "%s", first)
	killed.Kill()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		for _, node := range running.Nodes {
			if node == killed {
				continue
			}
			document := placeOrder(t, node, key).problem()
			assert.Assert(t, document != nil, "a call with a repeated key was answered")
		}
	}
	for _, node := range running.Nodes {
		if node != killed {
			placeOrder(t, node, key).assertRefused(t, problem.DuplicateRequest, problem.ExecutedUnknown)
		}
	}
	assert.Equal(t, countExecutions(t, running, key), 1)
	eventually(t, 10*time.Second, "new keys after the kill", func() bool {
		return placeOrder(t, running.Nodes[0], newNonce()).complete("order")
	})
}
