package scheduler_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/limit"
	"github.com/lugspur/lugspur/internal/scheduler"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// fixedLimit is a limiter that never moves by itself.
type fixedLimit struct {
	mu      sync.Mutex
	limit   int
	samples []limit.Sample
}

func (f *fixedLimit) Limit() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limit
}

func (f *fixedLimit) Observe(sample limit.Sample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.samples = append(f.samples, sample)
}

// call is one Acquire running in its own goroutine.
type call struct {
	name   string
	cancel context.CancelFunc
	permit *scheduler.Permit
	err    error
}

// bench starts calls and records the order in which they end.
type bench struct {
	t         *testing.T
	limiter   *fixedLimit
	scheduler *scheduler.Scheduler
	mu        sync.Mutex
	ended     []string
}

func newBench(t *testing.T, limit int, config scheduler.Config) *bench {
	limiter := &fixedLimit{limit: limit}
	return &bench{t: t, limiter: limiter, scheduler: scheduler.New(config, limiter, time.Now)}
}

// start begins a call and returns once it has a permit, a refusal or a place in the queue.
func (b *bench) start(name string, request scheduler.Request) *call {
	ctx, cancel := context.WithCancel(b.t.Context())
	b.t.Cleanup(cancel)
	c := &call{name: name, cancel: cancel}
	go func() {
		permit, err := b.scheduler.Acquire(ctx, request)
		b.mu.Lock()
		defer b.mu.Unlock()
		c.permit, c.err = permit, err
		b.ended = append(b.ended, name)
	}()
	synctest.Wait()
	return c
}

func (b *bench) release(c *call, latency time.Duration) {
	c.permit.Release(limit.Sample{Latency: latency})
	synctest.Wait()
}

// drain releases permits until none is left and returns the order in which the
// calls got theirs.
func (b *bench) drain(calls ...*call) []string {
	b.ended = nil
	for {
		held := slices.IndexFunc(calls, func(c *call) bool { return c.permit != nil })
		if held < 0 {
			return b.ended
		}
		b.release(calls[held], time.Millisecond)
		calls = slices.Delete(calls, held, held+1)
	}
}

func (b *bench) assertRefused(c *call, reason scheduler.Reason) {
	b.t.Helper()
	var refusal *scheduler.Refusal
	assert.Assert(b.t, errors.As(c.err, &refusal), "%s: error %v", c.name, c.err)
	assert.Equal(b.t, refusal.Reason, reason, c.name)
}

func level(l criticality.Level) scheduler.Request {
	return scheduler.Request{Rank: criticality.Rank{Level: l}}
}

func from(caller uint64) scheduler.Request {
	return scheduler.Request{Rank: criticality.Rank{Level: criticality.Critical}, Caller: caller}
}

func TestStrictPriorityThenArrival(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		b := newBench(t, 1, scheduler.Config{})
		busy := b.start("busy", level(criticality.Critical))
		calls := []*call{
			busy,
			b.start("sheddable", level(criticality.Sheddable)),
			b.start("critical 1", level(criticality.Critical)),
			b.start("plus", level(criticality.CriticalPlus)),
			b.start("critical 2", level(criticality.Critical)),
		}
		assert.DeepEqual(t, b.drain(calls...), []string{"plus", "critical 1", "critical 2", "sheddable"})
	})
}

func TestDropsWhatCanNoLongerFinish(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		b := newBench(t, 1, scheduler.Config{MaxWait: time.Minute})
		for range 16 {
			b.release(b.start("warm", from(1)), 80*time.Millisecond)
		}
		assert.Equal(t, b.scheduler.Stats().ExpectedService, 80*time.Millisecond)
		soon := from(1)
		soon.Deadline = time.Now().Add(79 * time.Millisecond)
		b.assertRefused(b.start("too late on arrival", soon), scheduler.Deadline)

		busy := b.start("busy", from(1))
		soon.Deadline = time.Now().Add(100 * time.Millisecond)
		waiting := b.start("too late while waiting", soon)
		time.Sleep(19 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, b.scheduler.Stats().Queued, 1)
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		b.assertRefused(waiting, scheduler.Deadline)
		assert.Equal(t, b.scheduler.Stats().Queued, 0)
		b.release(busy, time.Millisecond)

		soon.Deadline = time.Time{}
		for range 64 {
			b.start("short timeout", soon).permit.Release(limit.Sample{Latency: time.Millisecond, Outcome: limit.Timeout})
		}
		assert.Equal(t, b.scheduler.Stats().ExpectedService, 80*time.Millisecond, "timeouts must not lower it")

		time.Sleep(3 * time.Second)
		soon.Deadline = time.Now().Add(10 * time.Millisecond)
		b.release(b.start("a stale estimate locks nobody out", soon), time.Millisecond)
	})
}

func TestDropsLateWaitersAtTheirTurn(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		b := newBench(t, 1, scheduler.Config{MaxWait: time.Minute})
		busy := b.start("busy", from(1))
		request := from(1)
		request.Deadline = time.Now().Add(200 * time.Millisecond)
		late := b.start("late", request)
		good := b.start("good", from(1))
		time.Sleep(100 * time.Millisecond)
		b.release(busy, 150*time.Millisecond)
		b.assertRefused(late, scheduler.Deadline)
		b.release(good, time.Millisecond)
	})
}

func TestMaxWaitCancellationAndClose(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		b := newBench(t, 1, scheduler.Config{MaxWait: 50 * time.Millisecond})
		busy := b.start("busy", from(1))
		patient := b.start("patient", from(1))
		gone := b.start("gone", from(2))
		gone.cancel()
		synctest.Wait()
		assert.ErrorIs(t, gone.err, context.Canceled)
		assert.Equal(t, b.scheduler.Stats().Queued, 1)
		time.Sleep(51 * time.Millisecond)
		synctest.Wait()
		b.assertRefused(patient, scheduler.Overloaded)

		waiting := b.start("waiting", from(1))
		b.scheduler.Close()
		synctest.Wait()
		b.assertRefused(waiting, scheduler.Closed)
		b.assertRefused(b.start("after", from(1)), scheduler.Closed)
		b.release(busy, time.Millisecond)
		assert.Equal(t, b.scheduler.Stats().InFlight, 0)
	})
}

func TestContextDeadlineIsADeadlineRefusal(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		b := newBench(t, 1, scheduler.Config{})
		busy := b.start("busy", from(1))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err := b.scheduler.Acquire(ctx, from(1))
		b.assertRefused(&call{name: "in queue", err: err}, scheduler.Deadline)
		_, err = b.scheduler.Acquire(ctx, from(1))
		b.assertRefused(&call{name: "before", err: err}, scheduler.Deadline)
		b.release(busy, time.Millisecond)
	})
}

// TestADeadlineThatIsTheCauseIsADeadlineRefusal has a context whose deadline was kept by
// another clock than its own: it is cancelled, and its cause tells why. A call whose time was
// over before it asked was taken for one whose caller left, and not told when to come back.
func TestADeadlineThatIsTheCauseIsADeadlineRefusal(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		b := newBench(t, 1, scheduler.Config{})
		ctx, expire := context.WithCancelCause(t.Context())
		expire(context.DeadlineExceeded)
		_, err := b.scheduler.Acquire(ctx, from(1))
		b.assertRefused(&call{name: "before", err: err}, scheduler.Deadline)
	})
}

func TestReleaseCountsOnceAndFeedsTheLimiter(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		b := newBench(t, 2, scheduler.Config{})
		first, second := b.start("first", from(1)), b.start("second", from(1))
		time.Sleep(30 * time.Millisecond)
		second.permit.Release(limit.Sample{Outcome: limit.Overload})
		second.permit.Release(limit.Sample{})
		second.permit.Cancel()
		assert.Equal(t, b.scheduler.Stats().InFlight, 1)
		assert.DeepEqual(t, b.limiter.samples, []limit.Sample{
			{Latency: 30 * time.Millisecond, InFlight: 2, Outcome: limit.Overload},
		})
		first.permit.Cancel()
		assert.Equal(t, b.scheduler.Stats().InFlight, 0)
		assert.Equal(t, len(b.limiter.samples), 1)
	})
}

func TestWakeAfterTheLimitRose(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		b := newBench(t, 1, scheduler.Config{})
		busy, waiting := b.start("busy", from(1)), b.start("waiting", from(1))
		b.limiter.limit = 2
		b.scheduler.Wake()
		synctest.Wait()
		assert.Equal(t, b.scheduler.Stats().InFlight, 2)
		b.drain(busy, waiting)
	})
}

func ranked(l criticality.Level, cohort uint8) scheduler.Request {
	return scheduler.Request{Rank: criticality.Rank{Level: l, Cohort: cohort}}
}

// TestByRankServesEachRequestsCallsAlike keeps the queue overloaded, in which
// it would serve the newest call first, and finds that the calls of the more
// important request go first whenever they came.
func TestByRankServesEachRequestsCallsAlike(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		b := newBench(t, 1, scheduler.Config{ByRank: true, MaxWait: time.Minute})
		calls := []*call{
			b.start("busy", ranked(criticality.Critical, 0)),
			b.start("b 1", ranked(criticality.Critical, 9)),
			b.start("a 1", ranked(criticality.Critical, 3)),
			b.start("b 2", ranked(criticality.Critical, 9)),
			b.start("a 2", ranked(criticality.Critical, 3)),
			b.start("plus", ranked(criticality.CriticalPlus, 99)),
		}
		time.Sleep(time.Second)
		assert.DeepEqual(t, b.drain(calls...), []string{"plus", "a 1", "a 2", "b 1", "b 2"})
	})
}

// TestByRankServesWhatIsAlmostDoneFirst has calls of requests wait that have made
// none, one and three calls before: inside a level the work that was done decides,
// and what has none behind it goes by its rank, wherever it was made.
func TestByRankServesWhatIsAlmostDoneFirst(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		b := newBench(t, 1, scheduler.Config{ByRank: true, MaxWait: time.Minute})
		done := func(l criticality.Level, cohort uint8, calls int) scheduler.Request {
			request := ranked(l, cohort)
			request.EarlierCalls = calls
			return request
		}
		calls := []*call{
			b.start("busy", ranked(criticality.Critical, 0)),
			b.start("first of a tree", done(criticality.SheddablePlus, 50, 0)),
			b.start("alone", done(criticality.SheddablePlus, 9, 0)),
			b.start("second", done(criticality.SheddablePlus, 100, 1)),
			b.start("fourth", done(criticality.SheddablePlus, 120, 3)),
			b.start("more important", done(criticality.CriticalPlus, 127, 0)),
		}
		assert.DeepEqual(t, b.drain(calls...), []string{"more important", "fourth", "second", "alone", "first of a tree"})
	})
}

func TestAWaitOfTheCallsOwn(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		b := newBench(t, 1, scheduler.Config{MaxWait: time.Minute})
		b.start("busy", level(criticality.Critical))
		impatient := level(criticality.Critical)
		impatient.MaxWait = 50 * time.Millisecond
		waiting := b.start("impatient", impatient)
		time.Sleep(51 * time.Millisecond)
		synctest.Wait()
		b.assertRefused(waiting, scheduler.Overloaded)
	})
}
