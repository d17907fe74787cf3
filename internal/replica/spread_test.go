package replica

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/virtualtime"
)

// applyBound is how soon all nodes must know a change, the shortest of the sites'
// bounds.
const applyBound = 2 * time.Second

// TestAChangeReachesAllNodes has the fleet learn changes at a cost in calls to the
// store that does not grow with its size.
func TestAChangeReachesAllNodes(t *testing.T) {
	for _, size := range []int{17, 295} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			virtualtime.Run(t, func(t *testing.T) {
				f := newFleet(t, size, size/10)
				defer f.end()
				f.store.put("a", "1")
				f.until("a", "1", 5*time.Second)
				time.Sleep(3 * time.Second)
				before := f.store.calls.Load()
				time.Sleep(10 * time.Second)
				quiet := f.store.calls.Load() - before
				f.store.put("a", "2")
				took := f.until("a", "2", applyBound)
				f.store.remove("a")
				f.until("a", "", applyBound)
				t.Logf("%d nodes: %d calls in 10 s of quiet, a change known to all after %s", size, quiet, took)
				// The watchers alone may make one call a second each.
				const byWatchers = watchers * 10
				assert.Assert(t, quiet <= byWatchers*3/2, "%d calls", quiet)
			})
		})
	}
}

// TestAChangeIsKnownWithAllWatchersDead kills the nodes that watch right before a
// change: the others find that nobody tells them that they are current.
func TestAChangeIsKnownWithAllWatchersDead(t *testing.T) {
	for _, size := range []int{17, 295} {
		virtualtime.Run(t, func(t *testing.T) {
			f := newFleet(t, size, size/10)
			defer f.end()
			f.store.put("a", "1")
			f.until("a", "1", 5*time.Second)
			time.Sleep(5 * time.Second)
			for _, n := range f.nodes[:watchers] {
				f.kill(n)
			}
			f.store.put("a", "2")
			t.Logf("%d nodes: known to all after %s", size, f.until("a", "2", applyBound))
		})
	}
}

// TestAChangeIsKnownWithAllWatchersRefused has the store refuse the nodes that
// watch, and half of the others too.
func TestAChangeIsKnownWithAllWatchersRefused(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFleet(t, 60, 5)
		defer f.end()
		f.store.put("a", "1")
		f.until("a", "1", 5*time.Second)
		time.Sleep(5 * time.Second)
		for i, n := range f.nodes {
			f.cut(n, i < watchers || i%2 == 0)
		}
		f.store.put("a", "2")
		t.Logf("known to all after %s", f.until("a", "2", applyBound))
	})
}

// TestADroppedChangeIsFound has a change fall into history that the store drops
// while the watches wait.
func TestADroppedChangeIsFound(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFleet(t, 30, 3)
		defer f.end()
		f.store.put("a", "1")
		f.until("a", "1", 5*time.Second)
		time.Sleep(5 * time.Second)
		f.store.putUnheard("a", "2")
		f.store.drop()
		t.Logf("known to all after %s", f.until("a", "2", applyBound+staleAfter))
	})
}

// TestANodeThatStartsWithoutTheStoreLearnsFromPeers starts processes while the
// store refuses everybody.
func TestANodeThatStartsWithoutTheStoreLearnsFromPeers(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFleet(t, 60, 5)
		defer f.end()
		f.store.put("a", "1")
		f.until("a", "1", 5*time.Second)
		time.Sleep(2 * time.Second)
		for _, n := range f.nodes[:30] {
			f.kill(n)
		}
		for _, n := range f.nodes[30:] {
			f.cut(n, true)
		}
		for _, n := range f.nodes[:30] {
			f.start(n, true)
		}
		t.Logf("known to all after %s", f.until("a", "1", time.Second))
		// What a peer tells proves nothing of what was acknowledged since.
		time.Sleep(5 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, f.nodes[0].process.Load().copy.AwaitCurrent(ctx, time.Now().Add(-5*time.Second)), context.DeadlineExceeded)
	})
}

// TestAllNodesStartAtOnce starts the whole fleet while the store holds a document:
// few nodes read it, and the others have it from them soon.
func TestAllNodesStartAtOnce(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := &fleet{t: t, store: newFakeStore(), firstDelay: 400 * time.Millisecond}
		f.store.put("a", "1")
		for i := range 295 {
			f.nodes = append(f.nodes, &node{address: fmt.Sprint(i), place: i})
		}
		for _, n := range f.nodes {
			f.start(n, false)
		}
		defer f.end()
		took := f.until("a", "1", f.firstDelay)
		t.Logf("known to all after %s with %d calls", took, f.store.calls.Load())
		assert.Assert(t, took < f.firstDelay)
		assert.Assert(t, f.store.calls.Load() <= 4*watchers, "%d calls", f.store.calls.Load())
	})
}

// TestANodeThatIsRefusedKnowsWhatWasAcknowledgedBeforeItStarted has the store
// refuse one node that starts: after a while its peers prove that it knows all.
func TestANodeThatIsRefusedKnowsWhatWasAcknowledgedBeforeItStarted(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFleet(t, 30, 3)
		defer f.end()
		f.store.put("a", "1")
		f.until("a", "1", 5*time.Second)
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
		t.Logf("proved after %s", time.Since(started))
	})
}
