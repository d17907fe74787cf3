package ratelimit

import (
	"math/rand/v2"
	"time"
)

const (
	// prefetchFraction is the fraction of the requests expected within the validity of permits for
	// which permits are prefetched: permits beyond the actual requests expire unused.
	prefetchFraction = 0.7
	// maxPrefetch bounds the permits that one permit request prefetches.
	maxPrefetch = 64
	// demandPeriod is the period over which the requests of a tenant are counted.
	demandPeriod = time.Second
)

// pool holds the permits of a tenant on a node and the state of the tenant's shares. It is not
// safe for concurrent use.
type pool struct {
	batches []permitBatch
	// emptyUntil holds the times until which the shares have no permits, as their holders
	// reported.
	emptyUntil [Shares]time.Time
	// validity is the validity of the last permits received.
	validity time.Duration
	// demand counts the requests of the tenant since periodStart, and previousDemand those of
	// the period before.
	demand, previousDemand int
	periodStart            time.Time
	// reported holds the demand of each share as its holder last reported it.
	reported [Shares]reportedDemand
}

// reportedDemand is a share's demand in requests a second, and the time at which it was
// requested.
type reportedDemand struct {
	rate float64
	at   time.Time
}

// maxDemandAge is how long a reported demand counts. It is a few times as long as a burst takes
// to show in the average of a holder.
const maxDemandAge = 3 * time.Second

// currentDemand returns the demand of all shares in requests a second, given the mean of those
// whose demand is known; false if none is.
func (p *pool) currentDemand(now time.Time) (rate float64, known bool) {
	sum, count := 0.0, 0
	for _, share := range p.reported {
		if share.rate > 0 && now.Sub(share.at) <= maxDemandAge {
			sum, count = sum+share.rate, count+1
		}
	}
	return sum / float64(max(count, 1)) * Shares, count > 0
}

// permitBatch is a number of permits that expire together.
type permitBatch struct {
	count   int
	expires time.Time
}

// countRequest counts a request of the tenant.
func (p *pool) countRequest(now time.Time) {
	if elapsed := now.Sub(p.periodStart); elapsed >= demandPeriod {
		p.previousDemand = 0
		if elapsed < 2*demandPeriod {
			p.previousDemand = p.demand
		}
		p.demand, p.periodStart = 0, now
	}
	p.demand++
}

// take uses up the permit that expires first and returns its expiry.
func (p *pool) take(now time.Time) (expires time.Time, taken bool) {
	for len(p.batches) > 0 {
		first := &p.batches[0]
		if first.count > 0 && first.expires.After(now) {
			first.count--
			return first.expires, true
		}
		p.batches = p.batches[1:]
	}
	return time.Time{}, false
}

// add adds permits.
func (p *pool) add(count int, expires time.Time) {
	if count <= 0 {
		return
	}
	p.batches = append(p.batches, permitBatch{count: count, expires: expires})
}

// prefetch returns how many permits to request beyond those needed now.
func (p *pool) prefetch() int {
	rate := float64(max(p.previousDemand, p.demand)) / demandPeriod.Seconds()
	return min(int(rate*p.validity.Seconds()*prefetchFraction), maxPrefetch)
}

// pickShare returns a random share that may have permits and whose holder is available.
func (p *pool) pickShare(now time.Time, available func(share int) bool) (share int, found bool) {
	for _, share := range rand.Perm(Shares) {
		if !p.emptyUntil[share].After(now) && available(share) {
			return share, true
		}
	}
	return 0, false
}

// nextRetry returns when the first of the empty shares may have permits again, false if no share
// is empty.
func (p *pool) nextRetry(now time.Time) (at time.Time, empty bool) {
	for _, until := range p.emptyUntil {
		if until.After(now) && (!empty || until.Before(at)) {
			at, empty = until, true
		}
	}
	return at, empty
}

// applyGrant processes the response to a permit request that was sent at the time requested.
func (p *pool) applyGrant(share int, grant *Grant, needed int, requested, now time.Time) {
	if grant.Issued > 0 {
		p.validity = grant.Validity
	}
	p.add(grant.Issued, requested.Add(grant.Validity))
	if grant.Demand > 0 {
		p.reported[share] = reportedDemand{rate: grant.Demand, at: requested}
	}
	if grant.Issued < needed {
		// Jitter spreads the retries of nodes that received the same delay.
		p.emptyUntil[share] = now.Add(grant.RetryAfter/2 + rand.N(max(grant.RetryAfter, 1)))
	}
}
