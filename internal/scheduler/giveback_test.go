package scheduler_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/limit"
	"github.com/lugspur/lugspur/internal/scheduler"
)

const (
	slowSlots, slowWaiting = 4, 30
	usualDuration          = 40 * time.Millisecond
)

// waitForSlowTarget returns how long the calls take that wait when the target becomes slower by the
// factor, and when calls are given back. These complete elsewhere after the alternative.
func waitForSlowTarget(t *testing.T, factor int, alternative time.Duration) (times, moves []time.Duration) {
	start := time.Now()
	h := newHarness(t, slowSlots, scheduler.Config{ByRank: true, Factor: func(now time.Time) float64 {
		if now.After(start) {
			return float64(factor)
		}
		return 1
	}})
	for i := range slowSlots {
		running := h.start("running", scheduler.Request{})
		time.AfterFunc(usualDuration*time.Duration(i+1)/slowSlots, func() { running.permit.Release(limit.Sample{}) })
	}
	completed, moved := make(chan time.Duration), make(chan time.Duration, slowWaiting)
	for i := range slowWaiting {
		go func() {
			permit, err := h.scheduler.Acquire(t.Context(), scheduler.Request{Rank: criticality.RankOf(uint16(i)), MaxWait: time.Minute, Usual: usualDuration, Alternative: alternative})
			if err != nil {
				assert.Check(t, err.(*scheduler.Refusal).Reason == scheduler.EarlierElsewhere)
				assert.Check(t, i >= slowSlots, "the first calls get the slots that become free")
				moved <- time.Since(start)
				time.Sleep(alternative)
			} else {
				time.Sleep(usualDuration * time.Duration(factor))
				permit.Release(limit.Sample{})
			}
			completed <- time.Since(start)
		}()
	}
	for range slowWaiting {
		times = append(times, <-completed)
	}
	for range len(moved) {
		moves = append(moves, <-moved)
	}
	return times, moves
}

// TestQueueOfSlowTargetIsGivenBack guards against calls that wait for a target which has become five
// times slower while another home would run them at once, and against moving the whole queue.
func TestQueueOfSlowTargetIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, none := waitForSlowTarget(t, 5, 0)
		now, moves := waitForSlowTarget(t, 5, 60*time.Millisecond)
		_, equallyLong := waitForSlowTarget(t, 1, usualDuration*(1+slowWaiting/slowSlots))
		t.Logf("last call after %s, %s without moves; given back after %s", slices.Max(now), slices.Max(before), moves)
		assert.Check(t, slices.Max(now) < slices.Max(before)/2)
		assert.Equal(t, len(none)+len(equallyLong), 0)
		for i := slowWaiting / 2; i < len(moves); i++ {
			assert.Check(t, moves[i]-moves[i-slowWaiting/2] >= 100*time.Millisecond)
		}
	})
}
