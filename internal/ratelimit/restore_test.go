package ratelimit

import (
	"context"
	"flag"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/epoch"
	"github.com/lugspur/lugspur/internal/store/memory"
	"github.com/lugspur/lugspur/internal/store/storetest"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// restoreSchedules is the number of random schedules to run, and firstRestoreSeed the first
// seed.
var (
	restoreSchedules = flag.Int("restores", 12, "number of random schedules with store restores to run")
	firstRestoreSeed = flag.Uint64("first-restore", 1, "seed of the first such schedule")
)

// regressionSeeds are seeds that once led to two holders of a shard: a partitioned node detected
// the store restore only by the call that acquired the shard (85, 7576), or a holder whose hold
// had ended reacquired its shard beside its successor (134, 2934, 5322).
var regressionSeeds = []uint64{85, 134, 2934, 5322, 7576}

// restoredNode is one process with a shard manager that follows a local copy of the store.
type restoredNode struct {
	*ShardManager
	issuer      *Issuer
	partitioned atomic.Bool
	stop        context.CancelFunc
}

// restoredCluster is a group of nodes with a store that is restored from backups, in virtual
// time.
type restoredCluster struct {
	t         *testing.T
	store     *memory.Store
	storeDown atomic.Bool
	nodes     []*restoredNode
	started   uint32
	size      int
	backups   []*memory.Backup
}

func newRestoredCluster(t *testing.T, size int) *restoredCluster {
	c := &restoredCluster{t: t, store: memory.New(time.Now), size: size}
	for position := range size {
		c.nodes = append(c.nodes, c.start(position, true))
	}
	return c
}

func (c *restoredCluster) start(position int, first bool) *restoredNode {
	c.started++
	ctx, cancel := context.WithCancel(context.Background())
	n := &restoredNode{stop: cancel}
	epochs := epoch.NewTracker()
	kv := &storetest.RestorableStore{Store: c.store, Epochs: epochs, Unreachable: func() bool { return n.partitioned.Load() || c.storeDown.Load() }}
	n.issuer = NewIssuer(testBounds, func(string) *routetable.Tenant { return testTenant }, time.Now)
	n.ShardManager = NewShardManager(ShardManagerConfig{Address: nodeAddress(position), Process: c.started, Started: time.Now(), FirstStart: first, Epoch: epochs.Current,
		Prefix: "shards/", Store: kv, Position: func() (int, bool) { return position, true }, Nodes: func() int { return c.size }, HasLimits: func() bool { return true }, Issuer: n.issuer, Now: time.Now})
	epochs.OnChange(func(epoch.Change) { n.HandleStoreRestored() })
	storeCopy := replica.NewCopy(time.Second, func(entries []store.Entry, _ string) { n.ApplyChanges(entries) }, time.Now)
	syncer := &replica.Syncer{Copy: storeCopy, Store: kv, Prefix: "shards/", Position: func() (int, bool) { return 0, true }, BatchDelay: 800 * time.Millisecond, Now: time.Now}
	go syncer.Run(ctx)
	go n.Run(ctx)
	return n
}

func (c *restoredCluster) restore(backup *memory.Backup, outage time.Duration) {
	c.storeDown.Store(true)
	c.sleep(outage)
	c.store.Restore(backup)
	c.storeDown.Store(false)
}

// sleep waits while it checks that no shard has two holders.
func (c *restoredCluster) sleep(pause time.Duration) {
	c.t.Helper()
	for until := time.Now().Add(pause); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		c.countHeld()
	}
}

// countHeld returns how many shards have a holder, and fails the test if one has two.
func (c *restoredCluster) countHeld() int {
	c.t.Helper()
	count := 0
	for number := range Shards {
		holders := 0
		for _, n := range c.nodes {
			if n != nil && n.issuer.Holds(number) {
				holders++
			}
		}
		if holders > 1 {
			c.t.Fatalf("shard %d has %d holders", number, holders)
		}
		count += holders
	}
	return count
}

func (c *restoredCluster) awaitAllHeld(bound time.Duration) time.Duration {
	c.t.Helper()
	begin := time.Now()
	for c.countHeld() < Shards {
		assert.Assert(c.t, time.Since(begin) < bound, "%d shards have a holder", c.countHeld())
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begin)
}

func (c *restoredCluster) shutdown() {
	for _, n := range c.nodes {
		if n != nil {
			n.stop()
		}
	}
	time.Sleep(time.Minute)
}

// TestHoldersSurviveStoreRestore restores a store that lacks all or some of the shards, while
// nodes hold them: the holders keep them without a gap, and no other node acquires one.
func TestHoldersSurviveStoreRestore(t *testing.T) {
	for _, settled := range []time.Duration{0, 2 * time.Second, 20 * time.Second} {
		virtualtime.Run(t, func(t *testing.T) {
			c := newRestoredCluster(t, 17)
			defer c.shutdown()
			c.sleep(settled)
			backup := c.store.Backup()
			c.sleep(20*time.Second - settled)
			c.awaitAllHeld(time.Second)
			c.restore(backup, 2*time.Second)
			for range 600 {
				time.Sleep(20 * time.Millisecond)
				assert.Equal(t, c.countHeld(), Shards)
			}
		})
	}
}

// TestFailedHolderIsReplacedAfterStoreRestore stops a holder before the store is restored: its
// shards are acquired once its last lease has ended.
func TestFailedHolderIsReplacedAfterStoreRestore(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		c := newRestoredCluster(t, 17)
		defer c.shutdown()
		backup := c.store.Backup()
		c.sleep(20 * time.Second)
		c.nodes[0].stop()
		c.nodes[0] = nil
		c.restore(backup, time.Second)
		t.Logf("all held again after %s", c.awaitAllHeld(shardTTL+4*time.Second))
	})
}

// TestShardHasSingleHolderAfterStoreRestore runs random schedules in which the store is restored
// from backups up to eight seconds old, also twice in a row, while nodes are killed, started and
// partitioned from the store. Two nodes must never hold a shard at the same time, and all shards
// must have holders at the end.
func TestShardHasSingleHolderAfterStoreRestore(t *testing.T) {
	for _, seed := range regressionSeeds {
		virtualtime.Run(t, func(t *testing.T) { runRestoreSchedule(t, seed) })
	}
	for seed := *firstRestoreSeed; seed < *firstRestoreSeed+uint64(*restoreSchedules); seed++ {
		virtualtime.Run(t, func(t *testing.T) { runRestoreSchedule(t, seed) })
	}
}

func runRestoreSchedule(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	c := newRestoredCluster(t, 5+random.IntN(16))
	defer c.shutdown()
	defer func() {
		if t.Failed() {
			t.Logf("seed %d", seed)
		}
	}()
	c.sleep(time.Duration(random.IntN(10)) * time.Second)
	for range 60 {
		c.sleep(200 * time.Millisecond)
		c.randomEvent(random)
	}
	for i, n := range c.nodes {
		if n == nil {
			c.nodes[i] = c.start(i, false)
		}
		c.nodes[i].partitioned.Store(false)
	}
	c.awaitAllHeld(20 * time.Second)
}

func (c *restoredCluster) randomEvent(random *rand.Rand) {
	c.backups = append(c.backups, c.store.Backup())
	i := random.IntN(len(c.nodes))
	n := c.nodes[i]
	switch action := random.IntN(12); {
	case action == 0:
		recent := c.backups[max(0, len(c.backups)-40):]
		c.restore(recent[random.IntN(len(recent))], time.Duration(random.IntN(2000))*time.Millisecond)
	case action > 5:
	case n == nil:
		c.nodes[i] = c.start(i, false)
	case action < 3:
		n.stop()
		c.nodes[i] = nil
	default:
		n.partitioned.Store(!n.partitioned.Load())
	}
}
