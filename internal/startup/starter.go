package startup

import (
	"context"
	"time"
)

// Step is a step of the start.
type Step struct {
	// Name is what the step does, and Subject the address or file with which it does it.
	Name, Subject string
	Limit         Limit
	Try           func() error
}

// Observer is notified of steps that cannot be completed at once. Its methods are called by the
// goroutines that call Run.
type Observer interface {
	// StartDelayed reports the first failure of a step that is tried again.
	StartDelayed(step Step, err error)
	// StartResumed reports that a delayed step has succeeded, with the time since its first failure.
	StartResumed(step Step, delayed time.Duration)
	// StartFailed reports that a step has failed for good, with the time since its first failure.
	StartFailed(step Step, delayed time.Duration, err error)
}

// Starter runs steps. Zero functions stand for the system's clock.
type Starter struct {
	Observer Observer
	Now      func() time.Time
	// Wait waits for the duration. It returns false if the context ended first.
	Wait func(ctx context.Context, duration time.Duration) bool
}

// Run tries the step until it succeeds. It returns the error of the last try if there must be no
// further one, and the context's error if the context ended between two tries.
func (s *Starter) Run(ctx context.Context, step Step) error {
	retry := NewRetry(step.Limit)
	for {
		err := step.Try()
		now := s.now()
		delayed, failedBefore := retry.Delayed(now)
		if err == nil {
			if failedBefore {
				s.Observer.StartResumed(step, delayed)
			}
			return nil
		}
		delay, again := retry.Failed(now, err)
		if !again {
			s.Observer.StartFailed(step, delayed, err)
			return err
		}
		if !failedBefore {
			s.Observer.StartDelayed(step, err)
		}
		if !s.wait(ctx, delay) {
			return ctx.Err()
		}
	}
}

func (s *Starter) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

func (s *Starter) wait(ctx context.Context, duration time.Duration) bool {
	if s.Wait != nil {
		return s.Wait(ctx, duration)
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
