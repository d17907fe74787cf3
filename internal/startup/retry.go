package startup

import (
	"errors"
	"syscall"
	"time"
)

const (
	// firstDelay is the time between the first try and the second, maxDelay the longest time between
	// two tries.
	firstDelay = 10 * time.Millisecond
	maxDelay   = 500 * time.Millisecond
)

// transientErrors are the errors of the operating system that may pass without a change of the
// settings. An address may not be assigned to the machine yet (EADDRNOTAVAIL).
var transientErrors = []error{
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL,
	syscall.EMFILE, syscall.ENFILE,
	syscall.ENOMEM, syscall.ENOBUFS,
	syscall.EAGAIN, syscall.EINTR,
}

// transientError is an error that its step declares to be transient.
type transientError struct{ error }

// Unwrap returns the cause.
func (e transientError) Unwrap() error { return e.error }

// MarkTransient returns the error as one that may pass by itself.
func MarkTransient(err error) error { return transientError{err} }

// Transient reports whether an error may pass by itself.
func Transient(err error) bool {
	if _, marked := errors.AsType[transientError](err); marked {
		return true
	}
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// Limit says which errors end the tries of a step.
type Limit struct {
	// GiveUpAfter is the time after the first failure at which a transient error ends the tries.
	GiveUpAfter time.Duration
	// Optional steps are tried again whatever the error is and never given up.
	Optional bool
}

// Retry decides about the failures of one step.
type Retry struct {
	limit        Limit
	firstFailure time.Time
	delay        time.Duration
}

// NewRetry returns a Retry for a step that has not been tried.
func NewRetry(limit Limit) *Retry { return &Retry{limit: limit} }

// Failed takes the error of a try that failed at the given time. It returns the delay until the
// next try, false if there must be none.
func (r *Retry) Failed(at time.Time, err error) (delay time.Duration, again bool) {
	if r.delay == 0 {
		r.firstFailure, r.delay = at, firstDelay
	} else {
		r.delay = min(2*r.delay, maxDelay)
	}
	if r.limit.Optional {
		return r.delay, true
	}
	if !Transient(err) {
		return 0, false
	}
	remaining := r.limit.GiveUpAfter - at.Sub(r.firstFailure)
	if remaining <= 0 {
		return 0, false
	}
	return min(r.delay, remaining), true
}

// Delayed returns the time since the first failure, false if there was none.
func (r *Retry) Delayed(now time.Time) (time.Duration, bool) {
	if r.delay == 0 {
		return 0, false
	}
	return now.Sub(r.firstFailure), true
}
