package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/pause"
)

// generator starts the calls of one run.
type generator struct {
	plan      *Plan
	client    *client
	collector *collector
	start     time.Time
	inFlight  atomic.Int64
	running   sync.WaitGroup
}

// Run makes the calls of a plan and waits until the last one has ended. When the
// context is canceled, open calls are canceled and the result so far is
// returned, marked as invalid.
func Run(ctx context.Context, plan Plan) (*Result, error) {
	plan.setDefaults()
	if err := plan.validate(); err != nil {
		return nil, oops.In("load").With("step", "validate").Wrapf(err, "load plan")
	}
	g := &generator{plan: &plan, client: newClient(&plan), start: time.Now()}
	g.collector = newCollector(&plan, g.start)
	defer g.client.close()
	g.dispatch(ctx)
	g.running.Wait()
	if err := g.collector.flush(); err != nil {
		return nil, oops.In("load").With("step", "history").Wrapf(err, "write history")
	}
	return g.collector.result(time.Since(g.start)), nil
}

func (g *generator) dispatch(ctx context.Context) {
	arrivals := newSchedule(g.plan)
	for sent := 0; ; sent++ {
		next, ok := arrivals.next()
		if !ok {
			return
		}
		if sent == g.plan.MaxCalls {
			g.collector.invalidate("the plan has more calls than the run's bound")
			return
		}
		intended := g.start.Add(next.offset)
		pause.For(ctx, time.Until(intended))
		if ctx.Err() != nil {
			g.collector.invalidate("the run was cancelled")
			return
		}
		g.startCall(ctx, next, intended)
	}
}

func (g *generator) startCall(ctx context.Context, next arrival, intended time.Time) {
	if g.inFlight.Load() >= int64(g.plan.MaxInFlight) {
		g.collector.recordNotSent(next, intended)
		return
	}
	g.inFlight.Add(1)
	g.running.Go(func() {
		defer g.inFlight.Add(-1)
		g.collector.recordStartDelay(time.Since(intended))
		g.collector.add(g.client.run(ctx, next, intended))
	})
}
