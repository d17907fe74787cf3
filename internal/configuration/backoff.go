package configuration

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
)

// backoff spaces repeated attempts: each pause is random up to a bound that
// doubles.
type backoff struct {
	bound time.Duration
	least time.Duration
	most  time.Duration
}

func newBackoff(least, most time.Duration) *backoff {
	return &backoff{bound: least, least: least, most: most}
}

// wait pauses and returns the context's error if it ended meanwhile.
func (b *backoff) wait(ctx context.Context) error {
	chosen := b.bound/2 + jitter(b.bound/2)
	b.bound = min(2*b.bound, b.most)
	pause.For(ctx, chosen)
	return ctx.Err()
}

func (b *backoff) reset() { b.bound = b.least }

// jitter returns a random duration below the bound.
func jitter(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return rand.N(bound)
}
