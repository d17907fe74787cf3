package ratelimit

import (
	"math/rand/v2"
	"time"
)

const (
	// aheadPart is the part of the requests expected within the validity of permits for
	// which permits are asked ahead: what is expected too much lapses.
	aheadPart = 0.7
	// maxAhead bounds the permits that one ask takes ahead.
	maxAhead = 64
	// demandPeriod is the time over which a tenant's requests are counted.
	demandPeriod = time.Second
)

// pool holds what a node has and knows of a tenant's permits. It is not safe for
// concurrent use.
type pool struct {
	permits []permits
	// closed tells until when the shares have none, as their holders said.
	closed [Shares]time.Time
	// validity is that of the permits that came last.
	validity time.Duration
	// demand counts the tenant's requests in the present period, and before in the one
	// before it.
	demand, before int
	period         time.Time
}

// permits may be used until they lapse.
type permits struct {
	count  int
	lapses time.Time
}

// count notes a request of the tenant.
func (p *pool) count(now time.Time) {
	if passed := now.Sub(p.period); passed >= demandPeriod {
		p.before = 0
		if passed < 2*demandPeriod {
			p.before = p.demand
		}
		p.demand, p.period = 0, now
	}
	p.demand++
}

// take takes the permit that lapses first, and reports when.
func (p *pool) take(now time.Time) (lapses time.Time, taken bool) {
	for len(p.permits) > 0 {
		first := &p.permits[0]
		if first.count > 0 && first.lapses.After(now) {
			first.count--
			return first.lapses, true
		}
		p.permits = p.permits[1:]
	}
	return time.Time{}, false
}

// add takes permits.
func (p *pool) add(count int, lapses time.Time) {
	if count <= 0 {
		return
	}
	p.permits = append(p.permits, permits{count: count, lapses: lapses})
}

// ahead returns how many permits to ask for beyond what is needed now.
func (p *pool) ahead() int {
	rate := float64(max(p.before, p.demand)) / demandPeriod.Seconds()
	return min(int(rate*p.validity.Seconds()*aheadPart), maxAhead)
}

// open returns a share at random that may have permits and whose holder can be asked.
func (p *pool) open(now time.Time, askable func(share int) bool) (share int, found bool) {
	for _, share := range rand.Perm(Shares) {
		if !p.closed[share].After(now) && askable(share) {
			return share, true
		}
	}
	return 0, false
}

// reopens returns when the first share that is closed may have permits again, false if
// none is closed.
func (p *pool) reopens(now time.Time) (at time.Time, closed bool) {
	for _, until := range p.closed {
		if until.After(now) && (!closed || until.Before(at)) {
			at, closed = until, true
		}
	}
	return at, closed
}

// granted takes the answer to what was asked of a share at the given moment.
func (p *pool) granted(share int, grant *Grant, needed int, asked, now time.Time) {
	if grant.Issued > 0 {
		p.validity = grant.Validity
	}
	p.add(grant.Issued, asked.Add(grant.Validity))
	if grant.Issued < needed {
		// Nodes that are told the same come back at different times.
		p.closed[share] = now.Add(grant.RetryAfter/2 + rand.N(max(grant.RetryAfter, 1)))
	}
}
