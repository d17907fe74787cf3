package pace

import "time"

const (
	// drainShare is the share of a home's calls per second by which a queue is expected to shrink
	// after a report. The rest is taken up by calls of other nodes, which are unknown.
	drainShare = 0.3
	// crowdedShare is the share of its limit in use from which a home counts as crowded, and
	// fullCrowding the disadvantage of a full home, in durations of a call. Other nodes may take
	// the last slots at the same time, and targets are slower near full occupancy.
	crowdedShare = 0.85
	fullCrowding = 1.5
)

// Home is what an entry node knows of a home.
type Home struct {
	// Reported is the number of calls that ran or waited at the home when it last reported them, and
	// Age the age of the report. Sent is the number of calls that the node has sent since.
	Reported, Sent int
	Age            time.Duration
	// Pending is the number of calls that the node has sent and that have not ended.
	Pending int
	// Limit is the number of calls that the home runs at the same time, at least 1.
	Limit int
	// Usual is the duration of a call at the usual pace.
	Usual time.Duration
	// Factor is the factor by which calls currently take longer than usual.
	Factor float64
}

// Estimate is the expected time that a call takes at a home.
type Estimate struct {
	// Wait is the time until the call gets a slot, and Duration the time that it then takes.
	Wait, Duration time.Duration
	// Crowding is the disadvantage, as a time, of a home that is almost full. The call itself does
	// not take it.
	Crowding time.Duration
}

// Time returns the time until the call is complete.
func (e Estimate) Time() time.Duration { return e.Wait + e.Duration }

// Estimate returns the expected time that one more call takes at the home. The calls beyond the
// limit, including this one, get slots at the rate at which calls end.
func (h Home) Estimate() Estimate {
	duration := h.Factor * float64(h.Usual)
	limit := float64(h.Limit)
	calls := h.calls(duration)
	wait := duration * max(calls+1-limit, 0) / limit
	crowded := min(max(calls/limit-crowdedShare, 0)/(1-crowdedShare), 1)
	return Estimate{Wait: time.Duration(wait), Duration: time.Duration(duration), Crowding: time.Duration(crowded * fullCrowding * duration)}
}

// calls returns the expected number of calls at the home, given the duration of a call in
// nanoseconds.
func (h Home) calls(duration float64) float64 {
	calls := float64(h.Reported)
	if queued := calls - float64(h.Limit); queued > 0 && duration > 0 {
		calls -= min(drainShare*float64(h.Age)*float64(h.Limit)/duration, queued)
	}
	return max(calls+float64(h.Sent), float64(h.Pending))
}
