// Package stall detects that the process was stalled: it got no CPU time for a while, waited
// for memory, or was stopped and continued.
//
// During a stall no deadline is kept and no response is sent, and whatever looks late
// afterwards may be so only because of the stall. A Detector uses a loop that wakes up
// periodically anyway, so that it needs no wake-ups of its own.
package stall

import "time"

// Detector measures how late a periodic loop wakes up, from its first Tick on. It is not safe
// for concurrent use.
type Detector struct {
	// Period is the expected time between two ticks, and Tolerance the lateness that is not
	// reported as a stall.
	Period, Tolerance time.Duration

	lastTick time.Time
}

// Tick records a wake-up of the loop. It returns how late the wake-up was, or zero if that is
// within the tolerance.
func (d *Detector) Tick(now time.Time) time.Duration {
	previous := d.lastTick
	d.lastTick = now
	if previous.IsZero() {
		return 0
	}
	lateness := now.Sub(previous) - d.Period
	if lateness <= d.Tolerance {
		return 0
	}
	return lateness
}
