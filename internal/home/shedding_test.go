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

// TestShedCallsDoNotWait has one call queued for a busy target that sheds
// sheddable calls. Another sheddable call must be refused immediately, while a
// more important one is queued.
func TestShedCallsDoNotWait(t *testing.T) {
	target, count, release := newBlockingTarget(t, 1)
	releaseOnce := sync.OnceFunc(func() { close(release) })
	defer releaseOnce()
	m := newManager(Settings{Queue: scheduler.Config{MaxWait: time.Minute}})
	running := start(m, target, newCall())
	eventually(t, "call at the target", func() bool { return count.Load() == 1 })
	waiting := start(m, target, newCall())
	eventually(t, "call in the queue", func() bool { return m.LoadOf("a-1").Queued == 1 })

	sheddable := newCall()
	sheddable.Context.Rank = criticality.Rank{Level: criticality.Sheddable}
	sheddable.Context.Deadline = time.Now().Add(300 * time.Millisecond)
	shedding := m.stateOf(target, true).shedding
	full := shed.State{InFlight: 1, Limit: 1, Queued: 9}
	shedding.Tick(time.Unix(1, 0), full)
	shedding.Observe(sheddable.Context.Rank)
	full.Overloaded, full.Served = true, 5
	shedding.Tick(time.Unix(2, 0), full)

	refused := (<-start(m, target, sheddable)).failure
	assertProblem(t, refused, problem.Overloaded, problem.ExecutedNo)
	assert.Equal(t, refused.Detail, "calls of this rank are being shed")
	important := start(m, target, newCall())
	eventually(t, "important call in the queue", func() bool { return m.LoadOf("a-1").Queued == 2 })
	releaseOnce()
	for _, results := range []<-chan result{running, waiting, important} {
		assert.Assert(t, (<-results).failure == nil)
	}
}
