// Package pause waits for a while or for the end of a context, whichever comes first.
package pause

import (
	"context"
	"time"
)

// For waits for the duration and reports whether it passed before the context ended. It does
// not wait for one of zero or less.
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
