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

// failingStore counts its calls and returns a configurable error.
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

type recordingObserver struct {
	lost     int
	regained []time.Duration
}

func (n *recordingObserver) StoreLost(error) { n.lost++ }
func (n *recordingObserver) StoreRegained(outage time.Duration) {
	n.regained = append(n.regained, outage)
}

const testMaxBackoff = 2 * time.Second

func newTestBreaker(observer Observer) *CircuitBreaker {
	return NewCircuitBreaker(func() time.Duration { return testMaxBackoff }, observer, time.Now)
}

// keepCalling has callers use the store until the context ends.
func keepCalling(ctx context.Context, wrapped store.Store, callers int) {
	for range callers {
		go func() {
			for ctx.Err() == nil {
				_, _ = wrapped.Get(ctx, "a")
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
}

// TestOutageIsProbedByOneCallAtATime has many users of a store that becomes unreachable:
// together they must make few calls during the outage, and all must go on soon after it.
func TestOutageIsProbedByOneCallAtATime(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(5 * time.Second)
		defer cancel()
		backing := &failingStore{latency: 4 * time.Millisecond}
		observer := &recordingObserver{}
		wrapped := newTestBreaker(observer).Wrap(backing)
		const callers = 20
		keepCalling(ctx, wrapped, callers)
		time.Sleep(time.Second)
		backing.fail(store.ErrUnavailable)
		callsBefore := backing.calls.Load()
		time.Sleep(10 * time.Second)
		outageCalls := backing.calls.Load() - callsBefore
		assert.Assert(t, outageCalls <= callers+16, "%d calls in an outage of 10 s", outageCalls)
		assert.Assert(t, outageCalls >= callers/2+4, "the store is still probed: %d calls", outageCalls)
		backing.fail(nil)
		callsBefore = backing.calls.Load()
		time.Sleep(3*testMaxBackoff/2 + 100*time.Millisecond)
		assert.Assert(t, backing.calls.Load()-callsBefore >= callers, "%d calls", backing.calls.Load()-callsBefore)
		assert.Equal(t, observer.lost, 1)
		assert.Equal(t, len(observer.regained), 1)
		assert.Assert(t, observer.regained[0] >= 10*time.Second-callPeriodBound)
	})
}

const callPeriodBound = 100 * time.Millisecond

// TestUrgentCallProbesSooner checks that an urgent call probes before the backoff ends.
func TestUrgentCallProbesSooner(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		backing := &failingStore{}
		breaker := newTestBreaker(nil)
		backing.fail(store.ErrUnavailable)
		for range 8 {
			_, err := breaker.Wrap(backing).Get(t.Context(), "a")
			assert.ErrorIs(t, err, store.ErrUnavailable)
		}
		backing.fail(nil)
		started := time.Now()
		_, err := breaker.WrapUrgent(backing).Get(t.Context(), "a")
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) <= urgentBackoff)
	})
}

// TestHintShortensBackoff checks that a hint from another process brings the next probe
// forward.
func TestHintShortensBackoff(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		backing := &failingStore{}
		breaker := newTestBreaker(nil)
		wrapped := breaker.Wrap(backing)
		backing.fail(store.ErrRateLimited)
		for range 8 {
			_, err := wrapped.Get(t.Context(), "a")
			assert.ErrorIs(t, err, store.ErrRateLimited)
		}
		backing.fail(nil)
		breaker.Hint(time.Now().Add(-time.Second))
		time.Sleep(10 * time.Millisecond)
		breaker.Hint(time.Now())
		started := time.Now()
		_, err := wrapped.Get(t.Context(), "a")
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) <= hintJitter)
		assert.Assert(t, breaker.Reachable())
	})
}

// TestErrorAnswersDoNotOpenCircuit checks that errors which the store itself returns don't
// count as failures to reach it.
func TestErrorAnswersDoNotOpenCircuit(t *testing.T) {
	backing := &failingStore{}
	breaker := newTestBreaker(nil)
	for _, failure := range []error{store.ErrNotFound, store.ErrConflict, store.ErrCompacted, store.ErrLeaseLost, errors.New("refused")} {
		backing.fail(failure)
		_, err := breaker.Wrap(backing).Get(t.Context(), "a")
		assert.ErrorIs(t, err, failure)
		assert.Assert(t, breaker.Reachable(), failure.Error())
	}
}

// TestCanceledCallIsIgnored cancels a call while the store does not answer: that must not open
// the circuit.
func TestCanceledCallIsIgnored(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		backing := &failingStore{latency: time.Second}
		backing.fail(store.ErrUnavailable)
		breaker := newTestBreaker(nil)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(100 * time.Millisecond)
			cancel()
		}()
		_, err := breaker.Wrap(backing).Get(ctx, "a")
		assert.Assert(t, err != nil)
		assert.Assert(t, breaker.Reachable())
	})
}

// TestAnsweredWatchClosesCircuit has a watch be the probe: its first answer must close the
// circuit, though the watch goes on.
func TestAnsweredWatchClosesCircuit(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second)
		defer cancel()
		backing := &failingStore{}
		breaker := newTestBreaker(nil)
		backing.fail(store.ErrUnavailable)
		assert.ErrorIs(t, breaker.Wrap(backing).Watch(ctx, "", 0, func([]store.Entry, store.Revision) {}), store.ErrUnavailable)
		assert.Assert(t, !breaker.Reachable())
		backing.fail(nil)
		go func() { _ = breaker.Wrap(backing).Watch(ctx, "", 0, func([]store.Entry, store.Revision) {}) }()
		time.Sleep(3 * minBackoff)
		assert.Assert(t, breaker.Reachable())
		_, err := breaker.Wrap(backing).Get(ctx, "a")
		assert.NilError(t, err)
	})
}
