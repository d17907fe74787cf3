package test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/platformstub"
)

// startAgain starts a target in the place of a node's under the same id.
func (p *platform) startAgain(n *platformNode) *platformstub.Target {
	p.t.Helper()
	before := n.target
	before.Silence()
	before.Close()
	next := &platformstub.Target{ID: before.ID, Service: before.Service, Address: before.Address, Control: before.Control, Zone: before.Zone, Work: before.Work}
	ctx, cancel := context.WithCancel(context.Background())
	p.t.Cleanup(cancel)
	eventually(p.t, 5*time.Second, "the target's address is free", func() bool { return next.Start(ctx) == nil })
	n.target = next
	return next
}

// TestPlatformATargetStartsAgainUnderItsID has a target crash and one leave, and both start
// again under their ids. Before, each of the two got no work any more: the one after a late
// heartbeat of the start before, which said that it leaves, and the other at once.
func TestPlatformATargetStartsAgainUnderItsID(t *testing.T) {
	p := startPlatform(t, "west", "west", "east")
	running := p.startLoad("/read/x", p.nodes...)
	crashed := p.target(0)
	again := p.startAgain(p.nodes[0])
	eventually(t, 3*time.Second, "the target that crashed works again", func() bool { return again.Count() > 0 })
	late := &platformstub.Target{ID: crashed.ID, Born: crashed.Born, Service: "one", Address: crashed.Address, Control: crashed.Control, Zone: "west"}
	assert.NilError(t, late.Drain(t.Context()), "a late word is acknowledged")
	time.Sleep(time.Second)
	before := again.Count()
	eventually(t, 3*time.Second, "the target goes on working", func() bool { return again.Count() > before })

	left := p.target(1)
	assert.NilError(t, left.Drain(t.Context()))
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, left.Leave(t.Context()))
	returned := p.startAgain(p.nodes[1])
	eventually(t, 3*time.Second, "the target that left works again", func() bool { return returned.Count() > 0 })
	// What was acknowledged of the start before binds no process that starts.
	assert.NilError(t, p.nodes[1].process.Process.Kill())
	<-p.nodes[1].ended
	p.start(p.nodes[1])
	p.awaitReady(p.nodes[1])
	before = returned.Count()
	eventually(t, 3*time.Second, "it works beside a node that started", func() bool { return returned.Count() > before })
	statuses := running.end()
	assert.Assert(t, statuses[http.StatusOK] > 100, "%v", statuses)
}
