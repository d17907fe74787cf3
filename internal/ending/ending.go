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
	// answerMargin is the time between the limit that targets are given and the shutdown, in
	// which their responses reach the callers.
	answerMargin = 100 * time.Millisecond
	// restartDuration is the time after the shutdown until a successor of the process is
	// expected to accept requests.
	restartDuration = 500 * time.Millisecond
)

// SafeDuration returns the duration within which work with the given usual duration is safe to
// assume finished. Zero means that the usual duration is unknown.
func SafeDuration(usual time.Duration) time.Duration { return max(safetyFactor*usual, minSafeDuration) }

// SafeDurationOnce is SafeDuration for work that must not run twice, and is lost if it is ended early.
// Few of the recent durations exceed the tail.
func SafeDurationOnce(usual, tail time.Duration) time.Duration { return max(SafeDuration(usual), tail) }

// ShutdownTime is the time at which the process shuts down. The zero value means never. Work is first
// limited, when the time is announced, and later also refused, when the time is set. It is safe for
// concurrent use.
type ShutdownTime struct {
	at        atomic.Pointer[time.Time]
	announced atomic.Pointer[time.Time]
	mutex     sync.Mutex
	// isSet is canceled once the shutdown time is set, by markSet. Both are nil until one is needed.
	isSet   context.Context
	markSet context.CancelFunc
}

// Announce announces the shutdown time. From then on, work is given a limit by which it ends, so that
// its caller receives a response, but all work is allowed.
func (s *ShutdownTime) Announce(at time.Time) { s.announced.Store(&at) }

// Limit returns the given deadline, or the shutdown time if it is announced and earlier.
func (s *ShutdownTime) Limit(deadline time.Time) time.Time {
	at := s.announced.Load()
	if at == nil || deadline.Before(*at) {
		return deadline
	}
	return *at
}

// RunLimit returns the time that a target is given for work that has the remaining time at most, and
// whether the shutdown shortens it. It ends earlier than Limit, so that the target's own response
// arrives in time.
func (s *ShutdownTime) RunLimit(remaining time.Duration, now time.Time) (limit time.Duration, shortened bool) {
	at := s.announced.Load()
	if at == nil {
		return remaining, false
	}
	left := at.Add(-answerMargin).Sub(now)
	if remaining <= left {
		return remaining, false
	}
	return left, true
}

// Set sets and announces the shutdown time. From then on, only work that ends by it is allowed.
func (s *ShutdownTime) Set(at time.Time) {
	s.Announce(at)
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

// IsSet reports whether the shutdown time is set.
func (s *ShutdownTime) IsSet() bool { return s.at.Load() != nil }

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
