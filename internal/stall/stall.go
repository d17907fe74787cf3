// Package stall tells when a process stood still: when it got no processor for a while,
// waited for memory, or was stopped and continued.
//
// Meanwhile no deadline is kept and no answer is sent, and afterwards all that looks late
// may be so for that reason alone. A detector rides on a loop that wakes up at a steady
// period anyway, so that it costs no wake-ups of its own.
package stall

import "time"

// Detector measures by how much a periodic loop wakes up too late, from its first Tick on.
// It belongs to one goroutine.
type Detector struct {
	// Period is the time between two ticks, and Tolerance the lateness that is usual.
	Period, Tolerance time.Duration

	last time.Time
}

// Tick notes that the loop woke up. It returns by how much too late that was, or zero if
// it was no later than is usual.
func (d *Detector) Tick(now time.Time) time.Duration {
	last := d.last
	d.last = now
	if last.IsZero() {
		return 0
	}
	late := now.Sub(last) - d.Period
	if late <= d.Tolerance {
		return 0
	}
	return late
}
