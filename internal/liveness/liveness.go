// Package liveness tells whether a process may act on what it knows, or was
// paused and may have missed what others decided meanwhile.
//
// A paused process does not notice: when it goes on, its goroutines run in any
// order, and those that were about to send a call to a target may come first.
// So the question is asked at the last moment before each such act, and it is
// answered from the age of a steady tick.
package liveness

import (
	"context"
	"sync"
	"time"
)

const (
	// TickInterval is the time between two ticks.
	TickInterval = 100 * time.Millisecond
	// PauseLimit is the age of the last tick from which the process counts as
	// paused.
	PauseLimit = 1500 * time.Millisecond
	// CatchUpLimit bounds the time after a pause in which the process does not
	// act because it has not caught up. A process that nobody answers goes on
	// with what it knows.
	CatchUpLimit = 2 * time.Second
)

// Monitor watches over one process. It is safe for concurrent use.
type Monitor struct {
	now func() time.Time

	mutex    sync.Mutex
	ticked   time.Time
	resumed  time.Time
	catching bool
}

// NewMonitor returns a watch of a process that runs and has missed nothing.
func NewMonitor(now func() time.Time) *Monitor {
	return &Monitor{now: now, ticked: now()}
}

// Run ticks until the context ends.
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

// Tick notes that the process runs. It reports whether it was paused before.
func (w *Monitor) Tick() (paused bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.tick(w.now())
}

func (w *Monitor) tick(now time.Time) (paused bool) {
	paused = elapsed(w.ticked, now) > PauseLimit
	w.ticked = now
	if paused {
		w.resumed = now
		w.catching = true
	}
	return paused
}

// MayAct reports whether the process may act on what it knows: it was not
// paused, or has caught up since.
func (w *Monitor) MayAct() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.now()
	if elapsed(w.ticked, now) > PauseLimit {
		w.tick(now)
	}
	if w.catching && elapsed(w.resumed, now) > CatchUpLimit {
		w.catching = false
	}
	return !w.catching
}

// MarkCaughtUp notes that the process knows what another one, heard at the given
// moment, knew. It counts only if the moment was after the last pause.
func (w *Monitor) MarkCaughtUp(heard time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.catching && elapsed(w.ticked, w.now()) <= PauseLimit && heard.After(w.resumed) {
		w.catching = false
	}
}

// elapsed is the longer of what the monotonic and the wall clock say, because
// the monotonic clock may stand still while a machine is suspended.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
