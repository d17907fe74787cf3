package reachability

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// failingStore fails its calls on demand and counts them.
type failingStore struct {
	store.Store
	failure atomic.Pointer[error]
	latency time.Duration
	calls   atomic.Int64
}

func (s *failingStore) fail(err error) { s.failure.Store(&err) }

func (s *failingStore) Get(context.Context, string) (store.Entry, error) {
	s.calls.Add(1)
	time.Sleep(s.latency)
	if failure := s.failure.Load(); failure != nil && *failure != nil {
		return store.Entry{}, *failure
	}
	return store.Entry{Key: "a"}, nil
}

func (s *failingStore) Watch(ctx context.Context, _ string, _ store.Revision, handler func([]store.Entry, store.Revision)) error {
	s.calls.Add(1)
	if failure := s.failure.Load(); failure != nil && *failure != nil {
		return *failure
	}
	handler(nil, 1)
	<-ctx.Done()
	return ctx.Err()
}

type noted struct {
	lost     int
	regained []time.Duration
}

func (n *noted) StoreLost(error)                   { n.lost++ }
func (n *noted) StoreRegained(after time.Duration) { n.regained = append(n.regained, after) }

const longestPause = 2 * time.Second

func newTestGate(observer Observer) *CircuitBreaker {
	return NewCircuitBreaker(func() time.Duration { return longestPause }, observer, time.Now)
}

// keepCalling has callers use the store until the context ends.
func keepCalling(ctx context.Context, used store.Store, callers int) {
	for range callers {
		go func() {
			for ctx.Err() == nil {
				_, _ = used.Get(ctx, "a")
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
}

// TestAnOutageIsProbedByOneCallAtATime has many users of a store that goes down:
// together they make few calls, and all go on soon after it is back.
func TestAnOutageIsProbedByOneCallAtATime(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(5 * time.Second)
		defer cancel()
		held := &failingStore{latency: 4 * time.Millisecond}
		observer := &noted{}
		used := newTestGate(observer).Wrap(held)
		const callers = 20
		keepCalling(ctx, used, callers)
		time.Sleep(time.Second)
		held.fail(store.ErrUnavailable)
		before := held.calls.Load()
		time.Sleep(10 * time.Second)
		inOutage := held.calls.Load() - before
		assert.Assert(t, inOutage <= callers+16, "%d calls in an outage of 10 s", inOutage)
		assert.Assert(t, inOutage >= callers/2+4, "the store is still probed: %d calls", inOutage)
		held.fail(nil)
		before = held.calls.Load()
		time.Sleep(3*longestPause/2 + 100*time.Millisecond)
		assert.Assert(t, held.calls.Load()-before >= callers, "%d calls", held.calls.Load()-before)
		assert.Equal(t, observer.lost, 1)
		assert.Equal(t, len(observer.regained), 1)
		assert.Assert(t, observer.regained[0] >= 10*time.Second-callPeriodBound)
	})
}

const callPeriodBound = 100 * time.Millisecond

// TestAnUrgentCallProbesSooner has a call that must not wait long find out that
// the store is back.
func TestAnUrgentCallProbesSooner(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		held := &failingStore{}
		gate := newTestGate(nil)
		held.fail(store.ErrUnavailable)
		for range 8 {
			_, err := gate.Wrap(held).Get(t.Context(), "a")
			assert.ErrorIs(t, err, store.ErrUnavailable)
		}
		held.fail(nil)
		started := time.Now()
		_, err := gate.WrapUrgent(held).Get(t.Context(), "a")
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) <= urgentPause)
	})
}

// TestAHintEndsALongPause has another process say that the store answers again.
func TestAHintEndsALongPause(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		held := &failingStore{}
		gate := newTestGate(nil)
		used := gate.Wrap(held)
		held.fail(store.ErrRateLimited)
		for range 8 {
			_, err := used.Get(t.Context(), "a")
			assert.ErrorIs(t, err, store.ErrRateLimited)
		}
		held.fail(nil)
		gate.Hint(time.Now().Add(-time.Second))
		time.Sleep(10 * time.Millisecond)
		gate.Hint(time.Now())
		started := time.Now()
		_, err := used.Get(t.Context(), "a")
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) <= hintSpread)
		assert.Assert(t, gate.Reachable())
	})
}

// TestWhatTheStoreAnswersIsNoOutage has the store refuse a write for its own
// reasons: it answers.
func TestWhatTheStoreAnswersIsNoOutage(t *testing.T) {
	held := &failingStore{}
	gate := newTestGate(nil)
	for _, answer := range []error{store.ErrNotFound, store.ErrConflict, store.ErrCompacted, store.ErrLeaseLost, errors.New("refused")} {
		held.fail(answer)
		_, err := gate.Wrap(held).Get(t.Context(), "a")
		assert.ErrorIs(t, err, answer)
		assert.Assert(t, gate.Reachable(), answer.Error())
	}
}

// TestACallThatIsGivenUpSaysNothing has a caller leave while the store is silent.
func TestACallThatIsGivenUpSaysNothing(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		held := &failingStore{latency: time.Second}
		held.fail(store.ErrUnavailable)
		gate := newTestGate(nil)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(100 * time.Millisecond)
			cancel()
		}()
		_, err := gate.Wrap(held).Get(ctx, "a")
		assert.Assert(t, err != nil)
		assert.Assert(t, gate.Reachable())
	})
}

// TestAWatchThatIsAnsweredEndsTheOutage has a watch be the probe: others need not
// wait for its end.
func TestAWatchThatIsAnsweredEndsTheOutage(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second)
		defer cancel()
		held := &failingStore{}
		gate := newTestGate(nil)
		held.fail(store.ErrUnavailable)
		assert.ErrorIs(t, gate.Wrap(held).Watch(ctx, "", 0, func([]store.Entry, store.Revision) {}), store.ErrUnavailable)
		assert.Assert(t, !gate.Reachable())
		held.fail(nil)
		go func() { _ = gate.Wrap(held).Watch(ctx, "", 0, func([]store.Entry, store.Revision) {}) }()
		time.Sleep(3 * minPause)
		assert.Assert(t, gate.Reachable())
		_, err := gate.Wrap(held).Get(ctx, "a")
		assert.NilError(t, err)
	})
}
