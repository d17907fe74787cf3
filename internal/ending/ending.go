// Package ending decides which work may still begin before a process ends. What
// begins must be sure to be done by then, because nothing is cut off.
package ending

import (
	"sync/atomic"
	"time"
)

const (
	// sureFactor is how many times its usual time work is surely done in: calls rarely
	// take more than five times the usual.
	sureFactor = 10
	// leastSure is the least such time, a few times the longest work of quick calls.
	leastSure = 600 * time.Millisecond
)

// SafeDuration returns the time in which work is surely done that usually takes so
// long; zero means that this is not known.
func SafeDuration(usual time.Duration) time.Duration { return max(sureFactor*usual, leastSure) }

// ShutdownTime is when a process ends. The zero value is never. It is safe for concurrent
// use.
type ShutdownTime struct{ at atomic.Pointer[time.Time] }

// Set sets the moment.
func (m *ShutdownTime) Set(at time.Time) { m.at.Store(&at) }

// Allows reports whether so much time is left from the given moment on.
func (m *ShutdownTime) Allows(needed time.Duration, from time.Time) bool {
	at := m.at.Load()
	return at == nil || !from.Add(needed).After(*at)
}
