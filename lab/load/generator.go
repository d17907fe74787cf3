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
	plan     *Plan
	client   *client
	results  *collector
	start    time.Time
	inFlight atomic.Int64
	running  sync.WaitGroup
}

// Run makes the calls of a plan and waits for the last answer. When the
// context ends, open calls are cancelled and the result so far is returned;
// it is then marked invalid.
func Run(ctx context.Context, plan Plan) (*Result, error) {
	plan.setDefaults()
	if err := plan.validate(); err != nil {
		return nil, oops.In("load").With("step", "validate").Wrapf(err, "load plan")
	}
	g := &generator{plan: &plan, client: newClient(&plan), start: time.Now()}
	g.results = newCollector(&plan, g.start)
	defer g.client.close()
	g.dispatch(ctx)
	g.running.Wait()
	if err := g.results.flush(); err != nil {
		return nil, oops.In("load").With("step", "history").Wrapf(err, "write history")
	}
	return g.results.result(time.Since(g.start)), nil
}

func (g *generator) dispatch(ctx context.Context) {
	arrivals := newSchedule(g.plan)
	for sent := 0; ; sent++ {
		next, ok := arrivals.next()
		if !ok {
			return
		}
		if sent == g.plan.MaxCalls {
			g.results.invalidate("the plan has more calls than the run's bound")
			return
		}
		intended := g.start.Add(next.offset)
		pause.For(ctx, time.Until(intended))
		if ctx.Err() != nil {
			g.results.invalidate("the run was cancelled")
			return
		}
		g.launch(ctx, next, intended)
	}
}

func (g *generator) launch(ctx context.Context, next arrival, intended time.Time) {
	if g.inFlight.Load() >= int64(g.plan.MaxInFlight) {
		g.results.notSent(next, intended)
		return
	}
	g.inFlight.Add(1)
	g.running.Go(func() {
		defer g.inFlight.Add(-1)
		g.results.late(time.Since(intended))
		g.results.add(g.client.do(ctx, next, intended))
	})
}
