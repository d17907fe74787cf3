// Package clock provides a clock that includes the time for which the machine is suspended.
//
// The monotonic clock behind time.Now, timers and contexts stops during a suspension, so that
// ages and deadlines measured with it are wrong after a resume: the measured ages of copies,
// leases and requests are too small. The wall clock continues, but it also jumps for other
// reasons. The clock of this package is the monotonic clock plus the time for which the machine
// was suspended. It starts at the wall time of the process's start, and its times may be
// compared only with each other.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// wallJumpThreshold is the change of the wall clock relative to the monotonic one above which
	// the boot clock is read. Reading the boot clock costs a system call, comparing the other two
	// doesn't. Clock discipline slews the wall clock by at most 0.5 ms per second.
	wallJumpThreshold = 2 * time.Millisecond
	// minSuspension is the shortest suspension that is detected. The clocks are not read at the
	// same instant, so shorter differences may be due to that.
	minSuspension = 20 * time.Millisecond
)

// Reading is a simultaneous reading of the system's wall and monotonic clocks.
type Reading struct {
	// Wall is the wall-clock time, and Monotonic the time since an arbitrary instant on the
	// clock that stops while the machine is suspended.
	Wall      time.Time
	Monotonic time.Duration
}

// Source reads the system's clocks.
type Source struct {
	Read func() Reading
	// SinceBoot reads the boot clock, which continues while the machine is suspended.
	SinceBoot func() (time.Duration, error)
}

// Clock is a clock that includes the time for which the machine is suspended. It is safe for
// concurrent use.
type Clock struct {
	source Source
	start  Reading
	// initialBootOffset is the boot clock minus the monotonic clock when the Clock was created;
	// hasBootClock is whether the boot clock could be read.
	initialBootOffset time.Duration
	hasBootClock      bool

	// suspended is the total time of suspension so far, and drift the change of the wall clock
	// relative to the monotonic one when suspended was last checked.
	suspended, drift atomic.Int64

	mutex       sync.Mutex
	deadlines   map[*deadline]struct{}
	resumeHooks []func()
}

// deadline is a context with a deadline.
type deadline struct {
	cancelContext
	clock *Clock
	at    time.Time
	// timer fires at the deadline.
	timer *time.Timer
}

// New returns a clock based on the source.
func New(source Source) *Clock {
	c := &Clock{source: source, start: source.Read(), deadlines: make(map[*deadline]struct{})}
	sinceBoot, err := source.SinceBoot()
	// Without a boot clock, the clock equals the monotonic one.
	c.hasBootClock = err == nil
	c.initialBootOffset = sinceBoot - c.start.Monotonic
	return c
}

// Now returns the current time.
func (c *Clock) Now() time.Time {
	reading := c.source.Read()
	elapsed := reading.Monotonic - c.start.Monotonic
	drift := reading.Wall.Sub(c.start.Wall) - elapsed
	if jump := drift - time.Duration(c.drift.Load()); jump > wallJumpThreshold || jump < -wallJumpThreshold {
		c.updateSuspended(drift)
	}
	return c.start.Wall.Add(elapsed + time.Duration(c.suspended.Load()))
}

// Since returns the time elapsed since an earlier time of this clock.
func (c *Clock) Since(earlier time.Time) time.Duration { return c.Now().Sub(earlier) }

// Suspended returns the total time for which the machine was suspended since the clock was
// created, as far as suspensions have been detected.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// updateSuspended updates the suspended time from the boot clock and, after a suspension, starts
// handleResume.
func (c *Clock) updateSuspended(drift time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.drift.Store(int64(drift))
	if !c.hasBootClock {
		return
	}
	sinceBoot, err := c.source.SinceBoot()
	if err != nil {
		// The boot clock was readable before; the next jump of the wall clock checks again.
		return
	}
	suspended := sinceBoot - c.source.Read().Monotonic - c.initialBootOffset
	if suspended-time.Duration(c.suspended.Load()) < minSuspension {
		return
	}
	c.suspended.Store(int64(suspended))
	go c.handleResume()
}

// OnResume registers a function to be called after each suspension, once it is detected. A
// suspension is detected by a call of Now.
func (c *Clock) OnResume(hook func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.resumeHooks = append(c.resumeHooks, hook)
}

// handleResume ends the contexts whose deadlines have passed and calls the resume hooks.
func (c *Clock) handleResume() {
	now := c.Now()
	c.mutex.Lock()
	var overdue []*deadline
	for d := range c.deadlines {
		if !now.Before(d.at) {
			overdue = append(overdue, d)
		}
	}
	hooks := c.resumeHooks
	c.mutex.Unlock()
	for _, d := range overdue {
		d.cancel(context.DeadlineExceeded)
	}
	for _, hook := range hooks {
		hook()
	}
}

// WithDeadline returns a context that ends at a time of this clock, also if the machine is
// suspended meanwhile. Its Cause is then context.DeadlineExceeded, which Expired checks; its
// Err is context.Canceled, and its Deadline method reports none.
//
// If the process was stalled when the deadline passed, the context ends LateDeadlineGrace after the
// process continues, so that data that arrived meanwhile can still be read.
func (c *Clock) WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return c.withDeadline(parent, at, at.Sub(c.Now()))
}

// withDeadline is WithDeadline for a deadline that is the remaining time from now.
func (c *Clock) withDeadline(parent context.Context, at time.Time, remaining time.Duration) (context.Context, context.CancelFunc) {
	d := &deadline{clock: c, at: at}
	d.attach(parent)
	if remaining <= 0 {
		d.cancel(context.DeadlineExceeded)
		return d, func() {}
	}
	c.mutex.Lock()
	c.deadlines[d] = struct{}{}
	c.mutex.Unlock()
	d.timer = time.AfterFunc(remaining, d.reached)
	return d, d.release
}

// reached runs when the timer for the deadline has fired.
func (d *deadline) reached() { d.clock.deadlineReached(d, d.at, maxGracePeriods) }

// release ends the context and stops its timer.
func (d *deadline) release() {
	d.clock.mutex.Lock()
	delete(d.clock.deadlines, d)
	d.clock.mutex.Unlock()
	d.timer.Stop()
	d.cancel(nil)
}

// deadlineReached runs when the timer for the time due has fired, which is the deadline or the
// end of a grace period. It ends the context, or starts a grace period if the timer fired so
// late that the process must have been stalled.
func (c *Clock) deadlineReached(d *deadline, due time.Time, gracePeriods int) {
	if gracePeriods == 0 || !IsStall(c.Since(due)) {
		d.cancel(context.DeadlineExceeded)
		return
	}
	due = c.Now().Add(LateDeadlineGrace)
	time.AfterFunc(LateDeadlineGrace, func() { c.deadlineReached(d, due, gracePeriods-1) })
}

// LateDeadlineGrace is how long a deadline is extended if the process was stalled when it passed, so
// that data that is ready is read first.
const LateDeadlineGrace = 50 * time.Millisecond

// maxGracePeriods limits the grace periods of one context, because callers wait for it to end.
const maxGracePeriods = 3

// stallThreshold is the lateness of a timer above which the process must have been stalled.
const stallThreshold = 50 * time.Millisecond

// IsStall reports whether a timer that fired late by the given time shows that the process was
// stalled.
func IsStall(lateness time.Duration) bool { return lateness > stallThreshold }
