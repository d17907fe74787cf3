package ratelimit

import (
	"math/rand/v2"
	"time"
)

// queue is the requests of a tenant that wait for permits.
type queue struct {
	pool
	waiting []*waiter
	// asking tells that a holder is being asked.
	asking bool
}

type waiter struct {
	// decided receives the decision.
	decided chan Decision
	asked   int
	// until is how long it waits where no holder can be asked.
	until time.Time
}

// refusal is the decision on a request that finds no share open.
func (q *queue) refusal(now time.Time, asked int) Decision {
	at, closed := q.reopens(now)
	if !closed {
		return Decision{Outcome: Unavailable, RetryAfter: unavailableDelay + rand.N(unavailableDelay), HoldersAsked: asked}
	}
	wait := max(at.Sub(now), minAskPause)
	return Decision{Outcome: LimitReached, RetryAfter: wait + rand.N(wait), HoldersAsked: asked}
}

// serve gives permits to the requests that have waited longest.
func (q *queue) serve(now time.Time) {
	for len(q.waiting) > 0 {
		lapses, taken := q.take(now)
		if !taken {
			return
		}
		q.waiting[0].decided <- Decision{lapses: lapses, HoldersAsked: q.waiting[0].asked}
		q.waiting = q.waiting[1:]
	}
}

// refuse refuses those that wait no longer.
func (q *queue) refuse(now time.Time, waits func(*waiter) bool) {
	left := q.waiting[:0]
	for _, w := range q.waiting {
		if waits(w) {
			left = append(left, w)
			continue
		}
		w.decided <- q.refusal(now, w.asked)
	}
	q.waiting = left
}
