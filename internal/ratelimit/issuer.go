package ratelimit

import (
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/routetable"
)

// Tenants finds a tenant by its name in the configuration in force, nil if there is none.
type Tenants func(name string) *routetable.Tenant

// Issuer issues permits out of the shards that the node holds. It is safe for concurrent
// use.
type Issuer struct {
	bounds  Bounds
	tenants Tenants
	now     func() time.Time

	mutex  sync.Mutex
	shards [Shards]*shard
}

// shard is one while the node holds it.
type shard struct {
	since, until time.Time
	// buckets are the shares by their tenants.
	buckets map[string]*bucket
}

// NewIssuer returns an issuer that holds no shard.
func NewIssuer(bounds Bounds, tenants Tenants, now func() time.Time) *Issuer {
	return &Issuer{bounds: bounds, tenants: tenants, now: now}
}

// Hold has the node issue permits of the shard until the given moment. No other node issued
// any since the moment it is held from. What there was before is not known: the holder
// before may have issued all.
func (i *Issuer) Hold(number int, from, until time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	held := i.shards[number]
	if held == nil || !i.now().Before(held.until) {
		if held != nil && from.Before(held.until) {
			// The node itself issued until then.
			from = held.until
		}
		held = &shard{since: from, buckets: make(map[string]*bucket)}
		i.shards[number] = held
	}
	held.until = until
}

// Release ends the node's hold of the shard.
func (i *Issuer) Release(number int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.shards[number] = nil
}

// Holds reports whether the node holds the shard.
func (i *Issuer) Holds(number int) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.held(number) != nil
}

func (i *Issuer) held(number int) *shard {
	held := i.shards[number]
	if held == nil || !i.now().Before(held.until) {
		return nil
	}
	return held
}

// Issue answers a node that asks for permits.
func (i *Issuer) Issue(ask *PermitRequest) *Grant {
	tenant := i.tenants(ask.Tenant)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	held := i.held(shardOf(ask.Tenant, ask.Share))
	if held == nil {
		return &Grant{}
	}
	if tenant == nil {
		// The node that asks knows a newer configuration, or an older one.
		delete(held.buckets, ask.Tenant)
		return &Grant{Held: true, RetryAfter: minAskPause}
	}
	if !tenant.Limited() {
		return &Grant{Held: true, Issued: ask.Needed}
	}
	b := held.bucketOf(tenant, i.bounds.depth(tenant), i.now())
	issued := b.issue(ask)
	grant := &Grant{Held: true, Issued: issued, Validity: i.bounds.validity(tenant)}
	if issued < ask.Needed {
		grant.RetryAfter = b.pause
	}
	return grant
}

// bucketOf returns the bucket of the tenant's share, filled up to now; all shares together
// hold so many permits at most.
func (s *shard) bucketOf(tenant *routetable.Tenant, depth float64, now time.Time) *bucket {
	b := s.buckets[tenant.Name]
	if b == nil {
		b = &bucket{at: s.since, pause: minAskPause}
		s.buckets[tenant.Name] = b
	}
	b.adjust(tenant.Rate/Shares, depth/Shares, now)
	return b
}
