package guard

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/scheduler"
)

// moveCounter counts calls that are given back and calls that are sent to the target.
type moveCounter struct {
	runCounter
	givenBack, sent int
}

func (c *moveCounter) CallGivenBack(string) { c.givenBack++ }

func (c *moveCounter) CallSent(SendKind) { c.sent++ }

// TestQueuedCallIsGivenBackAtCurrentPace guards against a call that stays in the queue of a target
// that has become slow, that runs after it was given back, or that counts as a failure of the home;
// and against giving back calls of nodes that name no alternative.
func TestQueuedCallIsGivenBackAtCurrentPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter := &moveCounter{}
		g := newTestGuard("")
		g.config.Observer = counter
		inc := g.current.Load()
		inc.stats.recordEnd("r", &peering.Reply{Outcome: peering.Answered, Status: 200}, 40*time.Millisecond, time.Now())
		for range 2 {
			_, err := inc.scheduler.Acquire(t.Context(), scheduler.Request{})
			assert.NilError(t, err)
		}
		for _, alternative := range []time.Duration{0, 60 * time.Millisecond} {
			call, started := newCall("a"), time.Now()
			call.Alternative, call.MaxWait = alternative, 300*time.Millisecond
			time.AfterFunc(50*time.Millisecond, func() {
				inc.announcements.pace.Observe(pace.Report{Kind: pace.WithPace, Percent: 500}, time.Now())
				inc.scheduler.Review()
			})
			reply := g.Run(t.Context(), call)
			assert.Equal(t, reply.Outcome, peering.Refused)
			if alternative == 0 {
				assert.Equal(t, reply.Reason, peering.QueueTimeout)
				time.Sleep(pace.MaxAge)
				continue
			}
			assert.Equal(t, reply.Reason, peering.EarlierElsewhere)
			assert.Equal(t, time.Since(started), 50*time.Millisecond)
			assert.Equal(t, reply.RetryAfter, time.Duration(0))
		}
		assert.Equal(t, counter.givenBack, 1)
		assert.Equal(t, counter.sent, 0)
		assert.Equal(t, g.Load("r").FailurePercent, 0)
	})
}
