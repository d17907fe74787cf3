// Package routetable holds the routing configuration in force: which host and
// path lead to which service, how long a request may take and how often it may
// be tried. A Table is an immutable snapshot; a Holder publishes the newest.
package routetable

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"
)

// Version orders configurations: a larger one is newer. Zero is no version.
type Version uint64

// Kind tells how often a request of a route may run.
type Kind uint8

// The kinds of routes.
const (
	// Once marks requests that may run at most once.
	Once Kind = iota
	// Repeatable marks requests that may run more than once.
	Repeatable
)

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Name   string
	Weight int
}

// Route leads the requests of a host below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time for which a request is held; zero is no bound.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most.
	Objective time.Duration
	// Attempts is the largest number of targets that one request may reach.
	Attempts int
	// Priority ranks routes; zero is the most important.
	Priority int
	// Services holds at least one service with a positive weight.
	Services []WeightedService
	// Public tells that requests need no key.
	Public bool
}

// Service describes what targets of a service have in common.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
}

// Limits bound what callers may send. A zero field means no bound.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// KeyDigest stands for an API key, which is kept nowhere itself.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is a party whose requests carry API keys and share a limit.
type Tenant struct {
	Name string
	// Keys are the digests of its API keys; without any it can't send requests.
	Keys []KeyDigest
	// Priority ranks tenants; zero is the most important.
	Priority int
	// Rate is the number of requests a second that all nodes together may run for it,
	// and Burst how many it may run beyond at once. A rate of zero is no limit.
	Rate, Burst float64
}

// Limited reports whether the number of the tenant's requests is bounded.
func (t *Tenant) Limited() bool { return t.Rate > 0 }

// Configuration is a whole routing configuration.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services []Service
	// Tenants may send requests to routes that are not public. Without any, no request
	// needs a key.
	Tenants []Tenant
	Limits  Limits
}

// Validate reports the first fault of the configuration, nil if it has none.
func (c *Configuration) Validate() error {
	if c.Version == 0 {
		return fmt.Errorf("configuration has no version")
	}
	for i := range c.Routes {
		if err := c.Routes[i].validate(); err != nil {
			return fmt.Errorf("route %q: %w", c.Routes[i].Name, err)
		}
	}
	return c.validateTenants()
}

// validateTenants never names a key: its errors are logged.
func (c *Configuration) validateTenants() error {
	names := make(map[string]bool, len(c.Tenants))
	holders := make(map[KeyDigest]string)
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		switch {
		case tenant.Name == "":
			return fmt.Errorf("a tenant has no name")
		case names[tenant.Name]:
			return fmt.Errorf("tenant %q: the name stands twice", tenant.Name)
		case tenant.Rate < 0 || tenant.Burst < 0:
			return fmt.Errorf("tenant %q: negative limit", tenant.Name)
		}
		names[tenant.Name] = true
		for _, key := range tenant.Keys {
			if holder, held := holders[key]; held && holder != tenant.Name {
				return fmt.Errorf("tenants %q and %q hold the same key", holder, tenant.Name)
			}
			holders[key] = tenant.Name
		}
	}
	return nil
}

func (r *Route) validate() error {
	switch {
	case r.Host == "":
		return fmt.Errorf("no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.totalWeight() <= 0:
		return fmt.Errorf("no service with a positive weight")
	case r.Timeout < 0 || r.Attempts < 0:
		return fmt.Errorf("negative bound")
	}
	return nil
}

func (r *Route) totalWeight() int {
	total := 0
	for _, service := range r.Services {
		if service.Weight < 0 {
			return -1
		}
		total += service.Weight
	}
	return total
}
