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

func TestChangesReachAllAndFewWatch(t *testing.T) {
	c := newCluster(t)
	c.addMany(20, "z1", "z2", "z3")
	const bound = 3 * 2
	eventually(t, "the watchers of three zones", func() bool { return c.backing.watching.Load() == bound })
	lists, watches := c.backing.lists.Load(), c.backing.watches.Load()
	for number := range 10 {
		written := c.nodes[number].write(fmt.Sprint("s", number), 0, "create")
		c.awaitRevision(written)
		written, err := c.nodes[19-number].writer.Write(t.Context(), service(written.ID.Name, 1), written.Revision, resource.Change{ID: "delete", Deleted: true})
		assert.NilError(t, err)
		c.awaitRevision(written)
	}
	c.awaitAll("one floor", func(n *testNode) bool { return n.spreader.Replica().Floor() >= 20 })
	assert.Equal(t, c.backing.lists.Load(), lists, "changes cause no lists")
	assert.Equal(t, c.backing.watches.Load(), watches, "changes cause no watches")
	assert.Equal(t, c.backing.watching.Load(), int64(bound))
	assert.Assert(t, c.backing.gets.Load() <= 10, "one read for each creation: %d", c.backing.gets.Load())
}

func TestChangeSpreadsWithoutStore(t *testing.T) {
	c := newCluster(t)
	c.addMany(12, "z1", "z2")
	eventually(t, "the watchers of two zones", func() bool { return c.backing.watching.Load() == 4 })
	// The writer hears of the acceptance and nobody else hears from the store.
	writer := c.nodes[5]
	held := NewReplica(time.Now)
	quiet := NewWriter(c.backing.Store, held, func(...resource.Versioned) {}, time.Now)
	c.takeStoreDown()
	accepted := mustWrite(t, quiet, "a", 0, resource.Change{ID: "c1"})
	writer.writer.learn(accepted)
	c.awaitRevision(accepted)
	assert.Assert(t, c.nodes[0].spreader.Replica().Floor() < accepted.Revision, "pushes do not raise the floor")
	c.backing.setDown(false)
	c.awaitAll("floor after the outage", func(n *testNode) bool { return n.spreader.Replica().Floor() >= accepted.Revision })
}

func TestCutHeals(t *testing.T) {
	c := newCluster(t)
	c.addMany(10, "z1", "z2")
	first := c.nodes[0].write("a", 0, "c1")
	c.awaitRevision(first)
	c.setCut(true)
	c.takeStoreDown()
	quiet := NewWriter(c.backing.Store, NewReplica(time.Now), func(...resource.Versioned) {}, time.Now)
	second := mustWrite(t, quiet, "a", first.Revision, resource.Change{ID: "c2"})
	c.nodes[0].writer.learn(second)
	assert.Assert(t, c.nodes[1].spreader.AddEmergencyDrain("machine.m1"))
	eventually(t, "one side", func() bool {
		held, _ := c.nodes[8].spreader.Replica().Get(second.ID)
		return held.Revision == second.Revision
	})
	held, _ := c.nodes[1].spreader.Replica().Get(second.ID)
	assert.Equal(t, held.Revision, first.Revision, "the other side is cut off")
	assert.Assert(t, !c.nodes[0].spreader.EmergencyDrains().Drained("machine.m1"))
	c.setCut(false)
	c.awaitRevision(second)
	c.awaitAll("emergency drain", func(n *testNode) bool { return n.spreader.EmergencyDrains().Drained("machine.m1") })
}

func TestNewNodeStartsFromPeersWithStoreDown(t *testing.T) {
	c := newCluster(t)
	c.addMany(5, "z1")
	var last resource.Versioned
	for number := range 700 {
		last = c.nodes[0].write(fmt.Sprint("s", number), 0, "create")
	}
	c.awaitRevision(last)
	c.awaitAll("floor", func(n *testNode) bool { return n.spreader.Replica().Floor() >= last.Revision })
	c.takeStoreDown()
	lists := c.backing.lists.Load()
	// On a busy machine peers may take longer than the usual grace to send so much.
	c.startupGrace = time.Minute
	fresh := c.add("z1", c.nodes[1].self.PeerAddress)
	eventually(t, "ready", fresh.spreader.Ready)
	assert.Equal(t, len(fresh.spreader.Replica().List(resource.KindService)), 700)
	assert.Equal(t, fresh.spreader.Replica().Floor(), c.nodes[0].spreader.Replica().Floor())
	assert.Equal(t, c.backing.lists.Load(), lists)
}

func TestNodeWithoutAnyoneIsNotReady(t *testing.T) {
	c := newCluster(t)
	c.takeStoreDown()
	c.add("z1")
	c.add("z2")
	c.awaitAll("failed attempts at the store and at peers", func(n *testNode) bool {
		status := n.spreader.Status()
		return status.StoreError != "" && status.Traffic.StoreLists > 2 && status.Traffic.Pulls > 4
	})
	for _, n := range c.nodes {
		assert.Assert(t, !n.spreader.Ready())
	}
	c.backing.setDown(false)
	c.awaitReady()
}

func TestSingleNode(t *testing.T) {
	c := newCluster(t)
	n := c.add("z1")
	c.awaitReady()
	written := n.write("a", 0, "c1")
	eventually(t, "floor", func() bool { return n.spreader.Replica().Floor() >= written.Revision })
	_, err := c.backing.CompareAndDelete(t.Context(), written.ID.Key(), written.Revision)
	assert.NilError(t, err)
	eventually(t, "removal from outside", func() bool { return n.spreader.Status().Objects == 0 })
}

func TestWatchDutyMovesFromDeadNodes(t *testing.T) {
	c := newCluster(t)
	c.addMany(6, "z1")
	eventually(t, "two watchers", func() bool { return c.backing.watching.Load() == 2 })
	for _, n := range c.nodes {
		if n.spreader.Status().Watching {
			n.kill()
		}
	}
	eventually(t, "two others", func() bool { return c.backing.watching.Load() == 2 && len(c.watchers()) == 2 })
	written := c.watchers()[0].write("a", 0, "c1")
	c.awaitRevision(written)
}

func (c *cluster) watchers() []*testNode {
	var watchers []*testNode
	for _, n := range c.nodes {
		if n.spreader.Status().Watching && !n.dead.Load() {
			watchers = append(watchers, n)
		}
	}
	return watchers
}

func TestPollFindsWhatWatchersMiss(t *testing.T) {
	c := newCluster(t)
	n := c.add("z1")
	c.awaitReady()
	n.stop()
	eventually(t, "no watch", func() bool { return c.backing.watching.Load() == 0 })
	quiet, _ := newTestWriter(c.backing)
	written := mustWrite(t, quiet, "a", 0, resource.Change{ID: "c1"})
	missed, listed := n.spreader.pollOnce(t.Context())
	assert.Assert(t, missed && listed)
	assert.Equal(t, n.spreader.Replica().Floor(), written.Revision)
	lists := c.backing.lists.Load()
	missed, listed = n.spreader.pollOnce(t.Context())
	assert.Assert(t, !missed && !listed)
	assert.Equal(t, c.backing.lists.Load(), lists, "a poll that finds nothing lists nothing")
}

func TestStoreRestoredFromOldCopyChangesNothing(t *testing.T) {
	c := newCluster(t)
	n := c.add("z1")
	c.awaitReady()
	written := n.write("a", 0, "c1")
	eventually(t, "floor", func() bool { return n.spreader.Replica().Floor() >= written.Revision })
	n.spreader.Replica().SetFloor(written.Revision + 100)
	assert.ErrorIs(t, n.spreader.list(t.Context()), errStoreBehind)
	assert.Equal(t, n.spreader.Status().Objects, 1)
}

func TestDivergedReplicasRepairThemselves(t *testing.T) {
	c := newCluster(t)
	c.takeStoreDown()
	c.add("z1")
	c.add("z1")
	a, b := c.nodes[0].spreader.Replica(), c.nodes[1].spreader.Replica()
	a.ApplyComplete([]resource.Versioned{version("a", 1, false), version("b", 2, false)}, 5)
	b.ApplyComplete([]resource.Versioned{version("a", 1, false)}, 5)
	eventually(t, "equal replicas", func() bool { return a.Digest().sameObjects(b.Digest()) })
	assert.Equal(t, len(b.List(resource.KindService)), 2)
}

func TestLongSeparatedNodeForgetsDeletedObjects(t *testing.T) {
	c := newCluster(t)
	c.takeStoreDown()
	c.add("z1")
	c.add("z1")
	c.nodes[1].isolated.Store(true)
	a, b := c.nodes[0].spreader.Replica(), c.nodes[1].spreader.Replica()
	b.ApplyComplete([]resource.Versioned{version("a", 1, false), version("b", 2, false)}, 5)
	a.ForgetTombstonesBelow(8)
	a.ApplyComplete([]resource.Versioned{version("b", 2, false)}, 9)
	c.nodes[1].isolated.Store(false)
	eventually(t, "deletion", func() bool { return a.Digest().sameObjects(b.Digest()) && b.Floor() == 9 })
	assert.Equal(t, len(a.List(resource.KindService)), 1)
	assert.Equal(t, b.Digest().Collected, a.Digest().Collected)
}

func TestPushAloneReachesPeers(t *testing.T) {
	c := newCluster(t)
	c.addMany(4, "z1", "z2")
	c.silent.Store(true)
	c.takeStoreDown()
	quiet := NewWriter(c.backing.Store, NewReplica(time.Now), func(...resource.Versioned) {}, time.Now)
	accepted := mustWrite(t, quiet, "a", 0, resource.Change{ID: "c1"})
	c.nodes[0].writer.learn(accepted)
	c.awaitRevision(accepted)
}

func TestPullOfManyTombstonesOfOneRevision(t *testing.T) {
	c := newCluster(t)
	c.takeStoreDown()
	a := c.add("z1").spreader.Replica()
	const count = 2*maxPageEntries + 10
	for number := range count {
		a.Apply(version(fmt.Sprint("s", number), store.Revision(number+1), false))
	}
	a.ApplyComplete(nil, count+5)
	b := c.add("z1").spreader
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
	n.spreader.Run(ctx)
}
