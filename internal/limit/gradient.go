package limit

import (
	"math"
	"slices"
	"time"
)

// verdict is the result of evaluating the latency of a batch of calls.
type verdict uint8

const (
	// undecided means that the batch is incomplete or its latency is normal.
	undecided verdict = iota
	// congested means that latency has risen beyond the tolerance.
	congested
)

// gradientBatch is the number of successful calls whose median is one short-term
// sample. Service times vary even on healthy targets: with a lognormal sigma of
// 0.6, the median of 16 calls is within a factor of 1.5 of the true median in 19
// of 20 batches, whereas the minimum of a batch carries almost no information.
const gradientBatch = 16

// fallWeight is the weight of a batch that is faster than the baseline, and the
// maximum weight of a slower one.
const fallWeight = 0.1

// responseShare is the fraction of the expected fall of latency that must be
// observed for a cut to count as effective. Latency falls in proportion to the
// limit if the target queues calls, and not at all if it waits for a dependency.
const responseShare = 0.5

// gradient compares the median latency of batches with a slow moving average of
// such medians and evaluates cuts by their effect. The Limiter's mutex guards it.
type gradient struct {
	tolerance      float64
	window         time.Duration
	baselineMemory time.Duration
	// maxResponse is the largest ratio of latency after a cut to latency before it
	// for which the cut counts as effective.
	maxResponse float64

	batchStart time.Time
	batchCount int
	batch      [gradientBatch]time.Duration
	// median is the median of the last complete batch.
	median time.Duration

	// baseline is the logarithm of the normal latency in seconds, computed from
	// batches up to learnedAt.
	baseline  float64
	learnedAt time.Time

	experimenting   bool
	cutAt           time.Time
	medianBeforeCut time.Duration
}

func newGradient(config Config) gradient {
	return gradient{
		tolerance:      config.Tolerance,
		window:         config.Window,
		baselineMemory: config.BaselineMemory,
		maxResponse:    1 - responseShare*(1-config.GradientCut),
	}
}

// observe records a successful call that ended now. Calls that began before the last cut are
// ignored during an experiment.
func (g *gradient) observe(now time.Time, latency time.Duration, inUse bool) verdict {
	if g.experimenting && now.Add(-latency).Before(g.cutAt) {
		return undecided
	}
	if g.batchCount == 0 {
		g.batchStart = now
	}
	// On a busy target a batch lasts until the end of the window and keeps the
	// most recent calls.
	g.batch[g.batchCount%gradientBatch] = latency
	g.batchCount++
	if g.batchCount < gradientBatch || now.Sub(g.batchStart) < g.window {
		return undecided
	}
	g.batchCount = 0
	g.median = medianOf(g.batch)
	return g.judge(now, inUse)
}

// medianOf returns the upper median of a batch.
func medianOf(batch [gradientBatch]time.Duration) time.Duration {
	slices.Sort(batch[:])
	return batch[gradientBatch/2]
}

// judge evaluates the last complete batch.
func (g *gradient) judge(now time.Time, inUse bool) verdict {
	if g.experimenting {
		g.experimenting = false
		if float64(g.median) > g.maxResponse*float64(g.medianBeforeCut) {
			g.acceptBaseline(now)
			return undecided
		}
	}
	g.updateBaseline(now)
	if inUse && logSeconds(g.median) > g.baseline+math.Log(g.tolerance) {
		return congested
	}
	return undecided
}

// beginExperiment records a cut, which is evaluated by calls that begin after it.
func (g *gradient) beginExperiment(now time.Time) {
	g.experimenting = true
	g.cutAt = now
	g.medianBeforeCut = g.median
	g.batchCount = 0
}

// acceptBaseline sets the baseline to the median of the last batch.
func (g *gradient) acceptBaseline(now time.Time) {
	g.baseline = logSeconds(g.median)
	g.learnedAt = now
}

// updateBaseline moves the baseline towards the last batch: quickly down, but up only
// with the time constant baselineMemory, so that congestion does not quickly count as
// normal.
func (g *gradient) updateBaseline(now time.Time) {
	if g.learnedAt.IsZero() {
		g.acceptBaseline(now)
		return
	}
	difference := logSeconds(g.median) - g.baseline
	weight := fallWeight
	if difference > 0 {
		weight = min(now.Sub(g.learnedAt).Seconds()/g.baselineMemory.Seconds(), fallWeight)
	}
	g.baseline += weight * difference
	g.learnedAt = now
}

// logSeconds returns the logarithm of a latency in seconds, of at least one microsecond.
func logSeconds(latency time.Duration) float64 {
	return math.Log(max(latency, time.Microsecond).Seconds())
}
