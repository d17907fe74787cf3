package liveness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPausedProcessDoesNotActBeforeItHasCaughtUp(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWatch(func() time.Time { return now })
	advance := func(d time.Duration) { now = now.Add(d) }

	advance(PauseLimit)
	assert.Assert(t, w.Acting(), "a late tick is no pause")
	assert.Assert(t, !w.Tick())

	heardBefore := now
	advance(PauseLimit + time.Millisecond)
	assert.Assert(t, !w.Acting(), "the first question after a pause comes before any tick")
	assert.Assert(t, !w.Tick())
	w.CaughtUp(heardBefore)
	assert.Assert(t, !w.Acting(), "what was heard before the pause proves nothing")
	advance(time.Millisecond)
	w.CaughtUp(now)
	assert.Assert(t, w.Acting())

	advance(time.Hour)
	assert.Assert(t, w.Tick(), "the tick finds the pause as well")
	assert.Assert(t, !w.Acting())
	for range CatchUpLimit / TickInterval {
		advance(TickInterval)
		w.Tick()
	}
	assert.Assert(t, !w.Acting())
	advance(TickInterval)
	assert.Assert(t, w.Acting(), "nobody answers: go on with what is known")
}
