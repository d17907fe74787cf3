// Package pace spaces requests in time with a token bucket.
package pace

import (
	"sync"
	"time"
)

// Bucket is a token bucket whose tokens can be taken in advance: each taker
// learns how long to wait for its token. It is safe for concurrent use.
type Bucket struct {
	interval time.Duration
	burst    time.Duration

	mu sync.Mutex
	// next is the time at which the bucket's next token is due, had none been
	// saved up.
	next time.Time
	// pausedUntil is the time before which no token is given.
	pausedUntil time.Time
}

// NewBucket returns a full bucket with so many tokens a second that saves up
// at most burst tokens (at least one). A rate of zero or less does not limit.
func NewBucket(perSecond float64, burst int) *Bucket {
	if perSecond <= 0 {
		return &Bucket{}
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	return &Bucket{interval: interval, burst: interval * time.Duration(max(burst, 1)-1)}
}

// Reserve takes a token and returns how long to wait before it may be used. When
// that is longer than limit, no token is taken, ok is false and the wait is
// the time until a token will be free.
func (b *Bucket) Reserve(now time.Time, limit time.Duration) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	due := b.next
	if b.interval == 0 {
		// Without a rate only a pause holds anyone back: takers' clock readings
		// may come in another order than the takers.
		due = now
	}
	if earliest := now.Add(-b.burst); due.Before(earliest) {
		due = earliest
	}
	if due.Before(b.pausedUntil) {
		due = b.pausedUntil
	}
	wait = max(due.Sub(now), 0)
	if wait > limit {
		return wait, false
	}
	b.next = due.Add(b.interval)
	return wait, true
}

// Pause gives no token before the given time.
func (b *Bucket) Pause(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.pausedUntil) {
		b.pausedUntil = until
	}
}
