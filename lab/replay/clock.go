package replay

import (
	"errors"
	"time"
)

// ErrQueues tells that a call has to wait in a queue, which the clock can't play.
var ErrQueues = errors.New("a call waits in a queue, whose timers follow a virtual clock only in the tests of lab/replay")

// clock is the time in which a trace is played.
type clock interface {
	// now returns the present time.
	now() time.Time
	// sleep lets the time pass until the given one, or until something arrives on wake.
	sleep(until time.Time, wake <-chan struct{})
	// settle waits until no call can go on without the time passing.
	settle()
	// timers reports whether the runtime's timers follow this clock.
	timers() bool
}

// steppingClock jumps from event to event.
type steppingClock struct{ time time.Time }

// traceStart is the time at which traces start; a bubble's clock starts there too.
var traceStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func (c *steppingClock) now() time.Time                           { return c.time }
func (c *steppingClock) sleep(until time.Time, _ <-chan struct{}) { c.time = until }
func (c *steppingClock) settle()                                  {}
func (c *steppingClock) timers() bool                             { return false }
