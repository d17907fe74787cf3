package guard

import (
	"net/http"
	"time"

	"github.com/lugspur/lugspur/internal/ending"
	"github.com/lugspur/lugspur/internal/peering"
)

// AnnounceShutdown limits all later calls to the given time, by which their callers receive a reply.
func (g *Guard) AnnounceShutdown(at time.Time) { g.shutdownDeadline.Announce(at) }

// endsBeforeShutdown reports whether a call that starts now will finish before the shutdown deadline
// with a margin for slow calls.
func (g *Guard) endsBeforeShutdown(inc *incarnation, call *peering.Call, now time.Time) bool {
	if !g.shutdownDeadline.IsSet() {
		return true
	}
	usual := inc.stats.currentLatency(call.Route, now)
	duration := ending.SafeDuration(usual)
	if call.AtMostOnce {
		duration = ending.SafeDurationOnce(usual, inc.stats.tailDuration(call.Route, now))
	}
	return g.shutdownDeadline.Allows(duration, now)
}

// callLimit is the time that a call has at this home.
type callLimit struct {
	// run is the time that the target is given, and wait the time that its response is waited for.
	run, wait time.Duration
	// shortened is set if this node's shutdown shortens the run.
	shortened bool
}

func (g *Guard) limitOf(call *peering.Call, now time.Time) callLimit {
	run := call.Remaining
	if call.RunLimit > 0 {
		run = min(run, call.RunLimit)
	}
	run, shortened := g.shutdownDeadline.RunLimit(run, now)
	return callLimit{run: run, wait: g.shutdownDeadline.Limit(now.Add(call.Remaining)).Sub(now), shortened: shortened}
}

// correct returns the reply for a call. A call of a peer that may run again at another home, and that
// ended only because this node is about to shut down, has not reached the request's deadline.
func (l callLimit) correct(reply *peering.Reply, call *peering.Call) *peering.Reply {
	isPeers := call.From != ""
	if !l.shortened || !isPeers || call.AtMostOnce {
		return reply
	}
	if reply.Reason == peering.DeadlinePassed || reply.Status == http.StatusGatewayTimeout {
		return &peering.Reply{Outcome: peering.Failed, Reason: peering.Stopping}
	}
	return reply
}
