package clock

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// System is the clock of the machine.
var System = New(systemSource())

// Now returns the time of the machine's clock.
func Now() time.Time { return System.Now() }

// Since returns the time since a moment of the machine's clock.
func Since(moment time.Time) time.Duration { return System.Since(moment) }

// WithDeadline returns a context that ends at a moment of the machine's clock.
func WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return System.WithDeadline(parent, at)
}

// WithTimeout returns a context that ends after a span of the machine's clock.
func WithTimeout(parent context.Context, span time.Duration) (context.Context, context.CancelFunc) {
	return System.WithDeadline(parent, Now().Add(span))
}

// Expired reports whether a context has ended by its deadline.
func Expired(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

func systemSource() Source {
	began := time.Now()
	return Source{
		Read: func() Reading {
			now := time.Now()
			return Reading{Wall: now.Round(0), Steady: now.Sub(began)}
		},
		SinceBoot: func() (time.Duration, error) {
			var read unix.Timespec
			err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read)
			return time.Duration(read.Nano()), err
		},
	}
}
