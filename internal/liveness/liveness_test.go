package liveness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPausedProcessDoesNotActBeforeItHasCaughtUp(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewMonitor(func() time.Time { return now })
	advance := func(d time.Duration) { now = now.Add(d) }

	advance(PauseLimit)
	assert.Assert(t, w.MayAct(), "a late tick is no pause")
	assert.Assert(t, !w.Tick())

	heardBefore := now
	advance(PauseLimit + time.Millisecond)
	assert.Assert(t, !w.MayAct(), "the first question after a pause comes before any tick")
	assert.Assert(t, !w.Tick())
	w.MarkCaughtUp(heardBefore)
	assert.Assert(t, !w.MayAct(), "what was heard before the pause proves nothing")
	advance(time.Millisecond)
	w.MarkCaughtUp(now)
	assert.Assert(t, w.MayAct())

	advance(time.Hour)
	assert.Assert(t, w.Tick(), "the tick finds the pause as well")
	assert.Assert(t, !w.MayAct())
	for range CatchUpLimit / TickInterval {
		advance(TickInterval)
		w.Tick()
	}
	assert.Assert(t, !w.MayAct())
	advance(TickInterval)
	assert.Assert(t, w.MayAct(), "nobody answers: go on with what is known")
}
