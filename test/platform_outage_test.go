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

// TestPlatformDrainPersistsWhileStoreIsDown acknowledges a drain, stops the store and kills
// the node that acknowledged it. The next process receives only delayed heartbeats from
// before the drain and its peers' state; neither may return the target to service.
func TestPlatformDrainPersistsWhileStoreIsDown(t *testing.T) {
	p := startPlatform(t, "west", "west")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	assert.NilError(t, p.target(0).Drain(ctx))
	p.stub.SetFaults(platformstub.Faults{Down: true})
	assert.NilError(t, p.nodes[0].process.Process.Kill())
	<-p.nodes[0].exited
	p.target(0).StopHeartbeats()
	drained := p.target(0).RunCount()
	p.start(p.nodes[0])
	p.awaitReady(p.nodes[0])
	late := &platformstub.Target{ID: p.target(0).ID, StartedAt: p.target(0).StartedAt, Service: "one", Address: p.target(0).Address, Control: p.target(0).Control, Zone: "west"}
	_ = late.Start(ctx)
	running := p.startLoad("/read/x", p.nodes...)
	time.Sleep(2 * time.Second)
	statuses := running.stopAndCount()
	assert.DeepEqual(t, statusesOf(statuses), []int{http.StatusOK})
	assert.Equal(t, p.target(0).RunCount(), drained, "a drained target got new work while the store was down")
	p.stub.SetFaults(platformstub.Faults{})
	running = p.startLoad("/read/x", p.nodes...)
	time.Sleep(2 * time.Second)
	running.stopAndCount()
	assert.Equal(t, p.target(0).RunCount(), drained, "a drained target got new work once the store was back")
}

// TestPlatformPlannedStopWhileStoreIsDown stops a node under load while the store refuses
// all requests: no request may end without an answer.
func TestPlatformPlannedStopWhileStoreIsDown(t *testing.T) {
	p := startPlatform(t, "west", "west", "east")
	p.stub.SetFaults(platformstub.Faults{Down: true})
	running := p.startLoad("/once/x", p.nodes[1], p.nodes[2])
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, p.nodes[0].process.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-p.nodes[0].exited:
		assert.NilError(t, err)
	case <-time.After(30 * time.Second):
		t.Fatal("the node did not stop")
	}
	assert.DeepEqual(t, statusesOf(running.stopAndCount()), []int{http.StatusOK})
}

// TestPlatformJoiningNodeReceivesRequests adds a machine with its target under load: the
// target must receive requests, and the new node must serve callers.
func TestPlatformJoiningNodeReceivesRequests(t *testing.T) {
	p := startPlatform(t, "west", "west")
	running := p.startLoad("/read/x", p.nodes...)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	joining := p.newNode(2, "west", "one")
	p.start(joining)
	assert.NilError(t, joining.target.Start(ctx))
	eventually(t, 20*time.Second, "the new target gets work", func() bool { return joining.target.RunCount() > 0 })
	p.awaitReady(joining)
	p.awaitServed(joining, "/once/x")
	assert.DeepEqual(t, statusesOf(running.stopAndCount()), []int{http.StatusOK})
}

// TestPlatformFewNodesPollStore counts the store requests of an idle deployment: nodes that
// do not watch the store only renew their leases.
func TestPlatformFewNodesPollStore(t *testing.T) {
	const zones, watching = 8, 4
	names := make([]string, zones)
	for i := range names {
		names[i] = "west"
	}
	p := startPlatform(t, names...)
	time.Sleep(3 * time.Second)
	watches, lists := p.stub.Calls("/kv-watch"), p.stub.Calls("/kv-range")
	const idleSeconds = 8
	time.Sleep(idleSeconds * time.Second)
	watches, lists = p.stub.Calls("/kv-watch")-watches, p.stub.Calls("/kv-range")-lists
	// A watch of the configuration lasts at least 1 s, one of the records 2 s.
	const expectedWatches = watching*idleSeconds + watching*idleSeconds/2
	assert.Assert(t, watches <= expectedWatches*3/2, "%d watches", watches)
	assert.Assert(t, lists <= zones, "%d lists", lists)
	for _, n := range p.nodes {
		status, _ := p.send(n, "/read/x")
		assert.Equal(t, status, http.StatusOK)
	}
}
