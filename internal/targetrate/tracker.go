package targetrate

import (
	"sync"
	"sync/atomic"
	"time"
)

// Observation is the announcement of one response.
type Observation struct {
	Announcement
	// SentAt is when the call was sent. It is the zero time if the response belongs to
	// another call, which may have been sent at any time before.
	SentAt time.Time
	// ReceivedAt is when the response's header was read, or an earlier time if the
	// response may have been waiting to be read.
	ReceivedAt time.Time
}

// Tracker decides which announcement of a target is in force. Responses are read in
// another order than the target sent them in, above all after the process was stalled. So a
// stricter announcement is in force at once, and a less strict one only if its response is
// certainly newer: if its call was sent after the announcement in force was last read.
// The zero value is ready to use. It is safe for concurrent use.
type Tracker struct {
	// observed is set once a response was observed, and limited while a limit is in force.
	// Responses of targets without a limit thus need no lock.
	observed, limited atomic.Bool

	mutex   sync.Mutex
	current Announcement
	// confirmedAt is when the last response with the announcement in force was read.
	confirmedAt time.Time
}

// Observe processes the announcement of a response. It reports whether the announcement
// in force changed.
func (t *Tracker) Observe(o Observation) bool {
	if !o.Limited && !t.limited.Load() {
		t.markObserved(o)
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.markObserved(o)
	if o.ReceivedAt.Before(t.confirmedAt) {
		return false
	}
	if o.Announcement == t.current {
		t.confirmedAt = o.ReceivedAt
		return false
	}
	if !o.stricterThan(t.current) && o.SentAt.Before(t.confirmedAt) {
		return false
	}
	t.set(o.Announcement, o.ReceivedAt)
	return true
}

// Adopt puts a limit in force that another process knows, unless a response was observed.
// It reports whether the announcement in force changed.
func (t *Tracker) Adopt(announcement Announcement, now time.Time) bool {
	if t.observed.Load() {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.observed.Load() || !announcement.stricterThan(t.current) {
		return false
	}
	t.set(announcement, now)
	return true
}

func (t *Tracker) set(announcement Announcement, at time.Time) {
	t.current = announcement
	t.confirmedAt = at
	t.limited.Store(announcement.Limited)
}

// markObserved records that a response was observed whose age is known.
func (t *Tracker) markObserved(o Observation) {
	if !o.SentAt.IsZero() && !t.observed.Load() {
		t.observed.Store(true)
	}
}

// Current returns the announcement in force.
func (t *Tracker) Current() Announcement {
	if !t.limited.Load() {
		return Announcement{}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.current
}
