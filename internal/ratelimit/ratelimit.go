// Package ratelimit enforces the rate limits of tenants across all nodes.
//
// A tenant's limit is divided into shares, each of which is a token bucket. The shares of all
// tenants are distributed over shards, and each shard is held by one node under a lease of the
// store. Nodes at which requests enter request permits from the holders, one for each request.
// They prefetch some for tenants with a high request rate, and request none while they have some
// or a holder has reported its share as empty. Permits expire quickly enough that the issued but
// unused ones stay within the allowed excess over the limit. Permits therefore need not be
// tracked: those of nodes that crash or are partitioned simply expire. While a shard has lost
// its holder, its shares of the limits are unavailable until the lease ends.
package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/routetable"
)

// Shares is the number of parts of each limit. With four, the loss of a holder costs a quarter
// of the limit until another node takes over its share, and a tenant with few requests seldom
// finds a share empty while others have permits.
const Shares = 4

// Shards is the number of parts into which all shares are grouped. With 16, no node handles more
// than a sixteenth of the permit requests, of which there are about as many as requests of
// tenants: 160 of 2,600 a second. Each shard costs the store one lease renewal every 1.5 s.
const Shards = 16

// shardOf returns the shard that contains a share of the tenant's limit. No shard contains two
// shares of a tenant.
func shardOf(tenant string, share int) int {
	return int((xxhash.Sum64String(tenant) + uint64(share*Shards/Shares)) % Shards)
}

// Bounds limit how far the executed requests of a tenant may exceed its limit.
type Bounds struct {
	// Window is the period over which a limit is measured.
	Window time.Duration
	// Overshoot is the fraction of the limit by which a window may exceed it, and Slack an
	// additional number of requests.
	Overshoot, Slack float64
}

const (
	// minValidity is the least validity of permits. A waiting request must receive its permit
	// within it, and a permit request takes some milliseconds.
	minValidity = 100 * time.Millisecond
	// maxValidity caps the validity of permits where the bounds would allow more: a permit that
	// is unused by then is better issued to another node.
	maxValidity = 2 * time.Second
	// minFillTime is the least time in which the shares of a tenant fill. Nodes that found a share
	// empty request permits from it again after 0.1 to 0.3 s; if the share fills in less, it is
	// full by then and the permits that it would accrue are lost. With 5 nodes, a rate of 50, a
	// burst of 10 and 8 times the rate offered, the limiter admits 0.83 of what an ideal one admits
	// without a minimum time, 0.93 with 0.3 s and 1.00 with 0.5 s.
	minFillTime = 500 * time.Millisecond
	// reservedValidity is the validity of permits that is preserved when the capacity of the
	// shares is raised for minFillTime.
	reservedValidity = 300 * time.Millisecond
	// arrivalDelay is how long after the expiry of its permit a request may arrive at a target:
	// the network delay between nodes and a short wait at the target.
	arrivalDelay = 150 * time.Millisecond
)

// excess returns how many requests of the tenant may be executed beyond its limit in a window.
func (b Bounds) excess(tenant *routetable.Tenant) float64 {
	return (tenant.Rate*b.Window.Seconds()+tenant.Burst)*b.Overshoot + b.Slack
}

// capacity returns how many permits all shares of the tenant together may hold: its burst, or
// more if the burst is small, as far as the excess leaves permits reservedValidity. Each share
// holds at least one permit.
func (b Bounds) capacity(tenant *routetable.Tenant) float64 {
	available := b.excess(tenant) - tenant.Rate*(reservedValidity+arrivalDelay).Seconds()
	missing := tenant.Rate*minFillTime.Seconds() - tenant.Burst
	return max(tenant.Burst+max(min(missing, available), 0), Shares)
}

// validity returns how long a permit of the tenant may be used after it was requested. All
// permits issued in a window and in the validity before it may be used in that window, and so
// may those that the shares had accumulated before.
func (b Bounds) validity(tenant *routetable.Tenant) time.Duration {
	remaining := b.excess(tenant) - (b.capacity(tenant) - tenant.Burst)
	validity := time.Duration(remaining / tenant.Rate * float64(time.Second))
	return min(max(validity-arrivalDelay, minValidity), maxValidity)
}

// PermitRequest is a request for permits to the holder of a share of a tenant's limit.
type PermitRequest struct {
	_      struct{} `cbor:",toarray"`
	Share  int
	Tenant string
	// Needed is the number of requests that wait for a permit, and Prefetch the number of
	// further requests expected within the validity of permits.
	Needed, Prefetch int
	// WantsDemand asks the holder to report the demand. See Wire for its encoding.
	WantsDemand bool `cbor:"-"`
}

// Valid reports whether the request is well-formed.
func (r *PermitRequest) Valid() bool {
	return r.Share >= 0 && r.Share < Shares && r.Needed >= 0 && r.Prefetch >= 0
}

// Grant is a holder's response to a request for permits.
type Grant struct {
	_ struct{} `cbor:",toarray"`
	// Held reports that the node holds the shard of the share; otherwise the other fields have
	// no meaning.
	Held bool
	// Issued is the number of permits issued.
	Issued int
	// Validity is how long the permits may be used after they were requested.
	Validity time.Duration
	// RetryAfter is the delay before the next request if fewer permits than needed were issued.
	RetryAfter time.Duration
	// Demand is the rate at which the holder observes requests for permits of the share, in
	// requests a second; 0 means that it is not known. See Wire for its encoding.
	Demand float64 `cbor:"-"`
}
