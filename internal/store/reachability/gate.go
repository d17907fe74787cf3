// Package reachability holds what one process believes of whether it reaches the
// store. All of the process's uses of the store share one Gate: while the store
// does not answer, one call at a time probes it, after pauses that grow, and all
// others wait for a probe that succeeds.
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
	// minPause is the pause after a first failure, throttledPause that after the
	// store's rate limit refused a call. Each further failure doubles the pause.
	minPause       = 100 * time.Millisecond
	throttledPause = 400 * time.Millisecond
	// urgentPause is the pause for urgent calls.
	urgentPause = 150 * time.Millisecond
	// hintSpread is the time over which the processes that hear from others that
	// the store answers again ask it themselves.
	hintSpread = 500 * time.Millisecond
)

// Observer is told when the store stops answering this process and when it
// answers again.
type Observer interface {
	// StoreLost is told the first failure.
	StoreLost(cause error)
	// StoreRegained is told for how long the store did not answer.
	StoreRegained(after time.Duration)
}

// CircuitBreaker lets calls to the store pass. It is safe for concurrent use.
type CircuitBreaker struct {
	now      func() time.Time
	maxPause func() time.Duration
	observer Observer

	mutex sync.Mutex
	// lostAt is when the store stopped answering; zero while it answers.
	lostAt   time.Time
	failedAt time.Time
	pause    time.Duration
	probeAt  time.Time
	probing  bool
	// changed is closed and replaced whenever waiting calls are to look again.
	changed chan struct{}
}

// NewCircuitBreaker returns a gate that lets all calls pass until one fails. The observer
// may be nil. maxPause bounds the pauses between probes.
func NewCircuitBreaker(maxPause func() time.Duration, observer Observer, now func() time.Time) *CircuitBreaker {
	return &CircuitBreaker{now: now, maxPause: maxPause, observer: observer, changed: make(chan struct{})}
}

// Reachable reports whether the store answered the last time.
func (g *CircuitBreaker) Reachable() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.lostAt.IsZero()
}

// Hint tells that another process was answered by the store at the given moment.
// Where that is after the last failure the next probe is made soon.
func (g *CircuitBreaker) Hint(answered time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.lostAt.IsZero() || !answered.After(g.failedAt) {
		return
	}
	soon := g.now().Add(rand.N(hintSpread))
	if soon.Before(g.probeAt) {
		g.probeAt = soon
		g.wake()
	}
}

// enter waits until a call may be made. It reports whether the call is a probe.
func (g *CircuitBreaker) enter(ctx context.Context, urgent bool) (bool, error) {
	for {
		wait, probe, changed := g.turn(urgent)
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

// turn returns how long to wait before looking again, zero if the call may be
// made, and then whether it is a probe.
func (g *CircuitBreaker) turn(urgent bool) (time.Duration, bool, <-chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.lostAt.IsZero() {
		return 0, false, nil
	}
	if g.probing {
		return probeWait, false, g.changed
	}
	probeAt := g.probeAt
	if soon := g.failedAt.Add(urgentPause); urgent && soon.Before(probeAt) {
		probeAt = soon
	}
	if wait := probeAt.Sub(g.now()); wait > 0 {
		return wait, false, g.changed
	}
	g.probing = true
	return 0, true, nil
}

// leave takes what became of a call that passed.
func (g *CircuitBreaker) leave(probe bool, err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if probe {
		g.probing = false
	}
	if errors.Is(err, context.Canceled) {
		// It was given up and says nothing.
		g.wake()
		return
	}
	if !unreachable(err) {
		g.regained()
		return
	}
	g.lost(probe, err)
}

func (g *CircuitBreaker) regained() {
	if g.lostAt.IsZero() {
		return
	}
	if g.observer != nil {
		g.observer.StoreRegained(g.now().Sub(g.lostAt))
	}
	g.lostAt, g.pause = time.Time{}, 0
	g.wake()
}

func (g *CircuitBreaker) lost(probe bool, err error) {
	now := g.now()
	first := g.lostAt.IsZero()
	if !first && !probe {
		// Calls that were under way when the store was lost fail together.
		return
	}
	if first {
		g.lostAt = now
		if g.observer != nil {
			g.observer.StoreLost(err)
		}
	}
	least := minPause
	if errors.Is(err, store.ErrRateLimited) {
		least = throttledPause
	}
	g.pause = min(max(g.pause*2, least), g.maxPause())
	g.failedAt = now
	g.probeAt = now.Add(g.pause/2 + rand.N(g.pause))
	g.wake()
}

func (g *CircuitBreaker) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// unreachable reports whether the error says that the store did not take the
// call, or did not tell.
func unreachable(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknownOutcome) || errors.Is(err, store.ErrRateLimited)
}
