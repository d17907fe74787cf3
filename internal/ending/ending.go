// Package ending decides which work may still start before the process shuts down. Work may
// start only if it is safe to assume that it finishes by then, because running work is not
// interrupted.
package ending

import (
	"sync/atomic"
	"time"
)

const (
	// safetyFactor is the ratio of the safe to the usual duration: calls rarely take more than
	// five times as long as usual.
	safetyFactor = 10
	// minSafeDuration is the lower bound of safe durations: a few times the duration of the
	// slowest quick calls.
	minSafeDuration = 600 * time.Millisecond
)

// SafeDuration returns the duration within which work with the given usual duration is safe to
// assume finished. Zero means that the usual duration is unknown.
func SafeDuration(usual time.Duration) time.Duration { return max(safetyFactor*usual, minSafeDuration) }

// ShutdownTime is the time at which the process shuts down. The zero value means never. It is safe
// for concurrent use.
type ShutdownTime struct{ at atomic.Pointer[time.Time] }

// Set sets the shutdown time.
func (s *ShutdownTime) Set(at time.Time) { s.at.Store(&at) }

// Allows reports whether work of the given duration that starts at the given time ends by the
// shutdown time.
func (s *ShutdownTime) Allows(duration time.Duration, start time.Time) bool {
	at := s.at.Load()
	return at == nil || !start.Add(duration).After(*at)
}
