package replay

import (
	"errors"
	"time"
)

// ErrCallQueued is returned if a call would be queued while the timers of the
// runtime do not follow the trace's clock.
var ErrCallQueued = errors.New("a call has to wait in a queue, whose timers follow a virtual clock only in the tests of lab/replay")

// clock is the clock on which a trace is played.
type clock interface {
	// now returns the current time.
	now() time.Time
	// sleep advances the clock to the time, or until a value is received from wake.
	sleep(until time.Time, wake <-chan struct{})
	// waitIdle blocks until no call can make progress without the clock advancing.
	waitIdle()
	// drivesTimers reports whether the timers of the runtime follow this clock.
	drivesTimers() bool
}

// steppingClock is a clock that jumps from event to event.
type steppingClock struct{ current time.Time }

// traceStart is the time at which traces start. It equals the initial time of a
// testing/synctest bubble.
var traceStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func (c *steppingClock) now() time.Time                           { return c.current }
func (c *steppingClock) sleep(until time.Time, _ <-chan struct{}) { c.current = until }
func (c *steppingClock) waitIdle()                                {}
func (c *steppingClock) drivesTimers() bool                       { return false }
