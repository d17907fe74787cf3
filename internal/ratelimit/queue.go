package ratelimit

import (
	"math/rand/v2"
	"time"
)

// queue holds the requests of a tenant that wait for permits.
type queue struct {
	pool
	waiters []*waiter
	// requesting reports that requestPermits is running for the tenant.
	requesting bool
}

type waiter struct {
	// decision receives the decision.
	decision     chan Decision
	holdersAsked int
	// deadline is until when the request waits while no holder is available.
	deadline time.Time
}

// refusal returns the decision on a request for which no share may have permits.
func (q *queue) refusal(now time.Time, holdersAsked int) Decision {
	at, empty := q.nextRetry(now)
	if !empty {
		return Decision{Outcome: Unavailable, RetryAfter: unavailableRetryAfter + rand.N(unavailableRetryAfter), HoldersAsked: holdersAsked}
	}
	wait := max(at.Sub(now), minRetryDelay)
	return Decision{Outcome: LimitReached, RetryAfter: wait + rand.N(wait), HoldersAsked: holdersAsked}
}

// serve gives permits to waiting requests in the order of their arrival.
func (q *queue) serve(now time.Time) {
	for len(q.waiters) > 0 {
		expires, taken := q.take(now)
		if !taken {
			return
		}
		q.waiters[0].decision <- Decision{expires: expires, HoldersAsked: q.waiters[0].holdersAsked}
		q.waiters = q.waiters[1:]
	}
}

// refuseExpired refuses the waiting requests for which mayWait returns false.
func (q *queue) refuseExpired(now time.Time, mayWait func(*waiter) bool) {
	remaining := q.waiters[:0]
	for _, w := range q.waiters {
		if mayWait(w) {
			remaining = append(remaining, w)
			continue
		}
		w.decision <- q.refusal(now, w.holdersAsked)
	}
	q.waiters = remaining
}
