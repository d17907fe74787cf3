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

// fixedLimit is a Limiter whose limit only the test changes.
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

// harness starts calls and records the order in which Acquire returns.
type harness struct {
	t         *testing.T
	limiter   *fixedLimit
	scheduler *scheduler.Scheduler
	mu        sync.Mutex
	returned  []string
}

func newHarness(t *testing.T, limit int, config scheduler.Config) *harness {
	limiter := &fixedLimit{limit: limit}
	return &harness{t: t, limiter: limiter, scheduler: scheduler.New(config, limiter, time.Now)}
}

// start starts a call and returns once it has a permit, is refused or is queued.
func (h *harness) start(name string, request scheduler.Request) *call {
	ctx, cancel := context.WithCancel(h.t.Context())
	h.t.Cleanup(cancel)
	c := &call{name: name, cancel: cancel}
	go func() {
		permit, err := h.scheduler.Acquire(ctx, request)
		h.mu.Lock()
		defer h.mu.Unlock()
		c.permit, c.err = permit, err
		h.returned = append(h.returned, name)
	}()
	synctest.Wait()
	return c
}

func (h *harness) release(c *call, latency time.Duration) {
	c.permit.Release(limit.Sample{Latency: latency})
	synctest.Wait()
}

// drain releases permits until none is left and returns the order in which they
// were granted.
func (h *harness) drain(calls ...*call) []string {
	h.returned = nil
	for {
		i := slices.IndexFunc(calls, func(c *call) bool { return c.permit != nil })
		if i < 0 {
			return h.returned
		}
		h.release(calls[i], time.Millisecond)
		calls = slices.Delete(calls, i, i+1)
	}
}

func (h *harness) assertRefused(c *call, reason scheduler.Reason) {
	h.t.Helper()
	var refusal *scheduler.Refusal
	assert.Assert(h.t, errors.As(c.err, &refusal), "%s: error %v", c.name, c.err)
	assert.Equal(h.t, refusal.Reason, reason, c.name)
}

func atLevel(l criticality.Level) scheduler.Request {
	return scheduler.Request{Rank: criticality.Rank{Level: l}}
}

func fromCaller(caller uint64) scheduler.Request {
	return scheduler.Request{Rank: criticality.Rank{Level: criticality.Critical}, Caller: caller}
}

func TestStrictPriorityThenArrival(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{})
		busy := h.start("busy", atLevel(criticality.Critical))
		calls := []*call{
			busy,
			h.start("sheddable", atLevel(criticality.Sheddable)),
			h.start("critical 1", atLevel(criticality.Critical)),
			h.start("plus", atLevel(criticality.CriticalPlus)),
			h.start("critical 2", atLevel(criticality.Critical)),
		}
		assert.DeepEqual(t, h.drain(calls...), []string{"plus", "critical 1", "critical 2", "sheddable"})
	})
}

func TestRefusesCallsThatWillMissTheirDeadline(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{MaxWait: time.Minute})
		for range 16 {
			h.release(h.start("warm", fromCaller(1)), 80*time.Millisecond)
		}
		assert.Equal(t, h.scheduler.Stats().ExpectedService, 80*time.Millisecond)
		request := fromCaller(1)
		request.Deadline = time.Now().Add(79 * time.Millisecond)
		h.assertRefused(h.start("too late on arrival", request), scheduler.Deadline)

		busy := h.start("busy", fromCaller(1))
		request.Deadline = time.Now().Add(100 * time.Millisecond)
		waiting := h.start("too late while waiting", request)
		time.Sleep(19 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, h.scheduler.Stats().Queued, 1)
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		h.assertRefused(waiting, scheduler.Deadline)
		assert.Equal(t, h.scheduler.Stats().Queued, 0)
		h.release(busy, time.Millisecond)

		request.Deadline = time.Time{}
		for range 64 {
			h.start("short timeout", request).permit.Release(limit.Sample{Latency: time.Millisecond, Outcome: limit.Timeout})
		}
		assert.Equal(t, h.scheduler.Stats().ExpectedService, 80*time.Millisecond, "timeouts must not lower the estimate")

		time.Sleep(3 * time.Second)
		request.Deadline = time.Now().Add(10 * time.Millisecond)
		h.release(h.start("admitted in spite of a stale estimate", request), time.Millisecond)
	})
}

func TestRefusesLateWaitersAtDispatch(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{MaxWait: time.Minute})
		busy := h.start("busy", fromCaller(1))
		request := fromCaller(1)
		request.Deadline = time.Now().Add(200 * time.Millisecond)
		late := h.start("late", request)
		inTime := h.start("good", fromCaller(1))
		time.Sleep(100 * time.Millisecond)
		h.release(busy, 150*time.Millisecond)
		h.assertRefused(late, scheduler.Deadline)
		h.release(inTime, time.Millisecond)
	})
}

func TestMaxWaitCancellationAndClose(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{MaxWait: 50 * time.Millisecond})
		busy := h.start("busy", fromCaller(1))
		expiring := h.start("patient", fromCaller(1))
		canceled := h.start("gone", fromCaller(2))
		canceled.cancel()
		synctest.Wait()
		assert.ErrorIs(t, canceled.err, context.Canceled)
		assert.Equal(t, h.scheduler.Stats().Queued, 1)
		time.Sleep(51 * time.Millisecond)
		synctest.Wait()
		h.assertRefused(expiring, scheduler.Overloaded)

		waiting := h.start("waiting", fromCaller(1))
		h.scheduler.Close()
		synctest.Wait()
		h.assertRefused(waiting, scheduler.Closed)
		h.assertRefused(h.start("after", fromCaller(1)), scheduler.Closed)
		h.release(busy, time.Millisecond)
		assert.Equal(t, h.scheduler.Stats().InFlight, 0)
	})
}

func TestContextDeadlineGivesDeadlineRefusal(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{})
		busy := h.start("busy", fromCaller(1))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err := h.scheduler.Acquire(ctx, fromCaller(1))
		h.assertRefused(&call{name: "in queue", err: err}, scheduler.Deadline)
		_, err = h.scheduler.Acquire(ctx, fromCaller(1))
		h.assertRefused(&call{name: "before", err: err}, scheduler.Deadline)
		h.release(busy, time.Millisecond)
	})
}

// TestDeadlineExceededCauseGivesDeadlineRefusal checks a context whose deadline is
// enforced by an external clock and which is therefore canceled with
// context.DeadlineExceeded as its cause. A call that had already expired was treated
// as canceled by its caller and got no RetryAfter.
func TestDeadlineExceededCauseGivesDeadlineRefusal(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{})
		ctx, expire := context.WithCancelCause(t.Context())
		expire(context.DeadlineExceeded)
		_, err := h.scheduler.Acquire(ctx, fromCaller(1))
		h.assertRefused(&call{name: "before", err: err}, scheduler.Deadline)
	})
}

func TestReleaseCountsOnceAndUpdatesLimiter(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 2, scheduler.Config{})
		first, second := h.start("first", fromCaller(1)), h.start("second", fromCaller(1))
		time.Sleep(30 * time.Millisecond)
		second.permit.Release(limit.Sample{Outcome: limit.Overload})
		second.permit.Release(limit.Sample{})
		second.permit.Cancel()
		assert.Equal(t, h.scheduler.Stats().InFlight, 1)
		assert.DeepEqual(t, h.limiter.samples, []limit.Sample{
			{Latency: 30 * time.Millisecond, InFlight: 2, Outcome: limit.Overload},
		})
		first.permit.Cancel()
		assert.Equal(t, h.scheduler.Stats().InFlight, 0)
		assert.Equal(t, len(h.limiter.samples), 1)
	})
}

func TestWakeAfterLimitIncrease(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{})
		busy, waiting := h.start("busy", fromCaller(1)), h.start("waiting", fromCaller(1))
		h.limiter.limit = 2
		h.scheduler.Wake()
		synctest.Wait()
		assert.Equal(t, h.scheduler.Stats().InFlight, 2)
		h.drain(busy, waiting)
	})
}

func withRank(l criticality.Level, cohort uint8) scheduler.Request {
	return scheduler.Request{Rank: criticality.Rank{Level: l, Cohort: cohort}}
}

// TestByRankGroupsCallsByRequest checks that with ByRank the calls of the more
// important request are served first whatever their arrival order, also while the
// queue is overloaded, when it would otherwise serve the newest call first.
func TestByRankGroupsCallsByRequest(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{ByRank: true, MaxWait: time.Minute})
		calls := []*call{
			h.start("busy", withRank(criticality.Critical, 0)),
			h.start("b 1", withRank(criticality.Critical, 9)),
			h.start("a 1", withRank(criticality.Critical, 3)),
			h.start("b 2", withRank(criticality.Critical, 9)),
			h.start("a 2", withRank(criticality.Critical, 3)),
			h.start("plus", withRank(criticality.CriticalPlus, 99)),
		}
		time.Sleep(time.Second)
		assert.DeepEqual(t, h.drain(calls...), []string{"plus", "a 1", "a 2", "b 1", "b 2"})
	})
}

// TestByRankServesMostPriorCallsFirst queues calls of requests that have made zero,
// one and three calls before. Within a level the number of prior calls determines the
// order; calls of requests without any are ordered by rank, whatever their position
// in a call tree.
func TestByRankServesMostPriorCallsFirst(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{ByRank: true, MaxWait: time.Minute})
		withPriorCalls := func(l criticality.Level, cohort uint8, calls int) scheduler.Request {
			request := withRank(l, cohort)
			request.PriorCalls = calls
			return request
		}
		calls := []*call{
			h.start("busy", withRank(criticality.Critical, 0)),
			h.start("first of a call tree", withPriorCalls(criticality.SheddablePlus, 50, 0)),
			h.start("alone", withPriorCalls(criticality.SheddablePlus, 9, 0)),
			h.start("second", withPriorCalls(criticality.SheddablePlus, 100, 1)),
			h.start("fourth", withPriorCalls(criticality.SheddablePlus, 120, 3)),
			h.start("more important", withPriorCalls(criticality.CriticalPlus, 127, 0)),
		}
		assert.DeepEqual(t, h.drain(calls...), []string{"more important", "fourth", "second", "alone", "first of a call tree"})
	})
}

func TestRequestMaxWait(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		h := newHarness(t, 1, scheduler.Config{MaxWait: time.Minute})
		h.start("busy", atLevel(criticality.Critical))
		request := atLevel(criticality.Critical)
		request.MaxWait = 50 * time.Millisecond
		waiting := h.start("impatient", request)
		time.Sleep(51 * time.Millisecond)
		synctest.Wait()
		h.assertRefused(waiting, scheduler.Overloaded)
	})
}

// waitForSlowTarget returns when the last one of 30 calls is complete that wait for a target which
// becomes slower by the factor, and how many are given back. These complete after the alternative.
func waitForSlowTarget(t *testing.T, factor int, alternative time.Duration) (last time.Duration, moved int) {
	const slots, waiting, usual = 4, 30, 40 * time.Millisecond
	start := time.Now()
	h := newHarness(t, slots, scheduler.Config{ByRank: true, Factor: func(now time.Time) float64 {
		return 1 + float64(factor-1)*min(float64(now.Sub(start)), 1)
	}})
	for i := range slots {
		running := h.start("running", scheduler.Request{})
		time.AfterFunc(usual*time.Duration(i+1)/slots, func() { running.permit.Release(limit.Sample{}) })
	}
	refused := make(chan bool)
	for i := range waiting {
		go func() {
			permit, err := h.scheduler.Acquire(t.Context(), scheduler.Request{Rank: criticality.RankOf(uint16(i)), MaxWait: time.Minute, Usual: usual, Alternative: alternative})
			if err != nil {
				assert.Check(t, err.(*scheduler.Refusal).Reason == scheduler.EarlierElsewhere)
				assert.Check(t, i >= slots, "the first calls get the slots that become free")
				time.Sleep(alternative)
			} else {
				time.Sleep(usual * time.Duration(factor))
				permit.Release(limit.Sample{})
			}
			refused <- err != nil
		}()
	}
	for range waiting {
		if <-refused {
			moved++
		}
	}
	return time.Since(start), moved
}

// TestQueueOfSlowTargetIsGivenBack guards against calls that wait for a target which has become five
// times slower while another home would run them at once, and against moves without need.
func TestQueueOfSlowTargetIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, none := waitForSlowTarget(t, 5, 0)
		now, moved := waitForSlowTarget(t, 5, 60*time.Millisecond)
		_, equallyLong := waitForSlowTarget(t, 1, 340*time.Millisecond)
		t.Logf("last call after %s, %s without moves; %d given back", now, before, moved)
		assert.Check(t, now < before/2)
		assert.Equal(t, none+equallyLong, 0)
	})
}
