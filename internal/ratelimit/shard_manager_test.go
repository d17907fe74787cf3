package ratelimit

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// unavailableStore fails the writes and lease renewals of a node while it is down.
type unavailableStore struct {
	store.Store
	down atomic.Bool
}

func (s *unavailableStore) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if s.down.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

func (s *unavailableStore) RenewLease(ctx context.Context, lease store.LeaseID) (time.Duration, error) {
	if s.down.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.RenewLease(ctx, lease)
}

// testCluster is a group of nodes with one store, in virtual time.
type testCluster struct {
	t     *testing.T
	store store.Store
	nodes []*testNode
	size  int
}

// testNode is a node with its shard manager and issuer.
type testNode struct {
	*ShardManager
	store  *unavailableStore
	issuer *Issuer
	stop   context.CancelFunc
}

var testTenant = &routetable.Tenant{Name: "tenant", Rate: 100, Burst: 100}

func newTestCluster(t *testing.T, size int) *testCluster {
	c := &testCluster{t: t, store: memory.New(time.Now), size: size}
	for position := range size {
		c.nodes = append(c.nodes, c.start(position, 1))
	}
	return c
}

func nodeAddress(position int) string { return fmt.Sprintf("10.0.0.%d:8300", position+1) }

func (c *testCluster) start(position int, process uint32) *testNode {
	ctx, cancel := context.WithCancel(context.Background())
	n := &testNode{store: &unavailableStore{Store: c.store}, stop: cancel}
	n.issuer = NewIssuer(testBounds, func(string) *routetable.Tenant { return testTenant }, time.Now)
	n.ShardManager = NewShardManager(ShardManagerConfig{Address: nodeAddress(position), Process: process, Started: time.Now(), FirstStart: process == 1, Prefix: "shards/", Store: n.store,
		Position: func() (int, bool) { return position, true }, Nodes: func() int { return c.size }, HasLimits: func() bool { return true }, Issuer: n.issuer, Now: time.Now})
	go n.Run(ctx)
	go n.watchStore(ctx)
	return n
}

// watchStore passes the store's changes to the shard manager with the delay of a local copy.
func (n *testNode) watchStore(ctx context.Context) {
	snapshot, err := n.store.List(ctx, "shards/")
	if err != nil {
		return
	}
	n.ApplyChanges(snapshot.Entries)
	_ = n.store.Watch(ctx, "shards/", snapshot.Revision, func(batch []store.Entry, _ store.Revision) {
		time.Sleep(300 * time.Millisecond)
		n.ApplyChanges(batch)
	})
}

// holders returns the number of holders of each shard, and the largest number of shards on one
// node.
func (c *testCluster) holders() (counts [Shards]int, busiest int) {
	for _, n := range c.nodes {
		shards := 0
		for number := range Shards {
			if n.issuer.Holds(number) {
				counts[number]++
				shards++
			}
		}
		busiest = max(busiest, shards)
	}
	return counts, busiest
}

// checkSingleHolder fails the test if a shard has several holders.
func (c *testCluster) checkSingleHolder() {
	c.t.Helper()
	counts, _ := c.holders()
	for number, count := range counts {
		assert.Assert(c.t, count <= 1, "shard %d has %d holders", number, count)
	}
}

// awaitAllHeld waits until all shards have holders, and returns how long that took.
func (c *testCluster) awaitAllHeld(bound time.Duration) time.Duration {
	c.t.Helper()
	started := time.Now()
	for {
		c.checkSingleHolder()
		counts, _ := c.holders()
		missing := 0
		for _, count := range counts {
			missing += 1 - count
		}
		if missing == 0 {
			return time.Since(started)
		}
		assert.Assert(c.t, time.Since(started) < bound, "%d shards without a holder", missing)
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *testCluster) shutdown() {
	for _, n := range c.nodes {
		n.stop()
	}
	time.Sleep(time.Second)
}

// TestShardsAreDistributedOverNodes checks the distribution of shards in clusters of several
// sizes. When the first candidate of each shard was the node at the position equal to the
// shard's number, four nodes held all shards only after 4.0 s.
func TestShardsAreDistributedOverNodes(t *testing.T) {
	for size, maxPerNode := range map[int]int{1: Shards, 4: 7, 5: 5, 17: 3, 71: 3} {
		virtualtime.Run(t, func(t *testing.T) {
			c := newTestCluster(t, size)
			defer c.shutdown()
			elapsed := c.awaitAllHeld(8 * time.Second)
			_, busiest := c.holders()
			t.Logf("%d nodes: all held after %s, the busiest holds %d", size, elapsed, busiest)
			assert.Assert(t, busiest <= maxPerNode, "%d nodes: one holds %d", size, busiest)
			assert.Assert(t, elapsed < 1500*time.Millisecond || size == 1, "%d nodes: all held after %s", size, elapsed)
		})
	}
}

// TestShardFailover checks that other nodes take over the shards of a holder that crashes, is
// partitioned from the store, or stops.
func TestShardFailover(t *testing.T) {
	for name, test := range map[string]struct {
		fault func(c *testCluster)
		bound time.Duration
	}{
		"lost":                       {func(c *testCluster) { c.nodes[0].stop(); c.nodes[0].issuer = NewIssuer(testBounds, nil, time.Now) }, shardTTL + 3*time.Second},
		"partitioned from the store": {func(c *testCluster) { c.nodes[0].store.down.Store(true) }, shardTTL + 3*time.Second},
		"stopped":                    {func(c *testCluster) { c.nodes[0].Stop(context.Background()) }, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Run(t, func(t *testing.T) {
				c := newTestCluster(t, 20)
				defer c.shutdown()
				c.awaitAllHeld(8 * time.Second)
				test.fault(c)
				for range 200 {
					time.Sleep(10 * time.Millisecond)
					c.checkSingleHolder()
				}
				t.Logf("all held again after %s", 2*time.Second+c.awaitAllHeld(test.bound))
			})
		})
	}
}

// TestRestartedProcessReclaimsShards checks that a restarted holder, which starts without
// permits, reclaims its shards without waiting for the lease of its previous process.
func TestRestartedProcessReclaimsShards(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		c := newTestCluster(t, 20)
		defer c.shutdown()
		c.awaitAllHeld(8 * time.Second)
		c.nodes[0].stop()
		c.nodes[0] = c.start(0, 2)
		t.Logf("all held again after %s", c.awaitAllHeld(2*time.Second))
	})
}

// TestStoreOutageKeepsHolders checks store outages of 4 s and 10 s: holders keep
// their shards until the lease ends, and all shards have holders again soon after the outage.
func TestStoreOutageKeepsHolders(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		c := newTestCluster(t, 20)
		defer c.shutdown()
		c.awaitAllHeld(8 * time.Second)
		setDown := func(down bool) {
			for _, n := range c.nodes {
				n.store.down.Store(down)
			}
		}
		setDown(true)
		time.Sleep(4 * time.Second)
		c.awaitAllHeld(time.Millisecond)
		setDown(false)
		time.Sleep(2 * time.Second)
		setDown(true)
		time.Sleep(10 * time.Second)
		counts, _ := c.holders()
		assert.Equal(t, counts, [Shards]int{})
		setDown(false)
		t.Logf("all held again after %s", c.awaitAllHeld(5*time.Second))
	})
}

// TestStaleEntryDoesNotRestoreShard checks that a stale entry from the local copy of the
// store does not restore a hold that has ended.
func TestStaleEntryDoesNotRestoreShard(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		c := newTestCluster(t, 1)
		defer c.shutdown()
		c.awaitAllHeld(8 * time.Second)
		n := c.nodes[0]
		entry, err := c.store.Get(t.Context(), "shards/3")
		assert.NilError(t, err)
		n.Stop(t.Context())
		n.ApplyChanges([]store.Entry{entry})
		time.Sleep(3 * time.Second)
		assert.Assert(t, !n.issuer.Holds(3))
	})
}
