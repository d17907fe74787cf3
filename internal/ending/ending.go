package ending

import (
	"context"
	"sync"
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
	// restartDuration is the time after the shutdown until a successor of the process is
	// expected to accept requests.
	restartDuration = 500 * time.Millisecond
)

// SafeDuration returns the duration within which work with the given usual duration is safe to
// assume finished. Zero means that the usual duration is unknown.
func SafeDuration(usual time.Duration) time.Duration { return max(safetyFactor*usual, minSafeDuration) }

// ShutdownTime is the time at which the process shuts down. The zero value means never. It is safe
// for concurrent use.
type ShutdownTime struct {
	at    atomic.Pointer[time.Time]
	mutex sync.Mutex
	// isSet is canceled once the shutdown time is set, by markSet. Both are nil until one is needed.
	isSet   context.Context
	markSet context.CancelFunc
}

// Set sets the shutdown time. From then on, only work that ends by it is allowed.
func (s *ShutdownTime) Set(at time.Time) {
	s.at.Store(&at)
	s.prepare()
	s.markSet()
}

func (s *ShutdownTime) prepare() context.Context {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isSet == nil {
		s.isSet, s.markSet = context.WithCancel(context.Background())
	}
	return s.isSet
}

// AfterSet calls the function in its own goroutine once the shutdown time is set, unless the
// returned function is called before.
func (s *ShutdownTime) AfterSet(run func()) (stop func() bool) {
	return context.AfterFunc(s.prepare(), run)
}

// Allows reports whether work of the given duration that starts at the given time ends by the
// shutdown time.
func (s *ShutdownTime) Allows(duration time.Duration, start time.Time) bool {
	at := s.at.Load()
	return at == nil || !start.Add(duration).After(*at)
}

// LatestStart returns the latest time at which work of the given duration may start, and false if
// no shutdown time is set.
func (s *ShutdownTime) LatestStart(duration time.Duration) (time.Time, bool) {
	at := s.at.Load()
	if at == nil {
		return time.Time{}, false
	}
	return at.Add(-duration), true
}

// ReturnDelay returns the time after which a successor of the process is expected to accept what is
// refused now.
func (s *ShutdownTime) ReturnDelay(now time.Time) time.Duration {
	at, _ := s.LatestStart(0)
	return max(at.Sub(now), 0) + restartDuration
}
