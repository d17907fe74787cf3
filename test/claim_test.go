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

// runsOf returns how often a call with the key was run.
func runsOf(t *testing.T, running *cluster.Cluster, key string) int {
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

func order(t *testing.T, node *cluster.Node, key string) outcome {
	t.Helper()
	return call(t, "POST", node.Addresses.Edge, "/order/order", idempotencyKey(key), header(callcontext.CallerHeader, "writer-1"))
}

func TestKeyedCallsRunOnce(t *testing.T) {
	running := startCluster(t, 2)
	t.Run("repeated at other nodes", func(t *testing.T) { testRepeatedKey(t, running) })
	t.Run("at all nodes at once", func(t *testing.T) { testConcurrentKey(t, running) })
	t.Run("the target breaks off", func(t *testing.T) { testKeyAfterFailure(t, running) })
	t.Run("the node is killed", func(t *testing.T) { testKeyAfterKill(t, running) })
}

func testRepeatedKey(t *testing.T, running *cluster.Cluster) {
	key := newNonce()
	first := order(t, running.Nodes[0], key)
	assert.Assert(t, first.complete("order"), "%s", first)
	for _, node := range running.Nodes {
		order(t, node, key).refused(t, problem.DuplicateRequest, problem.ExecutedUnknown)
	}
	assert.Equal(t, runsOf(t, running, key), 1)
	other := call(t, "POST", running.Nodes[1].Addresses.Edge, "/order/order", idempotencyKey(key), header(callcontext.CallerHeader, "writer-2"))
	assert.Assert(t, other.complete("order"), "another caller's key is not its own: %s", other)
}

func testConcurrentKey(t *testing.T, running *cluster.Cluster) {
	for range 10 {
		key := newNonce()
		outcomes := make([]outcome, 2*len(running.Nodes))
		var callers sync.WaitGroup
		for i := range outcomes {
			callers.Go(func() { outcomes[i] = order(t, running.Nodes[i%len(running.Nodes)], key) })
		}
		callers.Wait()
		complete := 0
		for _, got := range outcomes {
			if got.complete("order") {
				complete++
				continue
			}
			told := got.problem()
			assert.Assert(t, told != nil, "%s", got)
		}
		runs := runsOf(t, running, key)
		assert.Assert(t, runs <= 1, "run %d times", runs)
		assert.Equal(t, complete, runs)
	}
}

func testKeyAfterFailure(t *testing.T, running *cluster.Cluster) {
	for _, target := range []string{"order-n", "order-s"} {
		assert.NilError(t, running.SetTargetFaults(t.Context(), target, emulator.Faults{ResetRate: 1}))
	}
	key := newNonce()
	order(t, running.Nodes[0], key).refused(t, problem.TargetFailed, problem.ExecutedUnknown)
	for _, target := range []string{"order-n", "order-s"} {
		assert.NilError(t, running.SetTargetFaults(t.Context(), target, emulator.Faults{}))
	}
	for _, node := range running.Nodes {
		order(t, node, key).refused(t, problem.DuplicateRequest, problem.ExecutedUnknown)
	}
	assert.Equal(t, runsOf(t, running, key), 1)
}

func testKeyAfterKill(t *testing.T, running *cluster.Cluster) {
	key := newNonce()
	killed := spare(running)
	first := order(t, killed, key)
	assert.Assert(t, first.complete("order"), "%s", first)
	killed.Kill()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		for _, node := range running.Nodes {
			if node == killed {
				continue
			}
			told := order(t, node, key).problem()
			assert.Assert(t, told != nil, "a repeated key was answered")
		}
	}
	for _, node := range running.Nodes {
		if node != killed {
			order(t, node, key).refused(t, problem.DuplicateRequest, problem.ExecutedUnknown)
		}
	}
	assert.Equal(t, runsOf(t, running, key), 1)
	eventually(t, 10*time.Second, "new keys after the kill", func() bool {
		return order(t, running.Nodes[0], newNonce()).complete("order")
	})
}
