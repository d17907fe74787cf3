package home

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/scheduler"
	"github.com/lugspur/lugspur/internal/shed"
)

// TestShedCallsAreNotQueued checks that, while a busy target with a queued call
// sheds sheddable calls, a sheddable call is refused immediately instead of
// waiting in the queue, and a more critical call is queued.
func TestShedCallsAreNotQueued(t *testing.T) {
	target, count, release := newBlockingTarget(t, 1)
	releaseOnce := sync.OnceFunc(func() { close(release) })
	defer releaseOnce()
	m := newManager(Settings{Queue: scheduler.Config{MaxWait: time.Minute}})
	running := startCall(m, target, newCall())
	eventually(t, "call at the target", func() bool { return count.Load() == 1 })
	queued := startCall(m, target, newCall())
	eventually(t, "call in the queue", func() bool { return m.LoadOf("a-1").Queued == 1 })

	sheddable := newCall()
	sheddable.Context.Rank = criticality.Rank{Level: criticality.Sheddable}
	sheddable.Context.Deadline = time.Now().Add(300 * time.Millisecond)
	shedding := m.stateOf(target, true).shedding
	state := shed.State{InFlight: 1, Limit: 1, Queued: 9}
	shedding.Tick(time.Unix(1, 0), state)
	shedding.Observe(sheddable.Context.Rank)
	state.Overloaded, state.Served = true, 5
	shedding.Tick(time.Unix(2, 0), state)

	failure := (<-startCall(m, target, sheddable)).failure
	assertProblem(t, failure, problem.Overloaded, problem.ExecutedNo)
	assert.Equal(t, failure.Detail, "calls of this rank are being shed")
	critical := startCall(m, target, newCall())
	eventually(t, "critical call in the queue", func() bool { return m.LoadOf("a-1").Queued == 2 })
	releaseOnce()
	for _, results := range []<-chan result{running, queued, critical} {
		assert.Assert(t, (<-results).failure == nil)
	}
}
