package pace

import (
	"math"
	"sync"
	"time"
)

// Tracker keeps the last pace of one incarnation of a target. The zero value knows none and is
// ready to use. It is safe for concurrent use.
type Tracker struct {
	mutex   sync.Mutex
	percent float64
	// receivedAt is when the last valid report was received.
	receivedAt      time.Time
	malformedLogged bool
}

// Observe keeps the pace of a report that was received at the given time. A report without a
// pace makes the pace unknown. Reports that were received before the last one are ignored, as
// are malformed ones.
func (t *Tracker) Observe(report Report, receivedAt time.Time) {
	if report.Kind != WithPace && report.Kind != WithoutPace {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if receivedAt.Before(t.receivedAt) {
		return
	}
	t.percent, t.receivedAt = report.Percent, receivedAt
}

// FirstMalformed reports whether it is called for the first time, so that a malformed report is
// logged once.
func (t *Tracker) FirstMalformed() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	first := !t.malformedLogged
	t.malformedLogged = true
	return first
}

// Reading returns the last pace as it is passed on to peers.
func (t *Tracker) Reading(now time.Time) Reading {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.percent == 0 {
		return Reading{}
	}
	// A pace below half a percent is passed on as one percent, because zero means unknown.
	return Reading{Percent: max(int(math.Round(t.percent)), 1), Age: max(now.Sub(t.receivedAt), 0)}
}

// Factor returns the factor by which work currently takes longer than usual, as far as the age
// of the pace allows to tell. It is 1 if no pace is known. A nil Tracker knows none.
func (t *Tracker) Factor(now time.Time) float64 {
	if t == nil {
		return 1
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.percent == 0 {
		return 1
	}
	return factor(t.percent, now.Sub(t.receivedAt))
}
