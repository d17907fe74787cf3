// Package apikey decides whether a request may use its route: by the API key that it
// carries, and by how long ago the configuration that knows the key was verified.
//
// A key that was taken away must not work anywhere once the operator's bound has passed,
// also at nodes that reach neither the store nor a peer. A node therefore takes no key by
// a configuration that was verified longer ago than that. It turns a key away for good
// only if the configuration is recent; one that was never known may just have been added,
// and waits for a verification that is later than the request.
package apikey

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/routetable"
)

// Outcome is what was decided on a request.
type Outcome uint8

// The outcomes.
const (
	// Allowed requests may go ahead.
	Allowed Outcome = iota
	// Missing requests carry no key, or several, though their route wants one.
	Missing
	// Unknown requests carry a key that no tenant holds.
	Unknown
	// Unverified requests can't be decided on: the configuration may be behind.
	Unverified
)

var outcomeNames = [...]string{"allowed", "no API key", "unknown API key", "the API key can't be checked"}

// String returns what problems and logs say of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Decision is what was decided, and by what.
type Decision struct {
	Outcome Outcome
	// Tenant holds the request's key; nil on public routes and where there are no tenants.
	Tenant *routetable.Tenant
	// Age is that of the verification that decided, negative if there was none.
	Age time.Duration
	// RetryAfter is when to come back with a request that can't be decided on.
	RetryAfter time.Duration
}

// Verification tells how recent the configuration in force is known to be.
type Verification interface {
	// VerifiedAt returns a moment at which the store held the configuration that is in
	// force now, or an older one; zero if none is known.
	VerifiedAt() time.Time
	// Await waits until the condition holds, which is told that moment whenever it or the
	// configuration may have changed. The condition must not call the verification.
	Await(ctx context.Context, settled func(verified time.Time) bool) error
}

const (
	// recent is the age up to which a verification is enough to turn a key away that was
	// taken away before, or that is missing. It is at most the time that a change of the
	// configuration may take to be in force everywhere: 2 s where that is shortest.
	recent = 2 * time.Second
	// lookupTimeout bounds the wait of a request with a key that was never known. A node
	// hears of a verification that is later than the request after 1 s and the way from
	// the node that made it, which takes some tenths.
	lookupTimeout = 2 * time.Second
	// maxLookups bounds the requests that wait at once. Each holds a connection and some
	// kilobytes; beyond it callers are told to come back.
	maxLookups = 64
	// unprovedDelay is the least that callers of undecided requests are told to wait, and
	// twice that the most: nodes look for a store that was away each 0.6 s, and callers
	// that are told different times don't return together.
	unprovedDelay = 500 * time.Millisecond
	// boundMargin is how much earlier than the bound keys stop to work, against clocks of
	// nodes that run at slightly different speeds.
	boundMargin = 50 * time.Millisecond
)

// Checker decides on requests. It is safe for concurrent use.
type Checker struct {
	routes       *routetable.Holder
	verification Verification
	// bound is how old the verification may be at most; zero is no bound.
	bound   time.Duration
	lookups atomic.Int64
}

// NewChecker returns a checker of the keys of the configuration in force. The bound is the
// time after which a key that was taken away must not work; zero means that a key works as
// long as the node's configuration holds it.
func NewChecker(routes *routetable.Holder, verification Verification, bound time.Duration) *Checker {
	return &Checker{routes: routes, verification: verification, bound: bound}
}

// Check decides on a request to a route that is not public and that arrived at the given
// moment with the given values of its key header. It may wait for a verification.
func (c *Checker) Check(ctx context.Context, keys []string, arrived time.Time) Decision {
	decision, sure := c.look(keys, arrived, c.verification.VerifiedAt())
	if sure {
		return decision
	}
	if c.lookups.Add(1) <= maxLookups {
		decision, sure = c.lookUp(ctx, keys, arrived)
	}
	c.lookups.Add(-1)
	if !sure {
		return unproved(decision.Age)
	}
	return decision
}

// lookUp waits until the configuration knows the key or is later than the request.
func (c *Checker) lookUp(ctx context.Context, keys []string, arrived time.Time) (decision Decision, sure bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	err := c.verification.Await(ctx, func(verified time.Time) bool {
		decision, sure = c.look(keys, arrived, verified)
		return sure
	})
	return decision, err == nil
}

// look decides by the configuration in force, which must be read after the moment of its
// verification. It is not sure of a key that may have been added since that moment.
func (c *Checker) look(keys []string, arrived, verified time.Time) (decision Decision, sure bool) {
	age := time.Duration(-1)
	if !verified.IsZero() {
		age = max(arrived.Sub(verified), 0)
	}
	table := c.routes.Current()
	if !table.HasTenants() {
		return Decision{Outcome: Allowed, Age: age}, true
	}
	fresh := age >= 0 && age <= recent
	later := verified.After(arrived)
	if len(keys) != 1 || keys[0] == "" {
		return Decision{Outcome: Missing, Age: age}, fresh
	}
	tenant := table.TenantByKey(keys[0])
	if tenant == nil {
		return Decision{Outcome: Unknown, Age: age}, later || (fresh && table.Revoked(keys[0]))
	}
	if c.bound > 0 && (age < 0 || age > c.bound-boundMargin) {
		return unproved(age), true
	}
	return Decision{Outcome: Allowed, Tenant: tenant, Age: age}, true
}

func unproved(age time.Duration) Decision {
	return Decision{Outcome: Unverified, Age: age, RetryAfter: unprovedDelay + rand.N(unprovedDelay)}
}
