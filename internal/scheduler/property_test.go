package scheduler_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/limit"
	"github.com/lugspur/lugspur/internal/scheduler"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// model runs random steps on a scheduler and checks its invariants after each step.
type model struct {
	r        *rapid.T
	harness  *harness
	running  []*modelCall
	waiting  []*modelCall
	maxQueue int
}

type modelCall struct {
	*call
	level criticality.Level
}

func (m *model) start() {
	l := criticality.Level(rapid.IntRange(0, criticality.LevelCount-1).Draw(m.r, "level"))
	request := atLevel(l)
	request.Caller = uint64(rapid.IntRange(0, 3).Draw(m.r, "caller"))
	if rapid.Bool().Draw(m.r, "has deadline") {
		request.Deadline = time.Now().Add(time.Duration(rapid.IntRange(1, 400).Draw(m.r, "deadline")) * time.Millisecond)
	}
	m.waiting = append(m.waiting, &modelCall{call: m.harness.start("call", request), level: l})
	m.check()
}

func (m *model) release() {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.r, "released")
	c := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.harness.release(c.call, time.Duration(rapid.IntRange(1, 100).Draw(m.r, "latency"))*time.Millisecond)
	m.check()
}

func (m *model) cancel() {
	if len(m.waiting) == 0 {
		return
	}
	c := m.waiting[rapid.IntRange(0, len(m.waiting)-1).Draw(m.r, "cancelled")]
	c.cancel()
	synctest.Wait()
	if !errors.Is(c.err, context.Canceled) {
		m.r.Fatalf("a canceled waiter ended with %v", c.err)
	}
	m.check()
}

func (m *model) advanceTime() {
	time.Sleep(time.Duration(rapid.IntRange(0, 200).Draw(m.r, "ms")) * time.Millisecond)
	synctest.Wait()
	m.check()
}

func (m *model) changeLimit() {
	m.harness.limiter.limit = rapid.IntRange(1, 4).Draw(m.r, "limit")
	m.harness.scheduler.Wake()
	synctest.Wait()
	m.check()
}

// check updates the running and waiting calls and verifies the invariants.
func (m *model) check() {
	var waiting, admitted []*modelCall
	for _, c := range m.waiting {
		switch {
		case c.permit != nil:
			admitted = append(admitted, c)
		case c.err == nil:
			waiting = append(waiting, c)
		}
	}
	for _, a := range admitted {
		for _, w := range waiting {
			if w.level < a.level {
				m.r.Fatalf("a %s call got a permit while a %s call waits", a.level, w.level)
			}
		}
	}
	m.waiting = waiting
	m.running = append(m.running, admitted...)
	stats := m.harness.scheduler.Stats()
	if stats.InFlight != len(m.running) || stats.Queued != len(m.waiting) {
		m.r.Fatalf("stats %+v with %d running and %d waiting", stats, len(m.running), len(m.waiting))
	}
	if len(admitted) > 0 && stats.InFlight > stats.Limit {
		m.r.Fatalf("admitted calls exceed the limit: %+v", stats)
	}
	if stats.Queued > 0 && stats.InFlight < stats.Limit {
		m.r.Fatalf("a call waits although the limit is not reached: %+v", stats)
	}
	if stats.Queued > m.maxQueue {
		m.r.Fatalf("queue exceeds its bound: %+v", stats)
	}
}

func TestSequentialProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		virtualtime.Run(t, func(t *testing.T) {
			maxQueue := rapid.IntRange(0, 6).Draw(r, "max queue")
			configValue := maxQueue
			if maxQueue == 0 {
				configValue = -1
			}
			h := newHarness(t, rapid.IntRange(1, 4).Draw(r, "limit"), scheduler.Config{MaxQueue: configValue})
			m := &model{r: r, harness: h, maxQueue: maxQueue}
			for range rapid.IntRange(1, 60).Draw(r, "steps") {
				steps := []func(){m.start, m.start, m.start, m.release, m.release, m.cancel, m.advanceTime, m.changeLimit}
				steps[rapid.IntRange(0, len(steps)-1).Draw(r, "step")]()
			}
			for len(m.running) > 0 {
				m.release()
			}
			if len(m.waiting) > 0 {
				r.Fatalf("%d calls are still waiting although none is running", len(m.waiting))
			}
		})
	})
}

func TestConcurrentCallsStayWithinLimitAndComplete(t *testing.T) {
	const (
		concurrency = 3
		workers     = 24
		callsEach   = 300
	)
	s := scheduler.New(scheduler.Config{MaxQueue: 8, MaxWait: 5 * time.Millisecond}, &fixedLimit{limit: concurrency}, time.Now)
	var inFlight, admitted, refused, canceled atomic.Int64
	var wg sync.WaitGroup
	for worker := range workers {
		random := rand.New(rand.NewPCG(1, uint64(worker)))
		wg.Go(func() {
			for range callsEach {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				if random.IntN(4) == 0 {
					stop := time.AfterFunc(time.Duration(random.IntN(500))*time.Microsecond, cancel)
					defer stop.Stop()
				}
				request := scheduler.Request{
					Rank:   criticality.RankOf(uint16(random.IntN(criticality.RankCount))),
					Caller: uint64(worker % 5),
				}
				permit, err := s.Acquire(ctx, request)
				var refusal *scheduler.Refusal
				switch {
				case err == nil:
					admitted.Add(1)
					if now := inFlight.Add(1); now > concurrency {
						t.Errorf("%d in flight", now)
					}
					time.Sleep(time.Duration(random.IntN(100)) * time.Microsecond)
					inFlight.Add(-1)
					permit.Release(limit.Sample{Outcome: limit.Outcome(random.IntN(4))})
				case errors.As(err, &refusal):
					refused.Add(1)
				case errors.Is(err, context.Canceled):
					canceled.Add(1)
				default:
					t.Errorf("unexpected error %v", err)
				}
				cancel()
			}
		})
	}
	wg.Wait()
	stats := s.Stats()
	assert.Equal(t, stats.InFlight, 0)
	assert.Equal(t, stats.Queued, 0)
	assert.Equal(t, admitted.Load()+refused.Load()+canceled.Load(), int64(workers*callsEach))
	assert.Assert(t, admitted.Load() > 0 && refused.Load() > 0)
}
