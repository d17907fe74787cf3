// Package pace limits the rate of requests with a token bucket.
package pace

import (
	"sync"
	"time"
)

// Bucket is a token bucket whose tokens can be reserved in advance: a reservation
// returns how long to wait for its token. It is safe for concurrent use.
type Bucket struct {
	interval time.Duration
	burst    time.Duration

	mu sync.Mutex
	// nextToken is the time at which the next token would be due without a burst
	// allowance.
	nextToken time.Time
	// pausedUntil is the time before which no token becomes usable.
	pausedUntil time.Time
}

// NewBucket returns a full bucket that gains rate tokens per second and holds at
// most burst tokens, at least one. A rate of zero or less means no limit.
func NewBucket(rate float64, burst int) *Bucket {
	if rate <= 0 {
		return &Bucket{}
	}
	interval := time.Duration(float64(time.Second) / rate)
	return &Bucket{interval: interval, burst: interval * time.Duration(max(burst, 1)-1)}
}

// Reserve reserves a token and returns how long to wait before it may be used. If
// that is longer than maxWait, no token is reserved, ok is false and wait is the time
// until a token will be available.
func (b *Bucket) Reserve(now time.Time, maxWait time.Duration) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	due := b.nextToken
	if b.interval == 0 {
		// Without a rate only a pause delays a caller. nextToken must not, since
		// concurrent callers may arrive in another order than they read the clock.
		due = now
	}
	if earliest := now.Add(-b.burst); due.Before(earliest) {
		due = earliest
	}
	if due.Before(b.pausedUntil) {
		due = b.pausedUntil
	}
	wait = max(due.Sub(now), 0)
	if wait > maxWait {
		return wait, false
	}
	b.nextToken = due.Add(b.interval)
	return wait, true
}

// Pause makes all tokens reserved from now on usable only from the given time.
func (b *Bucket) Pause(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.pausedUntil) {
		b.pausedUntil = until
	}
}
