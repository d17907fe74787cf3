package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/scheduler"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

func TestFirstInFirstOutIgnoresCriticality(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{MaxQueue: 2, FirstInFirstOut: true})
		calls := []*call{
			h.start("busy", atLevel(criticality.Critical)),
			h.start("sheddable", atLevel(criticality.Sheddable)),
			h.start("critical", atLevel(criticality.Critical)),
		}
		h.assertRefused(h.start("plus", atLevel(criticality.CriticalPlus)), scheduler.QueueFull)
		time.Sleep(scheduler.DefaultTarget + scheduler.DefaultInterval)
		assert.DeepEqual(t, h.drain(calls...), []string{"sheddable", "critical"})
	})
}

func TestOverloadServesCallersRoundRobinNewestFirst(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{})
		calls := []*call{h.start("busy", fromCaller(9))}
		for _, name := range []string{"a1", "a2", "a3", "a4"} {
			calls = append(calls, h.start(name, fromCaller(1)))
		}
		calls = append(calls, h.start("b1", fromCaller(2)), h.start("b2", fromCaller(2)))
		time.Sleep(scheduler.DefaultTarget + scheduler.DefaultInterval)
		assert.Assert(t, h.scheduler.Stats().Overloaded)
		assert.DeepEqual(t, h.drain(calls...), []string{"a4", "b2", "a3", "b1", "a2", "a1"})
		assert.Assert(t, !h.scheduler.Stats().Overloaded)
	})
}

func TestOverloadRequiresStandingQueue(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{})
		busy := h.start("busy", fromCaller(1))
		first := h.start("first", fromCaller(1))
		time.Sleep(110 * time.Millisecond)
		second := h.start("second", fromCaller(1))
		h.release(busy, time.Millisecond)
		stats := h.scheduler.Stats()
		assert.Assert(t, !stats.Overloaded, "the delay dropped below the target in between")
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, h.scheduler.Stats().QueueDelay, 50*time.Millisecond)
		assert.Assert(t, !h.scheduler.Stats().Overloaded)
		h.release(first, time.Millisecond)
		h.release(second, time.Millisecond)
	})
}

func TestFullQueueEvictsLeastImportant(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{MaxQueue: 2})
		busy := h.start("busy", atLevel(criticality.Critical))
		sheddable := h.start("sheddable", atLevel(criticality.Sheddable))
		plus := h.start("sheddable-plus", atLevel(criticality.SheddablePlus))
		second := h.start("second sheddable", atLevel(criticality.Sheddable))
		h.assertRefused(second, scheduler.QueueFull)
		critical := h.start("critical", atLevel(criticality.Critical))
		h.assertRefused(sheddable, scheduler.Evicted)
		most := h.start("critical-plus", atLevel(criticality.CriticalPlus))
		h.assertRefused(plus, scheduler.Evicted)
		assert.DeepEqual(t, h.drain(busy, critical, most), []string{"critical-plus", "critical"})
	})
}

func TestFullQueueEvictsFromBusiestCaller(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{MaxQueue: 4})
		busy := h.start("busy", fromCaller(9))
		quiet := h.start("quiet", fromCaller(2))
		var aggressive []*call
		for range 3 {
			aggressive = append(aggressive, h.start("hard", fromCaller(1)))
		}
		h.assertRefused(h.start("hard again", fromCaller(1)), scheduler.QueueFull)
		other := h.start("other", fromCaller(3))
		h.assertRefused(aggressive[2], scheduler.Evicted)
		assert.Assert(t, quiet.err == nil && aggressive[0].err == nil)

		time.Sleep(scheduler.DefaultTarget + scheduler.DefaultInterval)
		newest := h.start("hard newest", fromCaller(1))
		h.assertRefused(aggressive[0], scheduler.Evicted)
		assert.Equal(t, h.scheduler.Stats().Queued, 4)
		h.drain(busy, quiet, aggressive[1], other, newest)
		assert.Assert(t, newest.err == nil)
	})
}

func TestOverloadPrefersArrivalAmongEqualCallers(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{MaxQueue: 1})
		busy, old := h.start("busy", fromCaller(9)), h.start("old", fromCaller(1))
		h.assertRefused(h.start("early", fromCaller(2)), scheduler.QueueFull)
		time.Sleep(scheduler.DefaultTarget + scheduler.DefaultInterval)
		arrival := h.start("fresh", fromCaller(2))
		h.assertRefused(old, scheduler.Evicted)
		assert.DeepEqual(t, h.drain(busy, arrival), []string{"fresh"})
	})
}
