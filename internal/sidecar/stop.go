package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/eventlog"
)

const (
	// announcePeriod is how long the node keeps serving after the stop signal, so that readiness
	// checks detect that it is no longer ready.
	announcePeriod = 2500 * time.Millisecond
	// admissionPeriod is how long the node still admits calls to its target, in case the
	// service has no other home.
	admissionPeriod = 2200 * time.Millisecond
	// quietPeriod is the time without new requests after which the node exits before the end of
	// the grace time.
	quietPeriod = 400 * time.Millisecond
	// stopMargin is the time between the end of the stop and the end of the grace time.
	stopMargin       = 300 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
)

// stop shuts the node down without interrupting requests. It asks peers to prefer other homes
// and callers to close their connections, serves requests that still arrive, refuses calls to
// its target after the admission period, and returns once nothing is in flight or the grace
// time is over. While the store is unreachable, the node serves as long as it can. Its record
// stays in the store until the lease expires: removing it would only send every node one more
// change, as peers learn of the stop from the first refusal and a node that restarts at the
// address writes a new record.
func (n *Node) stop() {
	started := clock.Now()
	n.log.Record(eventlog.Event{Kind: eventlog.ProcessStopping})
	n.stopping.Store(true)
	n.guard.MarkStopping()
	n.forwarder.Stop()
	end := started.Add(n.settings.grace() - stopMargin)
	n.guard.AnnounceShutdown(end)
	n.forwarder.AnnounceShutdown(end)
	n.running.Go(n.releaseShards)
	admission := started.Add(min(admissionPeriod, n.settings.grace()/2))
	for clock.Now().Before(admission) {
		time.Sleep(stopPollInterval)
	}
	keepServing := n.stopAdmission(end)
	for clock.Now().Before(end) && (keepServing || !n.idle(started)) {
		if keepServing && n.storeBreaker.Reachable() && n.forwarder.OtherHomesServe() {
			keepServing = n.stopAdmission(end)
		}
		time.Sleep(stopPollInterval)
	}
	n.shutDown(end)
	n.storeCalls.logCounts()
	n.log.Record(eventlog.Event{Kind: eventlog.ProcessStopped, Count: n.inFlight()})
}

// releaseShards releases the shards of tenants' rate limits that the node holds.
func (n *Node) releaseShards() {
	ctx, cancel := context.WithTimeout(context.Background(), admissionPeriod)
	defer cancel()
	n.limits.shardManager.Stop(ctx)
}

// stopAdmission refuses requests that may not end in time, and all further calls to the
// target. While the store is unreachable, it still admits calls that will end in time and
// returns true, so that the node keeps serving until the end of the grace time: its successor
// cannot serve the target before it has read from the store what was acknowledged.
func (n *Node) stopAdmission(end time.Time) (keepServing bool) {
	n.forwarder.SetShutdownDeadline(end)
	n.guard.SetShutdownDeadline(end)
	if n.storeBreaker.Reachable() {
		n.guard.Close()
		return false
	}
	return true
}

// shutDown closes listeners and idle connections and waits for requests that have just
// arrived, so that no request that was read stays unanswered.
func (n *Node) shutDown(deadline time.Time) {
	var closing sync.WaitGroup
	for _, server := range n.servers {
		closing.Go(func() { server.shutDown(deadline) })
	}
	closing.Wait()
}

func (n *Node) inFlight() int { return int(n.forwarder.InFlight() + n.guard.InFlight()) }

// idle reports whether the node may exit: the announce period is over, nothing is in flight,
// and no request has arrived for the quiet period.
func (n *Node) idle(stopStarted time.Time) bool {
	return clock.Since(stopStarted) >= announcePeriod && n.inFlight() == 0 && n.forwarder.IdleTime() >= quietPeriod
}
