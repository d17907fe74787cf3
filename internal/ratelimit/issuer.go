package ratelimit

import (
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/routetable"
)

// TenantLookup returns the tenant of the given name in the current configuration, nil if there
// is none.
type TenantLookup func(name string) *routetable.Tenant

// Issuer issues permits from the shards that the node holds. It is safe for concurrent use.
type Issuer struct {
	bounds  Bounds
	tenants TenantLookup
	now     func() time.Time

	mutex  sync.Mutex
	shards [Shards]*shard
}

// shard is a shard that the node holds.
type shard struct {
	since, until time.Time
	// buckets holds the buckets by tenant name.
	buckets map[string]*bucket
}

// NewIssuer returns an issuer that holds no shard.
func NewIssuer(bounds Bounds, tenants TenantLookup, now func() time.Time) *Issuer {
	return &Issuer{bounds: bounds, tenants: tenants, now: now}
}

// Hold lets the node issue permits of the shard until the given time. No other node has issued
// any since the time from. The bucket starts empty at that time, because the previous holder may
// have issued all permits.
func (i *Issuer) Hold(number int, from, until time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	current := i.shards[number]
	if current == nil || !i.now().Before(current.until) {
		if current != nil && from.Before(current.until) {
			// The node itself issued permits until then.
			from = current.until
		}
		current = &shard{since: from, buckets: make(map[string]*bucket)}
		i.shards[number] = current
	}
	current.until = until
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
	return i.heldShard(number) != nil
}

func (i *Issuer) heldShard(number int) *shard {
	current := i.shards[number]
	if current == nil || !i.now().Before(current.until) {
		return nil
	}
	return current
}

// Issue handles a request for permits.
func (i *Issuer) Issue(request *PermitRequest) *Grant {
	tenant := i.tenants(request.Tenant)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	current := i.heldShard(shardOf(request.Tenant, request.Share))
	if current == nil {
		return &Grant{}
	}
	if tenant == nil {
		// The requesting node has a newer or an older configuration.
		delete(current.buckets, request.Tenant)
		return &Grant{Held: true, RetryAfter: minRetryDelay}
	}
	if !tenant.Limited() {
		return &Grant{Held: true, Issued: request.Needed}
	}
	b := current.bucketOf(tenant, i.bounds.capacity(tenant), i.now())
	grant := &Grant{Held: true, Validity: i.bounds.validity(tenant)}
	if request.WantsDemand {
		grant.Demand = b.currentDemand()
	}
	issued := b.issue(request)
	grant.Issued = issued
	if issued < request.Needed {
		grant.RetryAfter = b.retryDelay
	}
	return grant
}

// bucketOf returns the bucket of the tenant's share, refilled up to now. capacity is the capacity
// of all shares of the tenant together.
func (s *shard) bucketOf(tenant *routetable.Tenant, capacity float64, now time.Time) *bucket {
	b := s.buckets[tenant.Name]
	if b == nil {
		b = &bucket{created: now, updated: s.since, retryDelay: minRetryDelay}
		s.buckets[tenant.Name] = b
	}
	b.update(tenant.Rate/Shares, capacity/Shares, now)
	return b
}
