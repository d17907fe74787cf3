package test

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/platformstub"
)

// TestPlatformDrainBindsWhileTheStoreIsAway acknowledges a drain, takes the store
// away and kills the node that acknowledged it. The next process hears only late
// heartbeats from before, and its peers; neither may bring the target back.
func TestPlatformDrainBindsWhileTheStoreIsAway(t *testing.T) {
	p := startPlatform(t, "west", "west")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	assert.NilError(t, p.target(0).Drain(ctx))
	p.stub.SetFaults(platformstub.Faults{Down: true})
	assert.NilError(t, p.nodes[0].process.Process.Kill())
	<-p.nodes[0].ended
	p.target(0).Silence()
	drained := p.target(0).Count()
	p.start(p.nodes[0])
	p.awaitReady(p.nodes[0])
	late := &platformstub.Target{ID: p.target(0).ID, Born: p.target(0).Born, Service: "one", Address: p.target(0).Address, Control: p.target(0).Control, Zone: "west"}
	_ = late.Start(ctx)
	running := p.startLoad("/read/x", p.nodes...)
	time.Sleep(2 * time.Second)
	statuses := running.end()
	assert.DeepEqual(t, keysOf(statuses), []int{http.StatusOK})
	assert.Equal(t, p.target(0).Count(), drained, "a drained target got new work while the store was away")
	p.stub.SetFaults(platformstub.Faults{})
	running = p.startLoad("/read/x", p.nodes...)
	time.Sleep(2 * time.Second)
	running.end()
	assert.Equal(t, p.target(0).Count(), drained, "a drained target got new work once the store was back")
}

// TestPlatformPlannedStopWhileTheStoreIsAway stops a node under load while the
// store refuses everything: no request may end without an answer.
func TestPlatformPlannedStopWhileTheStoreIsAway(t *testing.T) {
	p := startPlatform(t, "west", "west", "east")
	p.stub.SetFaults(platformstub.Faults{Down: true})
	running := p.startLoad("/once/x", p.nodes[1], p.nodes[2])
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, p.nodes[0].process.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-p.nodes[0].ended:
		assert.NilError(t, err)
	case <-time.After(30 * time.Second):
		t.Fatal("the node did not stop")
	}
	assert.DeepEqual(t, keysOf(running.end()), []int{http.StatusOK})
}

// TestPlatformANodeThatJoinsGetsWork adds a machine with its target while others
// serve: their requests reach it, and its callers are served.
func TestPlatformANodeThatJoinsGetsWork(t *testing.T) {
	p := startPlatform(t, "west", "west")
	running := p.startLoad("/read/x", p.nodes...)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	joining := p.newNode(2, "west")
	p.start(joining)
	assert.NilError(t, joining.target.Start(ctx))
	eventually(t, 20*time.Second, "the new target gets work", func() bool { return joining.target.Count() > 0 })
	p.awaitReady(joining)
	p.awaitServed(joining, "/once/x")
	assert.DeepEqual(t, keysOf(running.end()), []int{http.StatusOK})
}

// TestPlatformFewNodesAskTheStore counts what a deployment at rest asks of the
// store: nodes that don't watch ask nothing but to keep their leases.
func TestPlatformFewNodesAskTheStore(t *testing.T) {
	const zones, watching = 8, 4
	names := make([]string, zones)
	for i := range names {
		names[i] = "west"
	}
	p := startPlatform(t, names...)
	time.Sleep(3 * time.Second)
	watches, lists := p.stub.Calls("/kv-watch"), p.stub.Calls("/kv-range")
	const rest = 8
	time.Sleep(rest * time.Second)
	watches, lists = p.stub.Calls("/kv-watch")-watches, p.stub.Calls("/kv-range")-lists
	// Watches of the configuration take 1 s or more, those of the records 2 s.
	const byWatchers = watching*rest + watching*rest/2
	assert.Assert(t, watches <= byWatchers*3/2, "%d watches", watches)
	assert.Assert(t, lists <= zones, "%d lists", lists)
	for _, n := range p.nodes {
		status, _ := p.send(n, "/read/x")
		assert.Equal(t, status, http.StatusOK)
	}
}
