package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/scheduler"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// TestHighestLevelWaitsLonger checks the longer wait of a call of the highest level,
// which is next in line at its target: refusing it after Config.MaxWait would shed it
// while less important calls run at other targets. It waits for a third of its
// remaining time and leaves the rest for other targets.
func TestHighestLevelWaitsLonger(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{MaxWait: 50 * time.Millisecond})
		busy := h.start("busy", scheduler.Request{})
		startWithin := func(level criticality.Level, remaining time.Duration) *call {
			return h.start(level.String(), scheduler.Request{Rank: criticality.Rank{Level: level}, Deadline: time.Now().Add(remaining)})
		}
		critical := startWithin(criticality.Critical, 3*time.Second)
		short := startWithin(criticality.CriticalPlus, 90*time.Millisecond)
		long := startWithin(criticality.CriticalPlus, 3*time.Second)
		time.Sleep(51 * time.Millisecond)
		synctest.Wait()
		h.assertRefused(critical, scheduler.Overloaded)
		h.assertRefused(short, scheduler.Overloaded)
		time.Sleep(948 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, h.scheduler.Stats().Queued, 1, "refused before a third of its remaining time")
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		h.assertRefused(long, scheduler.Overloaded)
		h.release(busy, time.Millisecond)
	})
}
