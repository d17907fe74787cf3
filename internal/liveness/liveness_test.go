package liveness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPausedProcessMayNotActUntilCaughtUp(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewMonitor(func() time.Time { return now })
	advance := func(d time.Duration) { now = now.Add(d) }

	advance(PauseThreshold)
	assert.Assert(t, w.MayAct(), "a tick at the threshold is not a pause")
	assert.Assert(t, !w.Tick())

	receivedBefore := now
	advance(PauseThreshold + time.Millisecond)
	assert.Assert(t, !w.MayAct(), "the first check after a pause precedes any tick")
	assert.Assert(t, !w.Tick())
	w.MarkCaughtUp(receivedBefore)
	assert.Assert(t, !w.MayAct(), "state received before the pause does not count")
	advance(time.Millisecond)
	w.MarkCaughtUp(now)
	assert.Assert(t, w.MayAct())

	advance(time.Hour)
	assert.Assert(t, w.Tick(), "the tick detects the pause as well")
	assert.Assert(t, !w.MayAct())
	for range CatchUpTimeout / TickInterval {
		advance(TickInterval)
		w.Tick()
	}
	assert.Assert(t, !w.MayAct())
	advance(TickInterval)
	assert.Assert(t, w.MayAct(), "the catch-up timeout has passed without a response")
}
