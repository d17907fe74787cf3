// Package apikey authenticates requests by their API keys, taking into account how long ago the
// configuration that holds the keys was verified.
//
// A revoked key must stop working everywhere within the operator's bound, even at nodes that
// reach neither the store nor a peer. A node therefore accepts no key if its configuration was
// verified longer ago than the bound. It rejects a key for good only if the configuration is
// recent: a key that was never known may just have been added, and its request waits for a
// verification later than its arrival.
package apikey

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/routetable"
)

// Outcome is the result of a check.
type Outcome uint8

const (
	// Allowed means that the request may proceed.
	Allowed Outcome = iota
	// Missing means that the request carries no key, or several, though its route requires one.
	Missing
	// Unknown means that no tenant holds the key of the request.
	Unknown
	// Unverified means that the request can't be decided: the configuration may be outdated.
	Unverified
)

var outcomeNames = [...]string{"allowed", "no API key", "unknown API key", "the API key can't be checked"}

// String returns the text for problem documents and logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Decision is the result of a check with its grounds.
type Decision struct {
	Outcome Outcome
	// Tenant holds the request's key; nil on public routes and if there are no tenants.
	Tenant *routetable.Tenant
	// Age is the age of the verification that the decision is based on, negative if there was
	// none.
	Age time.Duration
	// RetryAfter is when to retry a request that can't be decided.
	RetryAfter time.Duration
}

// Verification reports how recent the applied configuration is known to be.
type Verification interface {
	// VerifiedAt returns a time at which the newest configuration in the store was the one that
	// is applied now, or an older one; zero if none is known.
	VerifiedAt() time.Time
	// Await waits until the condition holds. The condition is called with the result of
	// VerifiedAt whenever that or the configuration may have changed, and must not call the
	// verification.
	Await(ctx context.Context, condition func(verified time.Time) bool) error
}

const (
	// maxRecentAge is the age up to which a verification is recent enough to reject a revoked
	// or missing key. It is at most the time within which a change of the configuration must be
	// applied everywhere: 2 s where that is shortest.
	maxRecentAge = 2 * time.Second
	// lookupTimeout bounds the wait of a request with a key that was never known. A node
	// receives a verification later than the request after 1 s plus the latency from the node
	// that made it, which is some tenths of a second.
	lookupTimeout = 2 * time.Second
	// maxLookups bounds the requests that wait at once. Each holds a connection and some
	// kilobytes; further requests are Unverified, with a retry delay.
	maxLookups = 64
	// minRetryDelay is the minimum retry delay for undecided requests; the maximum is twice
	// that. Nodes probe an unreachable store every 0.6 s, and random delays keep callers from
	// retrying at the same time.
	minRetryDelay = 500 * time.Millisecond
	// clockMargin is how much earlier than the bound keys stop working, as the clocks of nodes
	// run at slightly different speeds.
	clockMargin = 50 * time.Millisecond
)

// Checker checks the API keys of requests. It is safe for concurrent use.
type Checker struct {
	routes       *routetable.Holder
	verification Verification
	// maxAge bounds the age of the verification; zero means no bound.
	maxAge  time.Duration
	lookups atomic.Int64
}

// NewChecker returns a checker of the keys in the applied configuration. maxAge is the time
// after which a revoked key must not work; if it is zero, a key works as long as the node's
// configuration holds it.
func NewChecker(routes *routetable.Holder, verification Verification, maxAge time.Duration) *Checker {
	return &Checker{routes: routes, verification: verification, maxAge: maxAge}
}

// Check decides on a request to a route that is not public. The request arrived at the given
// time with the given values of its key header. Check may wait for a verification.
func (c *Checker) Check(ctx context.Context, keys []string, arrived time.Time) Decision {
	decision, final := c.decide(keys, arrived, c.verification.VerifiedAt())
	if final {
		return decision
	}
	if c.lookups.Add(1) <= maxLookups {
		decision, final = c.awaitDecision(ctx, keys, arrived)
	}
	c.lookups.Add(-1)
	if !final {
		return unverified(decision.Age)
	}
	return decision
}

// awaitDecision waits until the configuration holds the key or was verified after the request
// arrived.
func (c *Checker) awaitDecision(ctx context.Context, keys []string, arrived time.Time) (decision Decision, final bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	err := c.verification.Await(ctx, func(verified time.Time) bool {
		decision, final = c.decide(keys, arrived, verified)
		return final
	})
	return decision, err == nil
}

// decide decides by the applied configuration, which must be read after the verification time
// was. The decision is not final if the key may have been added since that time.
func (c *Checker) decide(keys []string, arrived, verified time.Time) (decision Decision, final bool) {
	age := time.Duration(-1)
	if !verified.IsZero() {
		age = max(arrived.Sub(verified), 0)
	}
	table := c.routes.Current()
	if !table.HasTenants() {
		return Decision{Outcome: Allowed, Age: age}, true
	}
	recent := age >= 0 && age <= maxRecentAge
	afterRequest := verified.After(arrived)
	if len(keys) != 1 || keys[0] == "" {
		return Decision{Outcome: Missing, Age: age}, recent
	}
	tenant := table.TenantByKey(keys[0])
	if tenant == nil {
		return Decision{Outcome: Unknown, Age: age}, afterRequest || (recent && table.Revoked(keys[0]))
	}
	if c.maxAge > 0 && (age < 0 || age > c.maxAge-clockMargin) {
		return unverified(age), true
	}
	return Decision{Outcome: Allowed, Tenant: tenant, Age: age}, true
}

func unverified(age time.Duration) Decision {
	return Decision{Outcome: Unverified, Age: age, RetryAfter: minRetryDelay + rand.N(minRetryDelay)}
}
