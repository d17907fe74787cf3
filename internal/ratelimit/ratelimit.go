// Package ratelimit holds tenants to their limits over all nodes together.
//
// A tenant's limit is divided into shares, each a token bucket. The shares of all tenants
// are spread over shards, each held by one node under a lease of the store. Nodes where
// requests begin ask holders for permits, one for each request, some ahead where the tenant
// sends much, and none while they have some or were told that there are none for a while. A
// permit lasts so briefly that what is issued but not yet used stays within what may run
// beyond the limit, so that nobody needs to know what became of it: permits of nodes that
// crash or are cut off simply lapse. A holder that is lost takes its shares of the limits
// with it until its lease ends.
package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/routetable"
)

// Shares is the number of parts of each limit. With four a holder that is lost costs a
// quarter of the limit until another node takes its share, and a tenant with few requests
// seldom finds a share empty while others have permits.
const Shares = 4

// Shards is the number of parts into which all shares are put. With 16 no node answers more
// than a sixteenth of the asks, which are about as many as requests of tenants: 160 of 2,600
// a second. Each shard costs the store a renewal in 1.5 s.
const Shards = 16

// shardOf returns the shard that holds a share of the tenant's limit. No shard holds two.
func shardOf(tenant string, share int) int {
	return int((xxhash.Sum64String(tenant) + uint64(share*Shards/Shares)) % Shards)
}

// Bounds say how far what runs for a tenant may go beyond its limit.
type Bounds struct {
	// Window is the span over which a limit holds.
	Window time.Duration
	// Overshoot is the part of the limit that may run beyond it in a window, and Slack
	// the number of requests beyond that.
	Overshoot, Slack float64
}

const (
	// minValidity is the time within which a request that waits must have its permit: an
	// ask takes some milliseconds.
	minValidity = 100 * time.Millisecond
	// maxValidity bounds the validity of permits where the bounds would allow more: a
	// permit that was not used by then is better issued to another node.
	maxValidity = 2 * time.Second
	// leastDepth is the time within which the shares of a tenant fill, at least. Nodes that
	// found a share empty ask it again after 0.1 to 0.3 s; where the burst fills in less, the
	// share is full meanwhile, and what it would gain is lost. With 5 nodes, a rate of 50 and
	// a burst of 10, sent 8 times over, 0.83 of what is due is admitted without it, 0.93 with
	// 0.3 s and 1.00 with 0.5 s.
	leastDepth = 500 * time.Millisecond
	// leastValidity is left to permits by what the shares may hold for leastDepth.
	leastValidity = 300 * time.Millisecond
	// useDelay is how much later than its permit lapses a request may arrive at a target:
	// the time between nodes and a short wait there.
	useDelay = 150 * time.Millisecond
)

// beyond returns how many requests of the tenant may run beyond its limit in a window.
func (b Bounds) beyond(tenant *routetable.Tenant) float64 {
	return (tenant.Rate*b.Window.Seconds()+tenant.Burst)*b.Overshoot + b.Slack
}

// depth returns how many permits all shares of the tenant together may hold: its burst, or
// more where that is small, as far as what may run beyond the limit leaves permits their
// validity. Each share holds one permit at least.
func (b Bounds) depth(tenant *routetable.Tenant) float64 {
	spare := b.beyond(tenant) - tenant.Rate*(leastValidity+useDelay).Seconds()
	wanted := tenant.Rate*leastDepth.Seconds() - tenant.Burst
	return max(tenant.Burst+max(min(wanted, spare), 0), Shares)
}

// validity returns how long a permit of the tenant may be used after it was asked for.
// What is issued in a window and in the validity before it may all run in the window, and
// so may what the shares held before it.
func (b Bounds) validity(tenant *routetable.Tenant) time.Duration {
	left := b.beyond(tenant) - (b.depth(tenant) - tenant.Burst)
	validity := time.Duration(left / tenant.Rate * float64(time.Second))
	return min(max(validity-useDelay, minValidity), maxValidity)
}

// PermitRequest asks the holder of a share of a tenant's limit for permits.
type PermitRequest struct {
	_      struct{} `cbor:",toarray"`
	Share  int
	Tenant string
	// Needed is the number of requests that wait for a permit, and Ahead the number
	// that is expected within the validity of permits.
	Needed, Ahead int
}

// Valid reports whether the ask is one that a node may send.
func (a *PermitRequest) Valid() bool {
	return a.Share >= 0 && a.Share < Shares && a.Needed >= 0 && a.Ahead >= 0
}

// Grant is a holder's answer.
type Grant struct {
	_ struct{} `cbor:",toarray"`
	// Held tells that the node holds the shard of the share; without it the grant says
	// nothing.
	Held bool
	// Issued is the number of permits.
	Issued int
	// Validity is how long the permits may be used after they were asked for.
	Validity time.Duration
	// RetryAfter is when to ask again if not all that was needed was issued.
	RetryAfter time.Duration
}
