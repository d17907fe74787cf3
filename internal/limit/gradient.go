package limit

import "time"

// verdict is what the latency of a finished batch of calls says.
type verdict uint8

const (
	// undecided: the batch is not complete, or its latency is normal.
	undecided verdict = iota
	// congested: latency has grown beyond the tolerance.
	congested
)

// gradientBatch is the number of successes whose minimum is one short-term value.
const gradientBatch = 8

// responseShare is the part of an expected fall of latency that must be seen
// for a cut to be judged the cure: the fall is proportional where the target
// queues, and nothing where it waits for another service.
const responseShare = 0.5

// gradient compares the short-term with the long-term minimum latency and
// judges cuts by their effect. Its owner's lock guards it.
type gradient struct {
	tolerance float64
	window    time.Duration
	memory    time.Duration
	// response is the factor by which latency must fall for a cut to count as the cure.
	response float64

	batchStart time.Time
	batchCount int
	batchMin   time.Duration

	current, previous time.Duration
	epochStart        time.Time

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
	g.learn(now, latency)
	if g.experimenting && now.Add(-latency).Before(g.cutAt) {
		return undecided
	}
	if g.batchCount == 0 {
		g.batchStart = now
		g.batchMin = latency
	}
	g.batchCount++
	g.batchMin = min(g.batchMin, latency)
	if g.batchCount < gradientBatch || now.Sub(g.batchStart) < g.window {
		return undecided
	}
	g.batchCount = 0
	return g.judge(now, inUse)
}

func (g *gradient) judge(now time.Time, inUse bool) verdict {
	if g.experimenting {
		g.experimenting = false
		if float64(g.batchMin) > g.response*float64(g.beforeCut) {
			g.acceptBaseline(now)
			return undecided
		}
	}
	if inUse && float64(g.batchMin) > g.tolerance*float64(g.baseline()) {
		return congested
	}
	return undecided
}

// beginExperiment notes a cut; calls that begin later will judge it.
func (g *gradient) beginExperiment(now time.Time) {
	g.experimenting = true
	g.cutAt = now
	g.beforeCut = g.batchMin
	g.batchCount = 0
}

// acceptBaseline takes the last batch's minimum as the normal latency.
func (g *gradient) acceptBaseline(now time.Time) {
	g.current = g.batchMin
	g.previous = g.batchMin
	g.epochStart = now
}

// learn keeps the minimum of two successive epochs, so that an old minimum is
// forgotten after one to two epochs.
func (g *gradient) learn(now time.Time, latency time.Duration) {
	if g.epochStart.IsZero() {
		g.current, g.previous = latency, latency
		g.epochStart = now
		return
	}
	if now.Sub(g.epochStart) >= g.memory {
		g.previous = g.current
		g.current = latency
		g.epochStart = now
		return
	}
	g.current = min(g.current, latency)
}

func (g *gradient) baseline() time.Duration { return min(g.current, g.previous) }
