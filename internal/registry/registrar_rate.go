package registry

import (
	"time"

	"github.com/lugspur/lugspur/internal/targetrate"
)

const (
	// ratePublishInterval is the least time between two writes of the record because of rate
	// limits, which may change with every response of the target.
	ratePublishInterval = time.Second
	// significantRateRatio is the ratio of two rate limits from which on the record is written.
	significantRateRatio = 1.5
)

// ratePublication limits how often the record is written because of rate limits.
type ratePublication struct {
	// published is the rate limit in the latest record.
	published   targetrate.Announcement
	publishedAt time.Time
	// pending is set while a write is scheduled.
	pending bool
}

// isSignificant reports whether a rate limit differs enough from the published one.
func (p *ratePublication) isSignificant(announced targetrate.Announcement) bool {
	if announced.Limited != p.published.Limited {
		return true
	}
	higher := max(announced.Rate, p.published.Rate, targetrate.MinRate)
	lower := max(min(announced.Rate, p.published.Rate), targetrate.MinRate)
	return higher >= significantRateRatio*lower
}

// SetRateLimit publishes the rate limit that the incarnation announced. Other nodes offer requests
// to its node with care, and a later process on this machine enforces the limit from its start.
func (r *Registrar) SetRateLimit(incarnation Incarnation, announced targetrate.Announcement) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.target.Incarnation() != incarnation {
		return
	}
	r.target.RateLimit = announced
	r.publishRate()
}

// publishRate publishes the current rate limit, later if the last one was published a short time
// ago. The caller holds the mutex.
func (r *Registrar) publishRate() {
	if r.rate.pending || !r.rate.isSignificant(r.target.RateLimit) {
		return
	}
	now := r.now()
	if wait := r.rate.publishedAt.Add(ratePublishInterval).Sub(now); wait > 0 {
		r.rate.pending = true
		time.AfterFunc(wait, r.publishPendingRate)
		return
	}
	r.rate.publishedAt = now
	r.publishRecord()
}

func (r *Registrar) publishPendingRate() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.rate.pending = false
	r.publishRate()
}
