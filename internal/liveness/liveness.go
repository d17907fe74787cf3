// Package liveness reports whether a process may act on its state, or was paused and may have
// missed decisions of other processes.
//
// A process does not notice that it was paused: when it resumes, its goroutines run in any
// order, and one that is about to send a call to a target may run first. The check is therefore
// made immediately before each such action, and is based on the age of the last periodic tick.
package liveness

import (
	"context"
	"sync"
	"time"
)

const (
	// TickInterval is the interval between ticks.
	TickInterval = 100 * time.Millisecond
	// PauseThreshold is the age of the last tick above which the process is considered paused.
	PauseThreshold = 1500 * time.Millisecond
	// CatchUpTimeout bounds how long the process refrains from acting after a pause because it
	// has not caught up. If no other process responds, it continues with the state it has.
	CatchUpTimeout = 2 * time.Second
)

// Monitor detects pauses of the process. It is safe for concurrent use.
type Monitor struct {
	now func() time.Time

	mutex      sync.Mutex
	lastTick   time.Time
	resumedAt  time.Time
	catchingUp bool
}

// NewMonitor returns a watch of a running process that has missed nothing.
func NewMonitor(now func() time.Time) *Monitor {
	return &Monitor{now: now, lastTick: now()}
}

// Run ticks periodically until the context ends.
func (w *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.Tick()
		}
	}
}

// Tick records that the process is running. It reports whether it was paused before.
func (w *Monitor) Tick() (paused bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.tick(w.now())
}

func (w *Monitor) tick(now time.Time) (paused bool) {
	paused = elapsed(w.lastTick, now) > PauseThreshold
	w.lastTick = now
	if paused {
		w.resumedAt = now
		w.catchingUp = true
	}
	return paused
}

// MayAct reports whether the process may act on its state: it was not paused, or has caught up
// since.
func (w *Monitor) MayAct() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.now()
	if elapsed(w.lastTick, now) > PauseThreshold {
		w.tick(now)
	}
	if w.catchingUp && elapsed(w.resumedAt, now) > CatchUpTimeout {
		w.catchingUp = false
	}
	return !w.catchingUp
}

// MarkCaughtUp records that the process has the state that it received from another process at the
// given time. It has no effect if that was before the end of the last pause.
func (w *Monitor) MarkCaughtUp(receivedAt time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.catchingUp && elapsed(w.lastTick, w.now()) <= PauseThreshold && receivedAt.After(w.resumedAt) {
		w.catchingUp = false
	}
}

// elapsed returns the longer of the durations by the monotonic and the wall clock, because the
// monotonic clock may stop while a machine is suspended.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
