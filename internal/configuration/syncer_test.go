package configuration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"), goleak.IgnoreAnyFunction("internal/poll.(*FD).Read"))
}

func TestChangesReachAllNodesWithFewWatches(t *testing.T) {
	c := newCluster(t)
	c.addMany(20, "z1", "z2", "z3")
	const expectedWatches = 3 * 2
	eventually(t, "watchers of three zones", func() bool { return c.backing.watching.Load() == expectedWatches })
	lists, watches := c.backing.lists.Load(), c.backing.watches.Load()
	for i := range 10 {
		written := c.nodes[i].write(fmt.Sprint("s", i), 0, "create")
		c.awaitRevision(written)
		written, err := c.nodes[19-i].writer.Write(t.Context(), service(written.ID.Name, 1), written.Revision, resource.Change{ID: "delete", Deleted: true})
		assert.NilError(t, err)
		c.awaitRevision(written)
	}
	c.awaitAll("floor of the last change", func(n *testNode) bool { return n.syncer.Replica().Floor() >= 20 })
	assert.Equal(t, c.backing.lists.Load(), lists, "changes must not cause lists")
	assert.Equal(t, c.backing.watches.Load(), watches, "changes must not cause watches")
	assert.Equal(t, c.backing.watching.Load(), int64(expectedWatches))
	assert.Assert(t, c.backing.gets.Load() <= 10, "one read for each creation: %d", c.backing.gets.Load())
}

func TestChangeReachesAllNodesWithoutStore(t *testing.T) {
	c := newCluster(t)
	c.addMany(12, "z1", "z2")
	eventually(t, "watchers of two zones", func() bool { return c.backing.watching.Load() == 4 })
	// Only the writer receives the accepted version; no watch delivers it.
	writer := c.nodes[5]
	replica := NewReplica(time.Now)
	storeWriter := NewWriter(c.backing.Store, replica, func(...resource.Versioned) {}, time.Now)
	c.takeStoreDown()
	accepted := mustWrite(t, storeWriter, "a", 0, resource.Change{ID: "c1"})
	writer.writer.applyAndAnnounce(accepted)
	c.awaitRevision(accepted)
	assert.Assert(t, c.nodes[0].syncer.Replica().Floor() < accepted.Revision, "pushes must not raise the floor")
	c.backing.setDown(false)
	c.awaitAll("floor after the outage", func(n *testNode) bool { return n.syncer.Replica().Floor() >= accepted.Revision })
}

func TestReplicasConvergeAfterPartition(t *testing.T) {
	c := newCluster(t)
	c.addMany(10, "z1", "z2")
	first := c.nodes[0].write("a", 0, "c1")
	c.awaitRevision(first)
	c.setPartitioned(true)
	c.takeStoreDown()
	storeWriter := NewWriter(c.backing.Store, NewReplica(time.Now), func(...resource.Versioned) {}, time.Now)
	second := mustWrite(t, storeWriter, "a", first.Revision, resource.Change{ID: "c2"})
	c.nodes[0].writer.applyAndAnnounce(second)
	assert.Assert(t, c.nodes[1].syncer.AddEmergencyDrain("machine.m1"))
	eventually(t, "change on the writer's side of the partition", func() bool {
		current, _ := c.nodes[8].syncer.Replica().Get(second.ID)
		return current.Revision == second.Revision
	})
	current, _ := c.nodes[1].syncer.Replica().Get(second.ID)
	assert.Equal(t, current.Revision, first.Revision, "the other side is partitioned")
	assert.Assert(t, !c.nodes[0].syncer.EmergencyDrains().Drained("machine.m1"))
	c.setPartitioned(false)
	c.awaitRevision(second)
	c.awaitAll("emergency drain", func(n *testNode) bool { return n.syncer.EmergencyDrains().Drained("machine.m1") })
}

func TestNewNodeLoadsFromPeersWithStoreDown(t *testing.T) {
	c := newCluster(t)
	c.addMany(5, "z1")
	var last resource.Versioned
	for i := range 700 {
		last = c.nodes[0].write(fmt.Sprint("s", i), 0, "create")
	}
	c.awaitRevision(last)
	c.awaitAll("floor", func(n *testNode) bool { return n.syncer.Replica().Floor() >= last.Revision })
	c.takeStoreDown()
	lists := c.backing.lists.Load()
	// On a busy machine a pull of 700 objects may take longer than the default grace.
	c.startupGrace = time.Minute
	added := c.add("z1", c.nodes[1].self.PeerAddress)
	eventually(t, "ready", added.syncer.Ready)
	assert.Equal(t, len(added.syncer.Replica().List(resource.KindService)), 700)
	assert.Equal(t, added.syncer.Replica().Floor(), c.nodes[0].syncer.Replica().Floor())
	assert.Equal(t, c.backing.lists.Load(), lists)
}

func TestNodeWithoutPeersOrStoreIsNotReady(t *testing.T) {
	c := newCluster(t)
	c.takeStoreDown()
	c.add("z1")
	c.add("z2")
	c.awaitAll("failed attempts to read the store and peers", func(n *testNode) bool {
		status := n.syncer.Status()
		return status.StoreError != "" && status.Traffic.StoreLists > 2 && status.Traffic.Pulls > 4
	})
	for _, n := range c.nodes {
		assert.Assert(t, !n.syncer.Ready())
	}
	c.backing.setDown(false)
	c.awaitReady()
}

func TestSingleNode(t *testing.T) {
	c := newCluster(t)
	n := c.add("z1")
	c.awaitReady()
	written := n.write("a", 0, "c1")
	eventually(t, "floor", func() bool { return n.syncer.Replica().Floor() >= written.Revision })
	_, err := c.backing.CompareAndDelete(t.Context(), written.ID.Key(), written.Revision)
	assert.NilError(t, err)
	eventually(t, "deletion by another program", func() bool { return n.syncer.Status().Objects == 0 })
}

func TestOtherNodesReplaceDeadWatchers(t *testing.T) {
	c := newCluster(t)
	c.addMany(6, "z1")
	eventually(t, "two watchers", func() bool { return c.backing.watching.Load() == 2 })
	for _, n := range c.nodes {
		if n.syncer.Status().Watching {
			n.kill()
		}
	}
	eventually(t, "two other watchers", func() bool { return c.backing.watching.Load() == 2 && len(c.watchers()) == 2 })
	written := c.watchers()[0].write("a", 0, "c1")
	c.awaitRevision(written)
}

func (c *cluster) watchers() []*testNode {
	var watchers []*testNode
	for _, n := range c.nodes {
		if n.syncer.Status().Watching && !n.dead.Load() {
			watchers = append(watchers, n)
		}
	}
	return watchers
}

func TestPollDetectsMissedChanges(t *testing.T) {
	c := newCluster(t)
	n := c.add("z1")
	c.awaitReady()
	n.stop()
	eventually(t, "no watch", func() bool { return c.backing.watching.Load() == 0 })
	storeWriter, _ := newTestWriter(c.backing)
	written := mustWrite(t, storeWriter, "a", 0, resource.Change{ID: "c1"})
	missed, listed := n.syncer.pollOnce(t.Context())
	assert.Assert(t, missed && listed)
	assert.Equal(t, n.syncer.Replica().Floor(), written.Revision)
	lists := c.backing.lists.Load()
	missed, listed = n.syncer.pollOnce(t.Context())
	assert.Assert(t, !missed && !listed)
	assert.Equal(t, c.backing.lists.Load(), lists, "a poll that finds no change must not list the store")
}

func TestStoreRestoredFromOldBackupIsIgnored(t *testing.T) {
	c := newCluster(t)
	n := c.add("z1")
	c.awaitReady()
	written := n.write("a", 0, "c1")
	eventually(t, "floor", func() bool { return n.syncer.Replica().Floor() >= written.Revision })
	n.syncer.Replica().SetFloor(written.Revision + 100)
	assert.ErrorIs(t, n.syncer.list(t.Context()), errStoreBehind)
	assert.Equal(t, n.syncer.Status().Objects, 1)
}

func TestDivergedReplicasAreRepaired(t *testing.T) {
	c := newCluster(t)
	c.takeStoreDown()
	c.add("z1")
	c.add("z1")
	a, b := c.nodes[0].syncer.Replica(), c.nodes[1].syncer.Replica()
	a.ApplyComplete([]resource.Versioned{version("a", 1, false), version("b", 2, false)}, 5)
	b.ApplyComplete([]resource.Versioned{version("a", 1, false)}, 5)
	eventually(t, "equal replicas", func() bool { return a.Digest().sameObjects(b.Digest()) })
	assert.Equal(t, len(b.List(resource.KindService)), 2)
}

func TestPartitionedNodeAppliesCollectedDeletions(t *testing.T) {
	c := newCluster(t)
	c.takeStoreDown()
	c.add("z1")
	c.add("z1")
	c.nodes[1].isolated.Store(true)
	a, b := c.nodes[0].syncer.Replica(), c.nodes[1].syncer.Replica()
	b.ApplyComplete([]resource.Versioned{version("a", 1, false), version("b", 2, false)}, 5)
	a.RaiseCollected(8)
	a.ApplyComplete([]resource.Versioned{version("b", 2, false)}, 9)
	c.nodes[1].isolated.Store(false)
	eventually(t, "deletion", func() bool { return a.Digest().sameObjects(b.Digest()) && b.Floor() == 9 })
	assert.Equal(t, len(a.List(resource.KindService)), 1)
	assert.Equal(t, b.Digest().Collected, a.Digest().Collected)
}

func TestPushAloneReachesPeers(t *testing.T) {
	c := newCluster(t)
	c.addMany(4, "z1", "z2")
	c.gossipPaused.Store(true)
	c.takeStoreDown()
	storeWriter := NewWriter(c.backing.Store, NewReplica(time.Now), func(...resource.Versioned) {}, time.Now)
	accepted := mustWrite(t, storeWriter, "a", 0, resource.Change{ID: "c1"})
	c.nodes[0].writer.applyAndAnnounce(accepted)
	c.awaitRevision(accepted)
}

// TestPushWaitsForOthers guards against dropped pushes while others are in flight: on a busy
// machine a fifth of them was dropped, and nodes missed up to 15 of 20 changes.
func TestPushWaitsForOthers(t *testing.T) {
	c := newCluster(t)
	c.addMany(2, "z1", "z2")
	c.gossipPaused.Store(true)
	c.takeStoreDown()
	slots := c.nodes[0].syncer.pushSlots
	for range cap(slots) {
		slots <- struct{}{}
	}
	storeWriter := NewWriter(c.backing.Store, NewReplica(time.Now), func(...resource.Versioned) {}, time.Now)
	accepted := mustWrite(t, storeWriter, "a", 0, resource.Change{ID: "c1"})
	c.nodes[0].writer.applyAndAnnounce(accepted)
	time.Sleep(pushSlotTimeout / 10)
	for range cap(slots) {
		<-slots
	}
	c.awaitRevision(accepted)
	assert.Equal(t, c.nodes[0].syncer.counters.pushesDropped.Load(), int64(0))
}

func TestPullOfManyTombstonesOfOneRevision(t *testing.T) {
	c := newCluster(t)
	c.takeStoreDown()
	a := c.add("z1").syncer.Replica()
	const count = 2*maxPageEntries + 10
	for i := range count {
		a.Apply(version(fmt.Sprint("s", i), store.Revision(i+1), false))
	}
	a.ApplyComplete(nil, count+5)
	b := c.add("z1").syncer
	eventually(t, "ready", b.Ready)
	assert.Equal(t, len(b.Replica().Snapshot().Versions), count)
	assert.Equal(t, b.Replica().Digest(), a.Digest())
}

func TestRunEndsWithContext(t *testing.T) {
	c := newCluster(t)
	n := c.add("z1")
	c.awaitReady()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	n.syncer.Run(ctx)
}
