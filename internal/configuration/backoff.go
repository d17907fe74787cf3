package configuration

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
)

// backoff is an exponential backoff with jitter: each delay is random between
// half the bound and the bound, which then doubles up to maxBound.
type backoff struct {
	bound    time.Duration
	minBound time.Duration
	maxBound time.Duration
}

func newBackoff(minBound, maxBound time.Duration) *backoff {
	return &backoff{bound: minBound, minBound: minBound, maxBound: maxBound}
}

// wait sleeps for the next delay. It returns the context's error if the
// context ended meanwhile.
func (b *backoff) wait(ctx context.Context) error {
	delay := b.bound/2 + jitter(b.bound/2)
	b.bound = min(2*b.bound, b.maxBound)
	pause.For(ctx, delay)
	return ctx.Err()
}

func (b *backoff) reset() { b.bound = b.minBound }

// jitter returns a random duration in [0, bound).
func jitter(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return rand.N(bound)
}
