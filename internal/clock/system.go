package clock

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// System is the clock of the local machine.
var System = New(newSystemSource())

// Now returns the current time of the System clock.
func Now() time.Time { return System.Now() }

// Since returns the time elapsed since an earlier time of the System clock.
func Since(earlier time.Time) time.Duration { return System.Since(earlier) }

// WithDeadline calls System.WithDeadline.
func WithDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return System.WithDeadline(parent, deadline)
}

// WithTimeout is like WithDeadline with a deadline after the timeout from now.
func WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return System.withDeadline(parent, Now().Add(timeout), timeout)
}

// Expired reports whether a context ended because its deadline passed.
func Expired(ctx context.Context) bool {
	return errors.Is(Cause(ctx), context.DeadlineExceeded)
}

func newSystemSource() Source {
	start := time.Now()
	return Source{
		Read: func() Reading {
			now := time.Now()
			return Reading{Wall: now.Round(0), Monotonic: now.Sub(start)}
		},
		SinceBoot: func() (time.Duration, error) {
			var timespec unix.Timespec
			err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &timespec)
			return time.Duration(timespec.Nano()), err
		},
	}
}
