package test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
	"github.com/lugspur/lugspur/lab/platformstub"
)

// applyBound is how long a confirmed version may take to be in force.
const applyBound = 2 * time.Second

// restore has the store be away for a moment and come back from a copy. The operator writes
// again what the copy lacks, which is done before any node is answered.
func (p *platform) restore(copied *memory.Backup, again func()) {
	p.t.Helper()
	p.stub.SetFaults(platformstub.Faults{Down: true})
	time.Sleep(300 * time.Millisecond)
	p.stub.Between(func() { p.held.Restore(copied) })
	if again != nil {
		again()
	}
	p.stub.SetFaults(platformstub.Faults{})
}

// write writes a version of the configuration in place of the one that lies there.
func (p *platform) write(version int, added string) {
	p.t.Helper()
	entry, err := p.held.Get(context.Background(), "op/config")
	assert.NilError(p.t, err)
	p.configure(entry.Revision, fmt.Sprintf(configurationForm, version, added))
}

func (p *platform) awaitVersion(version int, nodes ...*platformNode) {
	p.t.Helper()
	for _, n := range nodes {
		eventually(p.t, 10*time.Second, fmt.Sprintf("%s has version %d", n.name, version), func() bool {
			_, text := p.get(n.metrics + "/metrics")
			return strings.Contains(text, fmt.Sprintf("lugspur_configuration_version %d\n", version))
		})
	}
}

// expectServed fails unless all nodes serve the path within the bound.
func (p *platform) expectServed(path string, within time.Duration) {
	p.t.Helper()
	begun := time.Now()
	for _, n := range p.nodes {
		for {
			status, _ := p.send(n, path)
			if status == http.StatusOK {
				break
			}
			if time.Since(begun) > within {
				p.t.Fatalf("%s answers %d for %s, %s after it was confirmed", n.name, status, path, time.Since(begun))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// TestPlatformRestoredStore tells of configurations that were confirmed and not in force.
//
// What users saw: a route that had been added was answered 404 by all 13 nodes, 2.2 s and
// longer after the store had confirmed the version that added it.
// Order of events: the store was away for 2.5 s and came back from a copy some seconds old.
// Two more versions were written; each list of the store told them, 90 times a second, and
// no node took them. Three seconds later a further version was taken at once by all.
// Cause: revisions of the store were compared across its return. It had given out revision
// 50 before and gave out 40 and more again, so that what was written now looked older than
// what the nodes held.
// Evidence: in the first case below the log of each node has "entry-passed-over" lines for
// op/config in which the revision that was told is lower than the one held, until it passes
// that; watches are refused meanwhile, lists are answered.
func TestPlatformRestoredStore(t *testing.T) {
	t.Run("a later version is taken", testRestoredLaterVersion)
	t.Run("revisions that pass the old ones unseen", testRestoredRevisionsPass)
	t.Run("a node that starts beside newer peers", testRestoredBesideNewerPeers)
	t.Run("a departure in the lost seconds binds", testRestoredDeparture)
	t.Run("nodes that joined in the lost seconds are known", testRestoredNewNodes)
}

// manyVersions raise the store's revision far beyond that of the copy.
const manyVersions = 60

func testRestoredLaterVersion(t *testing.T) {
	p := startPlatform(t, "west", "west", "west", "east", "east")
	copied := p.held.Backup()
	for version := 2; version <= manyVersions; version++ {
		p.write(version, "")
	}
	p.awaitVersion(manyVersions, p.nodes...)
	p.restore(copied, func() { p.write(manyVersions, "") })
	time.Sleep(time.Second)
	p.write(manyVersions+2, addedRoute)
	p.expectServed("/added/x", applyBound)
}

func testRestoredRevisionsPass(t *testing.T) {
	p := startPlatform(t, "west", "west", "west", "east", "east")
	copied := p.held.Backup()
	p.writeElsewhere(manyVersions)
	p.write(2, "")
	p.awaitVersion(2, p.nodes...)
	p.restore(copied, func() {
		p.write(2, "")
		p.write(3, addedRoute)
		p.writeElsewhere(2 * manyVersions)
	})
	p.expectServed("/added/x", applyBound)
}

// writeElsewhere writes keys that are nobody's, which raises the store's revision.
func (p *platform) writeElsewhere(count int) {
	p.t.Helper()
	for i := range count {
		_, err := p.held.CompareAndSwap(context.Background(), fmt.Sprintf("elsewhere/%d", i), 0, []byte("x"), store.NoLease)
		assert.NilError(p.t, err)
	}
}

func testRestoredBesideNewerPeers(t *testing.T) {
	p := startPlatform(t, "west", "west", "west", "east", "east")
	copied := p.held.Backup()
	p.write(2, addedRoute)
	p.awaitVersion(2, p.nodes...)
	// The operator is slow to write again what was lost.
	p.restore(copied, nil)
	time.Sleep(2 * time.Second)
	n := p.nodes[0]
	assert.NilError(t, n.process.Process.Kill())
	<-n.ended
	p.start(n)
	p.awaitReady(n)
	for i := range 20 {
		status, _ := p.send(n, "/added/x")
		assert.Equal(t, status, http.StatusOK, "answer %d of the node that started is by the older version", i)
	}
	p.write(3, "")
	eventually(t, applyBound, "the route that a later version drops is refused", func() bool {
		status, _ := p.send(n, "/added/x")
		return status == http.StatusNotFound
	})
}

func testRestoredDeparture(t *testing.T) {
	p := startPlatform(t, "west", "west", "east")
	copied := p.held.Backup()
	assert.NilError(t, p.target(0).Drain(t.Context()))
	time.Sleep(time.Second)
	p.restore(copied, nil)
	time.Sleep(3 * time.Second)
	drained := p.target(0).Count()
	for _, n := range p.nodes {
		assert.NilError(t, n.process.Process.Kill())
		<-n.ended
	}
	p.target(0).Silence()
	for _, n := range p.nodes {
		p.start(n)
	}
	for _, n := range p.nodes {
		p.awaitReady(n)
	}
	running := p.startLoad("/read/x", p.nodes...)
	time.Sleep(2 * time.Second)
	running.end()
	assert.Equal(t, p.target(0).Count(), drained, "a target that left got work from before the store's return")
}

func testRestoredNewNodes(t *testing.T) {
	p := startPlatform(t, "west", "west")
	copied := p.held.Backup()
	for i := 2; i < 4; i++ {
		n := p.newNode(i, "east")
		p.nodes = append(p.nodes, n)
		p.start(n)
		assert.NilError(t, n.target.Start(t.Context()))
	}
	for _, n := range p.nodes {
		p.awaitReady(n)
		p.awaitHomes(n, len(p.nodes))
	}
	running := p.startLoad("/once/x", p.nodes...)
	p.restore(copied, nil)
	late := p.newNode(4, "west")
	p.nodes = append(p.nodes, late)
	p.start(late)
	assert.NilError(t, late.target.Start(t.Context()))
	p.awaitReady(late)
	begun := time.Now()
	p.awaitHomes(late, len(p.nodes))
	assert.Assert(t, time.Since(begun) < 3*time.Second, "a node that starts knows all homes after %s", time.Since(begun))
	assert.DeepEqual(t, keysOf(running.end()), []int{http.StatusOK})
}
