package ratelimit

import (
	"math"
	"time"
)

const (
	// minAskPause and maxAskPause bound the time for which a node that found a share
	// empty doesn't ask it again. The least keeps a tenant far beyond its limit from
	// costing messages: 71 nodes ask each share five times a second at most. The most
	// bounds what a tenant waits that sends less again.
	minAskPause = 200 * time.Millisecond
	maxAskPause = time.Second
	// pausePeriod is how often the pause follows the number of asks.
	pausePeriod = 500 * time.Millisecond
	// asksPerPermit is how many asks the pause aims at for each permit that a share has:
	// with more than one an ask that is late leaves no permit unused.
	asksPerPermit = 1.5
	// sparePart is the part of the burst that is issued only to requests that wait. A
	// tenant that sends 1.7 times its usual, 1.06 times its limit, is admitted 0.988 of what
	// it is due with 71 nodes, and 0.961 with permits ahead down to an empty bucket.
	sparePart = 0.5
	// maxPauseStep bounds how fast the pause follows.
	maxPauseStep = 2.0
)

// bucket holds the permits of a tenant's share of its limit.
type bucket struct {
	// rate is in permits a second; level is at most burst, or one.
	rate, burst, level float64
	// at is when the level held.
	at time.Time
	// pause is told to nodes that find the bucket empty. It follows asks, which are those
	// since the beginning of the period.
	pause  time.Duration
	asks   int
	period time.Time
}

// adjust fills the bucket up to the moment and takes a limit that may have changed.
func (b *bucket) adjust(rate, burst float64, now time.Time) {
	if b.rate == 0 {
		b.rate, b.burst = rate, burst
	}
	b.level = min(b.level+b.rate*max(now.Sub(b.at).Seconds(), 0), b.leastBurst())
	b.at = now
	b.rate, b.burst = rate, burst
	b.level = min(b.level, b.leastBurst())
	b.follow(now)
}

// leastBurst is the burst, and at least one: a bucket that holds less never has a permit.
func (b *bucket) leastBurst() float64 { return max(b.burst, 1) }

// issue takes what is needed as far as there is. Ahead it takes only what the bucket holds
// beyond a part of the burst: near the limit a permit that lapses unused is one too few.
func (b *bucket) issue(ask *PermitRequest) int {
	b.asks++
	needed := b.take(float64(ask.Needed))
	ahead := b.take(math.Min(float64(ask.Ahead), b.level-b.burst*sparePart))
	return int(needed + ahead)
}

func (b *bucket) take(wanted float64) float64 {
	taken := math.Floor(math.Max(math.Min(wanted, b.level), 0))
	b.level -= taken
	return taken
}

// follow moves the pause so that asks come about as often as permits.
func (b *bucket) follow(now time.Time) {
	if now.Sub(b.period) < pausePeriod {
		return
	}
	if !b.period.IsZero() {
		aim := b.rate * now.Sub(b.period).Seconds() * asksPerPermit
		step := math.Max(math.Min(float64(b.asks)/math.Max(aim, 1), maxPauseStep), 1/maxPauseStep)
		b.pause = min(max(time.Duration(float64(b.pause)*step), minAskPause), maxAskPause)
	}
	b.period, b.asks = now, 0
}
