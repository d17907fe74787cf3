// Package reachability is a circuit breaker for the store. All calls of a process to the store
// share one CircuitBreaker: while the store is unreachable, one call at a time probes it with
// exponential backoff, and all others wait until a probe succeeds.
package reachability

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

const (
	// minBackoff is the backoff after the first failure, throttledBackoff that after the
	// store's rate limit refused a call. Each further failure doubles the backoff.
	minBackoff       = 100 * time.Millisecond
	throttledBackoff = 400 * time.Millisecond
	// urgentBackoff is the backoff for urgent calls.
	urgentBackoff = 150 * time.Millisecond
	// hintJitter is the time over which processes spread their next probes after they learned
	// from others that the store answers again.
	hintJitter = 500 * time.Millisecond
)

// Observer is notified when the store becomes unreachable for this process and when it answers
// again.
type Observer interface {
	// StoreLost is called with the first failure.
	StoreLost(cause error)
	// StoreRegained is called with the duration of the outage.
	StoreRegained(outage time.Duration)
}

// CircuitBreaker is a circuit breaker for calls to the store. It is safe for concurrent use.
type CircuitBreaker struct {
	now        func() time.Time
	maxBackoff func() time.Duration
	observer   Observer

	mutex sync.Mutex
	// openSince is when the circuit opened, zero while it is closed.
	openSince   time.Time
	lastFailure time.Time
	backoff     time.Duration
	nextProbe   time.Time
	probing     bool
	// changed is closed and replaced whenever waiting calls must check the state again.
	changed chan struct{}
}

// NewCircuitBreaker returns a closed circuit breaker. The observer may be nil. maxBackoff bounds the
// backoff between probes.
func NewCircuitBreaker(maxBackoff func() time.Duration, observer Observer, now func() time.Time) *CircuitBreaker {
	return &CircuitBreaker{now: now, maxBackoff: maxBackoff, observer: observer, changed: make(chan struct{})}
}

// Reachable reports whether the circuit is closed.
func (b *CircuitBreaker) Reachable() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.openSince.IsZero()
}

// Hint reports that the store answered another process at the given time. If that is after the
// last failure, the next probe is made soon.
func (b *CircuitBreaker) Hint(answered time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.openSince.IsZero() || !answered.After(b.lastFailure) {
		return
	}
	earlier := b.now().Add(rand.N(hintJitter))
	if earlier.Before(b.nextProbe) {
		b.nextProbe = earlier
		b.wakeWaiters()
	}
}

// acquire waits until a call may be made, and reports whether that call is a probe.
func (b *CircuitBreaker) acquire(ctx context.Context, urgent bool) (bool, error) {
	for {
		wait, probe, changed := b.tryAcquire(urgent)
		if wait <= 0 {
			return probe, nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false, errors.Join(store.ErrUnavailable, ctx.Err())
		case <-timer.C:
		case <-changed:
			timer.Stop()
		}
	}
}

// probeWait bounds the wait for the result of another call's probe.
const probeWait = time.Second

// tryAcquire returns how long to wait before the next attempt, zero if the call may be made,
// and whether the call is a probe.
func (b *CircuitBreaker) tryAcquire(urgent bool) (time.Duration, bool, <-chan struct{}) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.openSince.IsZero() {
		return 0, false, nil
	}
	if b.probing {
		return probeWait, false, b.changed
	}
	probeAt := b.nextProbe
	if earlier := b.lastFailure.Add(urgentBackoff); urgent && earlier.Before(probeAt) {
		probeAt = earlier
	}
	if wait := probeAt.Sub(b.now()); wait > 0 {
		return wait, false, b.changed
	}
	b.probing = true
	return 0, true, nil
}

// release records the result of a call that acquire admitted.
func (b *CircuitBreaker) release(probe bool, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if probe {
		b.probing = false
	}
	if errors.Is(err, context.Canceled) {
		// A canceled call says nothing about the state of the store.
		b.wakeWaiters()
		return
	}
	if !isUnreachable(err) {
		b.closeCircuit()
		return
	}
	b.openCircuit(probe, err)
}

func (b *CircuitBreaker) closeCircuit() {
	if b.openSince.IsZero() {
		return
	}
	if b.observer != nil {
		b.observer.StoreRegained(b.now().Sub(b.openSince))
	}
	b.openSince, b.backoff = time.Time{}, 0
	b.wakeWaiters()
}

func (b *CircuitBreaker) openCircuit(probe bool, err error) {
	now := b.now()
	first := b.openSince.IsZero()
	if !first && !probe {
		// Calls that were in progress when the circuit opened fail together; only the first one
		// counts.
		return
	}
	if first {
		b.openSince = now
		if b.observer != nil {
			b.observer.StoreLost(err)
		}
	}
	least := minBackoff
	if errors.Is(err, store.ErrRateLimited) {
		least = throttledBackoff
	}
	b.backoff = min(max(b.backoff*2, least), b.maxBackoff())
	b.lastFailure = now
	b.nextProbe = now.Add(b.backoff/2 + rand.N(b.backoff))
	b.wakeWaiters()
}

func (b *CircuitBreaker) wakeWaiters() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// isUnreachable reports whether the error means that the store did not process the call or that
// the outcome is unknown.
func isUnreachable(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknownOutcome) || errors.Is(err, store.ErrRateLimited)
}
