package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/eventlog"
)

const (
	// announce is how long the node serves on so that those who ask whether it is
	// ready have noticed that it is not.
	announce = 2500 * time.Millisecond
	// admitFor is how long the node still admits calls to its target, for the case
	// that no other home of the service is left.
	admitFor = 2200 * time.Millisecond
	// quiet is how long no request may have come before the node ends early.
	quiet = 400 * time.Millisecond
	// stopMargin is left between the end of the stop and the end of the grace time.
	stopMargin = 300 * time.Millisecond
	stopPoll   = 50 * time.Millisecond
)

// stop ends the node without cutting a request: it tells peers to prefer other
// homes and callers to close their connections, serves what still comes, refuses
// calls to its target after a while, and ends once nothing is in flight or the
// grace time is over. While the store is away it serves on as long as it can. Its
// record stays in the store until its lease ends: peers are told by the first refusal, and
// one that starts again at the address writes a new one, so that a removal would
// only wake every node once more.
func (n *Node) stop() {
	started := clock.Now()
	n.log.Record(eventlog.Event{Kind: eventlog.ProcessStopping})
	n.stopping.Store(true)
	n.guard.MarkStopping()
	n.forwarder.Stop()
	n.running.Go(n.releaseShards)
	end := started.Add(n.settings.grace() - stopMargin)
	admission := started.Add(min(admitFor, n.settings.grace()/2))
	for clock.Now().Before(admission) {
		time.Sleep(stopPoll)
	}
	servesOn := n.endAdmission(end)
	for clock.Now().Before(end) && (servesOn || !n.idle(started)) {
		if servesOn && n.gate.Reachable() && n.forwarder.OtherHomesServe() {
			servesOn = n.endAdmission(end)
		}
		time.Sleep(stopPoll)
	}
	n.shutDown(end)
	n.calls.record()
	n.log.Record(eventlog.Event{Kind: eventlog.ProcessStopped, Count: n.inFlight()})
}

// releaseShards gives up the node's shards of tenants' limits.
func (n *Node) releaseShards() {
	ctx, cancel := context.WithTimeout(context.Background(), admitFor)
	defer cancel()
	n.limits.keeper.Stop(ctx)
}

// endAdmission refuses requests that may not end in time, and further calls to the
// target. While the store is away it still admits those calls that are sure to end
// in time, and reports that the node is to serve on until its end: the process that
// comes next can't serve the target before the store tells it what was
// acknowledged.
func (n *Node) endAdmission(end time.Time) (servesOn bool) {
	n.forwarder.SetShutdownDeadline(end)
	if n.gate.Reachable() {
		n.guard.Close()
		return false
	}
	n.guard.SetStopDeadline(end)
	return true
}

// shutDown closes listeners and idle connections and waits for requests that came
// at the last moment, so that none is read and left without an answer.
func (n *Node) shutDown(deadline time.Time) {
	var closing sync.WaitGroup
	for _, server := range n.servers {
		closing.Go(func() { server.shutDown(deadline) })
	}
	closing.Wait()
}

func (n *Node) inFlight() int { return int(n.forwarder.InFlight() + n.guard.InFlight()) }

// idle reports whether the node may end: its stop was noticed, and nothing came
// for a while or is in flight.
func (n *Node) idle(stopStarted time.Time) bool {
	return clock.Since(stopStarted) >= announce && n.inFlight() == 0 && n.forwarder.IdleTime() >= quiet
}
