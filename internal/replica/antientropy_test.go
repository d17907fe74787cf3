package replica

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/virtualtime"
)

// applyBound is the time within which a change must reach all nodes, the shortest bound of any
// site.
const applyBound = 2 * time.Second

// TestChangeReachesAllNodes checks that changes reach all nodes, and that the number of calls
// to the store does not grow with the size of the fleet.
func TestChangeReachesAllNodes(t *testing.T) {
	for _, size := range []int{17, 295} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			virtualtime.Run(t, func(t *testing.T) {
				f := newFleet(t, size, size/10)
				defer f.stop()
				f.store.put("a", "1")
				f.awaitValue("a", "1", 5*time.Second)
				time.Sleep(3 * time.Second)
				before := f.store.calls.Load()
				time.Sleep(10 * time.Second)
				idleCalls := f.store.calls.Load() - before
				f.store.put("a", "2")
				elapsed := f.awaitValue("a", "2", applyBound)
				f.store.remove("a")
				f.awaitValue("a", "", applyBound)
				t.Logf("%d nodes: %d calls in 10 s without changes, a change reached all after %s", size, idleCalls, elapsed)
				// The watchers make one call a second each.
				const watcherCalls = watchers * 10
				assert.Assert(t, idleCalls <= watcherCalls*3/2, "%d calls", idleCalls)
			})
		})
	}
}

// TestChangeReachesAllNodesWithWatchersDead kills all watchers right before a change: the other
// nodes must detect that their copies are no longer confirmed as current.
func TestChangeReachesAllNodesWithWatchersDead(t *testing.T) {
	for _, size := range []int{17, 295} {
		virtualtime.Run(t, func(t *testing.T) {
			f := newFleet(t, size, size/10)
			defer f.stop()
			f.store.put("a", "1")
			f.awaitValue("a", "1", 5*time.Second)
			time.Sleep(5 * time.Second)
			for _, n := range f.nodes[:watchers] {
				f.kill(n)
			}
			f.store.put("a", "2")
			t.Logf("%d nodes: reached all after %s", size, f.awaitValue("a", "2", applyBound))
		})
	}
}

// TestChangeReachesAllNodesWithWatchersRefused has the store refuse all watchers and half of
// the other nodes.
func TestChangeReachesAllNodesWithWatchersRefused(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFleet(t, 60, 5)
		defer f.stop()
		f.store.put("a", "1")
		f.awaitValue("a", "1", 5*time.Second)
		time.Sleep(5 * time.Second)
		for i, n := range f.nodes {
			f.setRefused(n, i < watchers || i%2 == 0)
		}
		f.store.put("a", "2")
		t.Logf("reached all nodes after %s", f.awaitValue("a", "2", applyBound))
	})
}

// TestCompactedChangeIsFound has the store compact a change while the watches are blocked, so
// that no watch returns it.
func TestCompactedChangeIsFound(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFleet(t, 30, 3)
		defer f.stop()
		f.store.put("a", "1")
		f.awaitValue("a", "1", 5*time.Second)
		time.Sleep(5 * time.Second)
		f.store.putWithoutEvent("a", "2")
		f.store.compact()
		t.Logf("reached all nodes after %s", f.awaitValue("a", "2", applyBound+staleAfter))
	})
}

// TestNodeStartsFromPeersWithoutStore starts processes while the store refuses all nodes.
func TestNodeStartsFromPeersWithoutStore(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFleet(t, 60, 5)
		defer f.stop()
		f.store.put("a", "1")
		f.awaitValue("a", "1", 5*time.Second)
		time.Sleep(2 * time.Second)
		for _, n := range f.nodes[:30] {
			f.kill(n)
		}
		for _, n := range f.nodes[30:] {
			f.setRefused(n, true)
		}
		for _, n := range f.nodes[:30] {
			f.start(n, true)
		}
		t.Logf("reached all nodes after %s", f.awaitValue("a", "1", time.Second))
		// Peers can't confirm that a copy holds what the store acknowledged after it began to
		// refuse them.
		time.Sleep(5 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, f.nodes[0].process.Load().copy.AwaitCurrent(ctx, time.Now().Add(-5*time.Second)), context.DeadlineExceeded)
	})
}

// TestSimultaneousStart starts the whole fleet while the store holds a document: few nodes read
// it, and the others receive it from them before their initial delay ends.
func TestSimultaneousStart(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := &fleet{t: t, store: newFakeStore(), initialDelay: 400 * time.Millisecond}
		f.store.put("a", "1")
		for i := range 295 {
			f.nodes = append(f.nodes, &node{address: fmt.Sprint(i), position: i})
		}
		for _, n := range f.nodes {
			f.start(n, false)
		}
		defer f.stop()
		elapsed := f.awaitValue("a", "1", f.initialDelay)
		t.Logf("reached all nodes after %s with %d calls", elapsed, f.store.calls.Load())
		assert.Assert(t, elapsed < f.initialDelay)
		assert.Assert(t, f.store.calls.Load() <= 4*watchers, "%d calls", f.store.calls.Load())
	})
}

// TestRefusedNodeBecomesCurrent has the store refuse one starting node: its peers confirm that
// its copy is current as of its start.
func TestRefusedNodeBecomesCurrent(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFleet(t, 30, 3)
		defer f.stop()
		f.store.put("a", "1")
		f.awaitValue("a", "1", 5*time.Second)
		n := f.nodes[20]
		f.kill(n)
		f.store.put("a", "2")
		started := time.Now()
		f.start(n, true)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		p := n.process.Load()
		assert.NilError(t, p.copy.AwaitCurrent(ctx, started))
		assert.Equal(t, p.value("a"), "2")
		t.Logf("known to be current after %s", time.Since(started))
	})
}
