package guard

import (
	"fmt"
	"net/http"
	"time"

	"github.com/lugspur/lugspur/internal/completion"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/shed"
)

// recordRun counts a run that ended. If it failed for lack of capacity, the reply says so to
// the entry node, so that a run which made the call is counted likewise.
func (g *Guard) recordRun(call *peering.Call, reply *peering.Reply, calls downstreamCalls, began time.Time) {
	if g.completion == nil || !calls.made || reply.Reason == peering.CallCanceled {
		return
	}
	result := runResult(reply, calls)
	reply.NoRoom = result == completion.NoRoom
	g.completion.Record(call.Route, result, began)
	if g.config.Observer != nil {
		g.config.Observer.RunFinished(call.Route, result)
	}
}

// runResult returns the result of a run. A response that reports an error of the caller
// completes the run, unless one of its calls failed: targets pass on refusals of their calls.
func runResult(reply *peering.Reply, calls downstreamCalls) completion.Result {
	callerError := reply.Status < http.StatusInternalServerError && !calls.failed
	switch {
	case reply.Outcome == peering.Answered && (reply.Status < http.StatusMultipleChoices || callerError):
		return completion.Whole
	case calls.lackedCapacity:
		return completion.NoRoom
	}
	return completion.Other
}

// observeRouteArrival counts an arrival at the home, admitted or not.
func (g *Guard) observeRouteArrival(route string, rank criticality.Rank) {
	if g.completion != nil {
		g.completion.Observe(route, rank)
	}
}

// routeThreshold returns the lowest rank key of the route to refuse so that started requests
// complete, shed.None if none is.
func (g *Guard) routeThreshold(route string) uint16 {
	if g.completion == nil {
		return shed.None
	}
	return g.completion.Threshold(route)
}

// updateRouteThresholds updates, counts and logs the thresholds of all routes.
func (g *Guard) updateRouteThresholds() {
	if g.completion == nil {
		return
	}
	for _, state := range g.completion.Tick(g.callsShortService) {
		if g.config.Observer != nil {
			g.config.Observer.RouteThreshold(state.Route, state.Threshold)
		}
		if state.Notable {
			g.logRouteThreshold(state)
		}
	}
}

func (g *Guard) logRouteThreshold(state completion.State) {
	g.log.Record(eventlog.Event{Kind: eventlog.AdmissionChanged, Service: g.config.Service, Route: state.Route,
		Count:  int(state.Threshold) * percent / criticality.RankCount,
		Reason: fmt.Sprintf("%.0f%% of runs lack capacity", state.NoRoomShare*percent)})
}

// callsShortService reports whether a service that requests of the route call refuses some of
// its calls, according to the thresholds that this node received with replies.
func (g *Guard) callsShortService(route string) bool {
	return g.config.Downstream(route).Threshold < shed.None
}
