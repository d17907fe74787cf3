package guard

import (
	"net/http"
	"time"

	"github.com/lugspur/lugspur/internal/peering"
)

// ownThreshold returns the lowest rank key that the queue or the target's rate limit refuses,
// shed.None if they refuse none.
func (inc *incarnation) ownThreshold() uint16 {
	return min(inc.shedding.Threshold(), inc.announcements.shedding.Threshold())
}

// shortageWeight returns the weight of the target in reports on shortages: its slots, or none once it
// leaves, because the directory no longer counts it.
func (inc *incarnation) shortageWeight() int {
	if inc.draining.Load() {
		return 0
	}
	return int(inc.slots.Load())
}

// addShortages adds the reports on shortages to a reply, and the costs of the call's route if the
// caller asked for them.
func (g *Guard) addShortages(reply *peering.Reply, call *peering.Call) {
	reply.Shortages = g.config.Shortages.Append(nil)
	if call.WantCost {
		reply.Costs = g.config.Costs.Costs(call.Route)
	}
}

// recordCosts records what a complete run used. A run with a failed call is not complete, nor is one
// with an error response, because it may have ended early.
func (g *Guard) recordCosts(inc *incarnation, call *peering.Call, reply *peering.Reply, calls downstreamCalls, duration time.Duration, ended time.Time) {
	if g.config.Costs == nil || calls.failed || reply.Outcome != peering.Answered || reply.Status >= http.StatusMultipleChoices {
		return
	}
	usual := time.Duration(float64(duration) / inc.stats.pace.Factor(ended))
	g.config.Costs.RecordRun(call.Route, usual, calls.sent)
}
