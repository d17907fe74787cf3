package limit

import (
	"math"
	"slices"
	"time"
)

// verdict is what the latency of a finished batch of calls says.
type verdict uint8

const (
	// undecided: the batch is not complete, or its latency is normal.
	undecided verdict = iota
	// congested: latency has grown beyond the tolerance.
	congested
)

// gradientBatch is the number of successes whose median is one short-term
// value. Service times of sound targets are scattered: the median of 16 calls
// with a lognormal sigma of 0.6 is within a factor of 1.5 of the true one in
// 19 of 20 batches, where the minimum of a batch says next to nothing.
const gradientBatch = 16

// fallWeight is the weight of a batch that is faster than the baseline.
const fallWeight = 0.1

// responseShare is the part of an expected fall of latency that must be seen
// for a cut to be judged the cure: the fall is proportional where the target
// queues, and nothing where it waits for another service.
const responseShare = 0.5

// gradient compares the median latency of batches with a slowly moving average
// of such medians and judges cuts by their effect. Its owner's lock guards it.
type gradient struct {
	tolerance float64
	window    time.Duration
	memory    time.Duration
	// response is the factor by which latency must fall for a cut to count as the cure.
	response float64

	batchStart time.Time
	batchCount int
	batch      [gradientBatch]time.Duration
	// median is that of the last complete batch.
	median time.Duration

	// baseline is the logarithm of the normal latency in seconds, learned
	// from batches up to learnedAt.
	baseline  float64
	learnedAt time.Time

	experimenting bool
	cutAt         time.Time
	beforeCut     time.Duration
}

func newGradient(config Config) gradient {
	return gradient{
		tolerance: config.Tolerance,
		window:    config.Window,
		memory:    config.BaselineMemory,
		response:  1 - responseShare*(1-config.GradientCut),
	}
}

// observe takes one successful call that ended now.
func (g *gradient) observe(now time.Time, latency time.Duration, inUse bool) verdict {
	if g.experimenting && now.Add(-latency).Before(g.cutAt) {
		return undecided
	}
	if g.batchCount == 0 {
		g.batchStart = now
	}
	// A busy target's batch goes on until the end of the window; its latest
	// calls are kept.
	g.batch[g.batchCount%gradientBatch] = latency
	g.batchCount++
	if g.batchCount < gradientBatch || now.Sub(g.batchStart) < g.window {
		return undecided
	}
	g.batchCount = 0
	g.median = medianOf(g.batch)
	return g.judge(now, inUse)
}

func medianOf(batch [gradientBatch]time.Duration) time.Duration {
	slices.Sort(batch[:])
	return batch[gradientBatch/2]
}

func (g *gradient) judge(now time.Time, inUse bool) verdict {
	if g.experimenting {
		g.experimenting = false
		if float64(g.median) > g.response*float64(g.beforeCut) {
			g.acceptBaseline(now)
			return undecided
		}
	}
	g.learn(now)
	if inUse && logarithm(g.median) > g.baseline+math.Log(g.tolerance) {
		return congested
	}
	return undecided
}

// beginExperiment notes a cut; calls that begin later will judge it.
func (g *gradient) beginExperiment(now time.Time) {
	g.experimenting = true
	g.cutAt = now
	g.beforeCut = g.median
	g.batchCount = 0
}

// acceptBaseline takes the last batch as the normal latency.
func (g *gradient) acceptBaseline(now time.Time) {
	g.baseline = logarithm(g.median)
	g.learnedAt = now
}

// learn moves the baseline towards the last batch: quickly down, and up only in
// the course of the memory, so that congestion does not soon count as normal.
func (g *gradient) learn(now time.Time) {
	if g.learnedAt.IsZero() {
		g.acceptBaseline(now)
		return
	}
	difference := logarithm(g.median) - g.baseline
	weight := fallWeight
	if difference > 0 {
		weight = min(now.Sub(g.learnedAt).Seconds()/g.memory.Seconds(), fallWeight)
	}
	g.baseline += weight * difference
	g.learnedAt = now
}

// logarithm is that of a latency in seconds; a microsecond is the least.
func logarithm(latency time.Duration) float64 {
	return math.Log(max(latency, time.Microsecond).Seconds())
}
