package test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/platformstub"
)

// restartTarget replaces a node's target by a new process with the same id.
func (p *platform) restartTarget(n *platformNode) *platformstub.Target {
	p.t.Helper()
	previous := n.target
	previous.StopHeartbeats()
	previous.Close()
	next := &platformstub.Target{ID: previous.ID, Service: previous.Service, Address: previous.Address, Control: previous.Control, Zone: previous.Zone, ServiceTime: previous.ServiceTime}
	ctx, cancel := context.WithCancel(context.Background())
	p.t.Cleanup(cancel)
	eventually(p.t, 5*time.Second, "the target's address is free", func() bool { return next.Start(ctx) == nil })
	n.target = next
	return next
}

// TestPlatformTargetRestartsWithSameID restarts a crashed target and one that left, both with
// their old ids. Previously neither got work again: the crashed one after a delayed heartbeat of
// the previous process, which reported that it leaves, and the other one at once.
func TestPlatformTargetRestartsWithSameID(t *testing.T) {
	p := startPlatform(t, "west", "west", "east")
	running := p.startLoad("/read/x", p.nodes...)
	crashed := p.target(0)
	restarted := p.restartTarget(p.nodes[0])
	eventually(t, 3*time.Second, "the restarted target receives requests", func() bool { return restarted.RunCount() > 0 })
	late := &platformstub.Target{ID: crashed.ID, StartedAt: crashed.StartedAt, Service: "one", Address: crashed.Address, Control: crashed.Control, Zone: "west"}
	assert.NilError(t, late.Drain(t.Context()), "a delayed drain must be acknowledged")
	time.Sleep(time.Second)
	before := restarted.RunCount()
	eventually(t, 3*time.Second, "the target still receives requests", func() bool { return restarted.RunCount() > before })

	left := p.target(1)
	assert.NilError(t, left.Drain(t.Context()))
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, left.Deregister(t.Context()))
	returned := p.restartTarget(p.nodes[1])
	eventually(t, 3*time.Second, "the target that left receives requests again", func() bool { return returned.RunCount() > 0 })
	// The drain of the previous process does not apply to the new one.
	assert.NilError(t, p.nodes[1].process.Process.Kill())
	<-p.nodes[1].exited
	p.start(p.nodes[1])
	p.awaitReady(p.nodes[1])
	before = returned.RunCount()
	eventually(t, 3*time.Second, "it receives requests after a restart of its node", func() bool { return returned.RunCount() > before })
	statuses := running.stopAndCount()
	assert.Assert(t, statuses[http.StatusOK] > 100, "%v", statuses)
}
