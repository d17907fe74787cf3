// Package ending decides which work may still start before the process shuts down. Work may
// start only if it will finish by then, because running work is never cut off.
package ending

import (
	"sync/atomic"
	"time"
)

const (
	// safetyFactor multiplies the usual duration: calls rarely take more than five times as
	// long as usual.
	safetyFactor = 10
	// minSafeDuration is the lower bound, a few times the longest duration of quick calls.
	minSafeDuration = 600 * time.Millisecond
)

// SafeDuration returns the duration within which work with the given usual duration is safe to
// assume finished. Zero means that the usual duration is unknown.
func SafeDuration(usual time.Duration) time.Duration { return max(safetyFactor*usual, minSafeDuration) }

// ShutdownTime is the time at which the process shuts down. The zero value means never. It is safe
// for concurrent use.
type ShutdownTime struct{ at atomic.Pointer[time.Time] }

// Set sets the shutdown time.
func (m *ShutdownTime) Set(at time.Time) { m.at.Store(&at) }

// Allows reports whether work of the given duration that starts at the given time ends by the
// shutdown time.
func (m *ShutdownTime) Allows(duration time.Duration, start time.Time) bool {
	at := m.at.Load()
	return at == nil || !start.Add(duration).After(*at)
}
