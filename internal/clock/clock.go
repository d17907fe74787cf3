// Package clock tells time that goes on while the machine is suspended.
//
// The steady clock behind time.Now, timers and contexts stands still meanwhile, so that
// whatever is dated by it looks younger than it is after a resume: copies, leases,
// deadlines. The time of day goes on, and jumps for other reasons as well. The clock of
// this package is the steady one plus the time for which the machine was suspended. It is
// dated from the process's start, and its times may only be compared with each other.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// noticedJump is by how much the time of day must move against the steady clock for
	// the time since boot to be read. Reading that costs a system call, comparing the two
	// others nothing; corrections of the time of day move it by 0.5 ms a second at most.
	noticedJump = 2 * time.Millisecond
	// leastSuspension is what counts as one: the clocks are not read at the same moment.
	leastSuspension = 20 * time.Millisecond
)

// Reading is what the system's clocks showed at a moment.
type Reading struct {
	// Wall is the time of day, and Steady the time since some moment on the clock that
	// stands still while the machine is suspended.
	Wall   time.Time
	Steady time.Duration
}

// Source reads the system's clocks.
type Source struct {
	Read func() Reading
	// SinceBoot reads the clock that goes on while the machine is suspended.
	SinceBoot func() (time.Duration, error)
}

// Clock tells time that goes on while the machine is suspended. It is safe for concurrent
// use.
type Clock struct {
	source Source
	began  Reading
	// unsteady is by how much the clock since boot was ahead of the steady one when the
	// clock was made; known tells whether it could be read.
	unsteady time.Duration
	known    bool

	// suspended is for how long the machine was suspended so far, and drift by how much
	// the time of day had moved against the steady clock when that was found out.
	suspended, drift atomic.Int64

	mutex     sync.Mutex
	deadlines map[*deadline]struct{}
	onResume  []func()
}

// deadline ends a context.
type deadline struct {
	at     time.Time
	expire context.CancelCauseFunc
}

// New returns a clock that reads the source.
func New(source Source) *Clock {
	c := &Clock{source: source, began: source.Read(), deadlines: make(map[*deadline]struct{})}
	sinceBoot, err := source.SinceBoot()
	// Without it the clock is the steady one.
	c.known = err == nil
	c.unsteady = sinceBoot - c.began.Steady
	return c
}

// Now returns the time.
func (c *Clock) Now() time.Time {
	reading := c.source.Read()
	elapsed := reading.Steady - c.began.Steady
	drift := reading.Wall.Sub(c.began.Wall) - elapsed
	if moved := drift - time.Duration(c.drift.Load()); moved > noticedJump || moved < -noticedJump {
		c.look(drift)
	}
	return c.began.Wall.Add(elapsed + time.Duration(c.suspended.Load()))
}

// Since returns the time since a moment of this clock.
func (c *Clock) Since(moment time.Time) time.Duration { return c.Now().Sub(moment) }

// Suspended returns for how long the machine was suspended since the clock was made.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// look finds out whether the machine was suspended.
func (c *Clock) look(drift time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.drift.Store(int64(drift))
	if !c.known {
		return
	}
	sinceBoot, err := c.source.SinceBoot()
	if err != nil {
		// It was there before; the next jump brings another look.
		return
	}
	suspended := sinceBoot - c.source.Read().Steady - c.unsteady
	if suspended-time.Duration(c.suspended.Load()) < leastSuspension {
		return
	}
	c.suspended.Store(int64(suspended))
	go c.resumed()
}

// OnResume has the function called after each suspension, once that was noticed.
func (c *Clock) OnResume(do func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.onResume = append(c.onResume, do)
}

// resumed ends what is overdue and tells those that want to know.
func (c *Clock) resumed() {
	now := c.Now()
	c.mutex.Lock()
	var overdue []*deadline
	for d := range c.deadlines {
		if !now.Before(d.at) {
			overdue = append(overdue, d)
		}
	}
	hooks := c.onResume
	c.mutex.Unlock()
	for _, d := range overdue {
		d.expire(context.DeadlineExceeded)
	}
	for _, hook := range hooks {
		hook()
	}
}

// WithDeadline returns a context that ends at a moment of this clock, also if the machine
// is suspended meanwhile. Its cause is then context.DeadlineExceeded, by which Expired
// tells; its error is context.Canceled, and it tells no deadline of its own.
//
// Where the process stood still over the moment, the context ends LateDeadlineGrace after it goes
// on: what arrived meanwhile is ready, and is to be read before it is given up.
func (c *Clock) WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, expire := context.WithCancelCause(parent)
	d := &deadline{at: at, expire: expire}
	left := at.Sub(c.Now())
	if left <= 0 {
		expire(context.DeadlineExceeded)
		return ctx, func() {}
	}
	c.mutex.Lock()
	c.deadlines[d] = struct{}{}
	c.mutex.Unlock()
	timer := time.AfterFunc(left, func() { c.reached(d, at, maxGraces) })
	return ctx, func() {
		c.mutex.Lock()
		delete(c.deadlines, d)
		c.mutex.Unlock()
		timer.Stop()
		expire(nil)
	}
}

// reached ends a context whose moment has come, or was due to end at the moment. A process
// that stands still again within the grace gets another one.
func (c *Clock) reached(d *deadline, due time.Time, graces int) {
	if graces == 0 || !IsStall(c.Since(due)) {
		d.expire(context.DeadlineExceeded)
		return
	}
	due = c.Now().Add(LateDeadlineGrace)
	time.AfterFunc(LateDeadlineGrace, func() { c.reached(d, due, graces-1) })
}

// LateDeadlineGrace is how long a bound that is noticed late still holds, so that what is ready
// is read first.
const LateDeadlineGrace = 50 * time.Millisecond

// maxGraces bounds the graces of one context: callers wait for it.
const maxGraces = 3

// leastLateness is by how much a timer fires too late only if the process stood still.
const leastLateness = 50 * time.Millisecond

// IsStall reports whether a timer that fires so much too late tells that the process stood
// still.
func IsStall(by time.Duration) bool { return by > leastLateness }
