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

// A call of the highest level is next in line at its target: giving it up
// after MaxWait would shed it while less important calls run elsewhere. It
// waits for a third of the time that it has, and leaves the rest for others.
func TestMostImportantCallsWaitLonger(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		b := newBench(t, 1, scheduler.Config{MaxWait: 50 * time.Millisecond})
		busy := b.start("busy", scheduler.Request{})
		within := func(level criticality.Level, left time.Duration) *call {
			return b.start(level.String(), scheduler.Request{Rank: criticality.Rank{Level: level}, Deadline: time.Now().Add(left)})
		}
		critical := within(criticality.Critical, 3*time.Second)
		short := within(criticality.CriticalPlus, 90*time.Millisecond)
		long := within(criticality.CriticalPlus, 3*time.Second)
		time.Sleep(51 * time.Millisecond)
		synctest.Wait()
		b.assertRefused(critical, scheduler.Overloaded)
		b.assertRefused(short, scheduler.Overloaded)
		time.Sleep(948 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, b.scheduler.Stats().Queued, 1, "refused before a third of its time")
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		b.assertRefused(long, scheduler.Overloaded)
		b.release(busy, time.Millisecond)
	})
}
