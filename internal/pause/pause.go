// Package pause provides a sleep that ends early with a context.
package pause

import (
	"context"
	"time"
)

// For waits until the duration has passed or the context ends, and reports whether the duration
// passed first. If the duration is zero or negative, it doesn't wait and reports whether the
// context is still active.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
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
