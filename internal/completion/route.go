package completion

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/shed"
)

const (
	// maxNoRoomShare is the share of runs that may fail for lack of capacity.
	maxNoRoomShare = 0.05
	// minNoRoom is the number of recent failures beyond that share from which on requests are
	// refused. No single run reaches it.
	minNoRoom = 1.0
	// resultTimeConstant is the time constant of the moving averages of results.
	resultTimeConstant = 250 * time.Millisecond
	// rateTimeConstant is that of the rates of arrivals and of completed runs, which determine
	// the threshold. Many homes complete only a few runs in 250 ms.
	rateTimeConstant = 600 * time.Millisecond
	// capacityShare is the admitted rate, as a share of the rate of completed runs, after too
	// many failures. The rest serves calls that already wait.
	capacityShare = 0.85
	// minArrivalShare is the least admitted rate after too many failures, as a share of what
	// arrives. At the start of a load, the first runs fail before any could have completed.
	minArrivalShare = 0.33
	// settleTime is the time in which a threshold reaches most nodes where requests enter.
	settleTime = 500 * time.Millisecond
	// growth is the coefficient of the growth of the admitted rate: the rate grows by this
	// share times the square of the number of ticks since it was lowered. It thus stays close
	// to the capacity for 2 s, in which failures of the admitted runs become known.
	growth = 1e-5
	// spareGrowth is the factor by which the admitted rate grows with each tick while no called
	// service is short.
	spareGrowth = 1.25
	// minAdmittedShare is the least share of all arrivals from which the admitted rate grows.
	minAdmittedShare = 0.02
	// minThreshold admits the most important ranks in any case.
	minThreshold = 8
)

// route is the state of one route. The goroutine that calls Tick owns all but the atomic fields.
type route struct {
	// arrivals by rank and results count since the last tick.
	arrivals  [criticality.RankCount]atomic.Uint32
	results   [len(resultNames)]atomic.Uint32
	threshold atomic.Uint32
	// settledAt is the time, in nanoseconds since created, from which on requests are admitted
	// according to the last lowered threshold; zero if none was.
	settledAt atomic.Int64
	created   time.Time

	tickedAt, usedAt time.Time
	// rates are the arrivals of each rank per second. Those of refused ranks were measured
	// before they were refused.
	rates [criticality.RankCount]float64
	// ended and noRoom are the runs per second that ended, and that failed for lack of
	// capacity, since the threshold was lowered. capacity are those that completed.
	ended, noRoom, capacity float64
	// admitted is the number of arrivals per second to admit while ranks are refused.
	admitted float64
	// calmTicks counts the ticks since the admitted rate was lowered.
	calmTicks int
	// logged is the threshold of the last notable state, which was at loggedAt.
	logged   uint16
	loggedAt time.Time
}

func newRoute(now time.Time) *route {
	r := &route{created: now, tickedAt: now, usedAt: now, logged: shed.None}
	r.threshold.Store(uint32(shed.None))
	return r
}

// record counts a finished run. A failure for lack of capacity is ignored if the run began before
// the last lowered threshold took effect, which already allows for it.
func (r *route) record(result Result, began time.Time) {
	settledAt := r.settledAt.Load()
	if result == NoRoom && settledAt > 0 && int64(began.Sub(r.created)) < settledAt {
		return
	}
	r.results[result].Add(1)
}

func (r *route) tick(now time.Time, short bool) State {
	share, threshold := 0.0, uint16(r.threshold.Load())
	if elapsed := now.Sub(r.tickedAt); elapsed > 0 {
		r.tickedAt = now
		r.countResults(now, elapsed)
		r.countArrivals(elapsed, threshold)
		share = r.noRoomShare()
		threshold = r.nextThreshold(threshold, short)
		r.threshold.Store(uint32(threshold))
	}
	return State{Threshold: threshold, NoRoomShare: share, Notable: r.isNotable(threshold, now)}
}

// isNotable reports whether the threshold is worth a log line, and assumes that it is logged.
func (r *route) isNotable(threshold uint16, now time.Time) bool {
	change := max(threshold, r.logged) - min(threshold, r.logged)
	if change < minLoggedChange || now.Sub(r.loggedAt) < minLogInterval {
		return false
	}
	r.logged, r.loggedAt = threshold, now
	return true
}

// average moves a moving average of a rate towards the count in the elapsed time.
func average(rate *float64, count uint32, elapsed, constant time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
	*rate += weight * (float64(count)/elapsed.Seconds() - *rate)
}

func (r *route) countResults(now time.Time, elapsed time.Duration) {
	whole, noRoom := r.results[Whole].Swap(0), r.results[NoRoom].Swap(0)
	ended := whole + noRoom + r.results[Other].Swap(0)
	average(&r.ended, ended, elapsed, resultTimeConstant)
	average(&r.noRoom, noRoom, elapsed, resultTimeConstant)
	average(&r.capacity, whole, elapsed, rateTimeConstant)
	if ended > 0 {
		r.usedAt = now
	}
}

// countArrivals updates the arrival rates of admitted ranks. Refused ranks do not arrive, or only
// in part, so that their rates are kept.
func (r *route) countArrivals(elapsed time.Duration, threshold uint16) {
	for key := range r.rates {
		count := r.arrivals[key].Swap(0)
		if uint16(key) < threshold {
			average(&r.rates[key], count, elapsed, rateTimeConstant)
		}
	}
}

// noRoomShare returns the share of recent runs that failed for lack of capacity.
func (r *route) noRoomShare() float64 {
	if r.noRoom == 0 {
		return 0
	}
	return r.noRoom / r.ended
}

// exceeded reports whether too many of the recent runs failed for lack of capacity. Counting the
// failures beyond the permitted share detects a shortage also at homes with few runs.
func (r *route) exceeded() bool {
	return (r.noRoom-maxNoRoomShare*r.ended)*resultTimeConstant.Seconds() > minNoRoom
}

// nextThreshold returns the threshold that follows from the results. After too many failures,
// fewer requests are admitted than complete, so that those that were admitted in excess find
// capacity as well. Until that has taken effect, the runs that began before show the capacity.
// From then on the admitted rate grows, first slowly and then faster, or quickly if no called
// service is short any more: the failures may have come from a burst that is over.
func (r *route) nextThreshold(threshold uint16, short bool) uint16 {
	switch {
	case r.exceeded():
		r.calmTicks = 0
		r.noRoom, r.ended = 0, 0
		r.settledAt.Store(int64(r.tickedAt.Sub(r.created) + settleTime))
		r.admitted = max(capacityShare*r.capacity, minArrivalShare*sum(r.rates[:threshold]))
	case threshold == shed.None:
		return shed.None
	case r.settling():
		r.admitted = max(r.admitted, capacityShare*r.capacity)
	case !short:
		r.admitted = max(r.admitted, minAdmittedShare*sum(r.rates[:])) * spareGrowth
	default:
		r.calmTicks++
		r.admitted = max(r.admitted, minAdmittedShare*sum(r.rates[:])) * (1 + growth*float64(r.calmTicks*r.calmTicks))
	}
	return r.thresholdFor(r.admitted)
}

// settling reports whether the last lowered threshold is not yet in effect at most nodes.
func (r *route) settling() bool {
	return int64(r.tickedAt.Sub(r.created)) < r.settledAt.Load()
}

func sum(rates []float64) float64 {
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	return total
}

// thresholdFor returns the highest threshold that admits no more than the rate.
func (r *route) thresholdFor(rate float64) uint16 {
	admitted := 0.0
	for key, arrivals := range r.rates {
		admitted += arrivals
		if admitted > rate {
			return max(uint16(key), minThreshold)
		}
	}
	return shed.None
}
