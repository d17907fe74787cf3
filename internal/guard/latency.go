package guard

import (
	"time"

	"github.com/lugspur/lugspur/internal/ending"
)

const (
	// latencyWeight is the weight of one call in the long-term moving average.
	latencyWeight = 1.0 / 16
	// latencyWindow is the length of one of the two windows that the estimate covers.
	latencyWindow = time.Second
	// priorCalls is the number of hypothetical calls of average latency that are
	// included in the estimate, so that a single call has little influence.
	priorCalls = 2
)

// latencyEstimator estimates the latency of calls of one route. The estimate is the
// total time spent in calls divided by the number of answered calls. This estimates
// the mean from right-censored samples: for calls without an answer, whether
// canceled or in flight, only a lower bound of the duration is known. Such calls add
// only the time by which they exceed the average. Thus the estimate rises while
// calls hang, before any of them ends. Durations are those at the usual pace of the
// target: samples are divided by the factor by which calls take longer.
type latencyEstimator struct {
	// average is the long-term moving average in seconds, zero if unknown.
	average float64
	// inFlight is the number of calls in flight, and startSum the sum of their start
	// times in seconds since the epoch of targetStats.
	inFlight int
	startSum float64
	// current and previous are consecutive windows.
	current, previous windowTotals
	windowStart       float64
	durations         ending.Durations
}

// windowTotals holds the time spent in calls and the number of answered calls.
type windowTotals struct {
	seconds  float64
	answered int
}

// rotate starts a new window when the current one is over.
func (e *latencyEstimator) rotate(now float64) {
	age := now - e.windowStart
	if age < latencyWindow.Seconds() {
		return
	}
	e.previous = e.current
	if age >= 2*latencyWindow.Seconds() {
		e.previous = windowTotals{}
	}
	e.current = windowTotals{}
	e.windowStart = now
}

// begin records the start of a call.
func (e *latencyEstimator) begin(now float64) {
	e.inFlight++
	e.startSum += now
}

// cancel removes a call that did not run, given its start time.
func (e *latencyEstimator) cancel(start float64) {
	if e.inFlight > 0 {
		e.inFlight--
		e.startSum -= start
	}
}

// end records a finished call, given the factor by which it took longer than usual. The
// latency of a call without an answer is only a lower bound, so it may raise the average but
// never lowers it.
func (e *latencyEstimator) end(now, seconds, factor float64, answered bool) {
	e.rotate(now)
	if e.inFlight > 0 {
		e.inFlight--
		e.startSum -= now - seconds
	}
	seconds /= factor
	if answered {
		e.current.answered++
	} else if e.average == 0 || seconds < e.average {
		return
	}
	e.current.seconds += seconds
	if e.average == 0 {
		e.average = seconds
	}
	e.average += (seconds - e.average) * latencyWeight
}

// estimate returns the expected latency of a call in seconds at the usual pace, zero if
// unknown. factor is the factor by which calls currently take longer than usual.
func (e *latencyEstimator) estimate(now, factor float64) float64 {
	if e.average == 0 {
		return 0
	}
	e.rotate(now)
	excess := max(float64(e.inFlight)*(now-e.average*factor)-e.startSum, 0) / factor
	total := priorCalls*e.average + e.current.seconds + e.previous.seconds + excess
	return total / float64(priorCalls+e.current.answered+e.previous.answered)
}
