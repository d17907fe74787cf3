package ratelimit

import (
	"math"
	"time"

	"github.com/lugspur/lugspur/internal/fairshare"
)

const (
	// minRetryDelay and maxRetryDelay bound how long a node that found a share empty waits before
	// it requests permits from it again. The minimum limits the messages for a tenant far above its
	// limit: 71 nodes each send at most five requests a second to a share. The maximum limits the
	// wait of a tenant that reduces its request rate.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// adjustInterval is how often the retry delay is adapted to the number of permit requests.
	adjustInterval = 500 * time.Millisecond
	// requestsPerPermit is the target number of permit requests per permit of a share, to which the
	// retry delay is adapted. It exceeds one so that a delayed request leaves no permit unused.
	requestsPerPermit = 1.5
	// reservedFraction is the fraction of the burst that is issued only to waiting requests.
	// With 71 nodes and a tenant that sends 1.7 times its usual rate, 1.06 times its limit, the
	// limiter admits 0.988 of what an ideal one admits, and 0.961 if permits are prefetched down
	// to an empty bucket.
	reservedFraction = 0.5
	// maxAdjustFactor bounds how much one adjustment changes the retry delay.
	maxAdjustFactor = 2.0
)

// bucket is the token bucket of a share of a tenant's limit.
type bucket struct {
	// rate is in permits per second; level is at most capacity.
	rate, burst, level float64
	// updated is when level was computed.
	updated time.Time
	// retryDelay is sent to nodes that find the bucket empty. It is adapted to requests, the
	// number of permit requests since periodStart.
	retryDelay  time.Duration
	requests    int
	periodStart time.Time
	// demand measures the requests for permits, and created is the start of its clock.
	demand  fairshare.Counter
	created time.Time
}

// update refills the bucket up to the given time and applies a limit that may have changed.
func (b *bucket) update(rate, burst float64, now time.Time) {
	if b.rate == 0 {
		b.rate, b.burst = rate, burst
	}
	b.level = min(b.level+b.rate*max(now.Sub(b.updated).Seconds(), 0), b.capacity())
	b.updated = now
	b.rate, b.burst = rate, burst
	b.level = min(b.level, b.capacity())
	b.adjustRetryDelay(now)
}

// capacity is the burst, but at least one: a smaller bucket would never hold a whole permit.
func (b *bucket) capacity() float64 { return max(b.burst, 1) }

// issue takes the needed permits as far as available. Prefetched permits come only from what
// exceeds reservedFraction of the burst, because near the limit a permit that expires unused is
// lost to the tenant.
func (b *bucket) issue(request *PermitRequest) int {
	b.requests++
	needed := b.take(float64(request.Needed))
	prefetched := b.take(math.Min(float64(request.Prefetch), b.level-b.burst*reservedFraction))
	// A request that finds the share empty asks the other shares too.
	unserved := (float64(request.Needed) - needed) / Shares
	b.demand.Add(needed+prefetched+unserved, b.age())
	return int(needed + prefetched)
}

// currentDemand returns the demand in requests a second as of the last update.
func (b *bucket) currentDemand() float64 { return b.demand.Rate(b.age()) }

// age returns the time from the creation of the bucket to its last update, in nanoseconds.
func (b *bucket) age() int64 { return int64(b.updated.Sub(b.created)) }

func (b *bucket) take(count float64) float64 {
	taken := math.Floor(math.Max(math.Min(count, b.level), 0))
	b.level -= taken
	return taken
}

// adjustRetryDelay adapts the retry delay so that permit requests arrive about requestsPerPermit
// times as often as permits.
func (b *bucket) adjustRetryDelay(now time.Time) {
	if now.Sub(b.periodStart) < adjustInterval {
		return
	}
	if !b.periodStart.IsZero() {
		target := b.rate * now.Sub(b.periodStart).Seconds() * requestsPerPermit
		factor := math.Max(math.Min(float64(b.requests)/math.Max(target, 1), maxAdjustFactor), 1/maxAdjustFactor)
		b.retryDelay = min(max(time.Duration(float64(b.retryDelay)*factor), minRetryDelay), maxRetryDelay)
	}
	b.periodStart, b.requests = now, 0
}
