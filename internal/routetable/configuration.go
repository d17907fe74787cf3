// Package routetable holds the active routing configuration: the service to which
// the requests to a host and path are routed, how long a request may take, and how often
// it may be attempted. A Table is an immutable snapshot; a Holder publishes the newest one.
package routetable

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"
)

// Version orders configurations: a larger version is newer. Zero means no version.
type Version uint64

// Kind specifies whether requests of a route may be executed more than once.
type Kind uint8

// The kinds of routes.
const (
	// AtMostOnce is the kind of requests that may be executed at most once.
	AtMostOnce Kind = iota
	// Repeatable is the kind of requests that may be executed more than once.
	Repeatable
)

// WeightedService is a service with its weight in the traffic split of a route.
type WeightedService struct {
	Name   string
	Weight int
}

// Route maps the requests to a host below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum duration of a request; zero means no bound.
	Timeout time.Duration
	// Objective is the latency objective: the time within which a response is most useful.
	Objective time.Duration
	// Attempts is the maximum number of targets that one request may reach.
	Attempts int
	// Priority orders routes by importance; zero is the most important.
	Priority int
	// Services contains at least one service with a positive weight.
	Services []WeightedService
	// Public reports whether requests need no API key.
	Public bool
}

// Service holds the settings common to all targets of a service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
}

// Limits bounds what callers may send. A zero field means no bound.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// KeyDigest is the SHA-256 digest of an API key. No configuration or table holds the key itself.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is a client whose requests carry API keys and share a rate limit.
type Tenant struct {
	Name string
	// Keys are the digests of its API keys; a tenant without keys cannot send requests.
	Keys []KeyDigest
	// Priority orders tenants by importance; zero is the most important.
	Priority int
	// Rate is the number of requests per second that all nodes together may run for the
	// tenant, and Burst the number of additional requests that they may run at once. A rate
	// of zero means no limit.
	Rate, Burst float64
}

// Limited reports whether the tenant has a rate limit.
func (t *Tenant) Limited() bool { return t.Rate > 0 }

// Configuration is a complete routing configuration.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services []Service
	// Tenants may send requests to routes that are not public. If there are none, no
	// request needs an API key.
	Tenants []Tenant
	Limits  Limits
}

// Validate returns the first error in the configuration, nil if it is valid.
func (c *Configuration) Validate() error {
	if c.Version == 0 {
		return fmt.Errorf("configuration has no version")
	}
	for i := range c.Routes {
		if err := c.Routes[i].validate(); err != nil {
			return fmt.Errorf("route %q: %w", c.Routes[i].Name, err)
		}
	}
	for _, service := range c.Services {
		if service.MaxConnections < 0 {
			return fmt.Errorf("service %q: negative bound", service.Name)
		}
	}
	if c.Limits.MaxHeaderBytes < 0 || c.Limits.MaxBodyBytes < 0 || c.Limits.HeaderTimeout < 0 || c.Limits.IdleTimeout < 0 {
		return fmt.Errorf("limits: negative bound")
	}
	return c.validateTenants()
}

// maxWeight bounds the weight of a service in a split, so that the sum of all is a number.
const maxWeight = 1 << 30

// validateTenants never includes a key in an error, since errors are logged.
func (c *Configuration) validateTenants() error {
	names := make(map[string]bool, len(c.Tenants))
	owners := make(map[KeyDigest]string)
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
			if owner, exists := owners[key]; exists && owner != tenant.Name {
				return fmt.Errorf("tenants %q and %q hold the same key", owner, tenant.Name)
			}
			owners[key] = tenant.Name
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
	case r.Timeout < 0 || r.Objective < 0 || r.Attempts < 0:
		return fmt.Errorf("negative bound")
	}
	return nil
}

func (r *Route) totalWeight() int {
	total := 0
	for _, service := range r.Services {
		if service.Weight < 0 || service.Weight > maxWeight {
			return -1
		}
		total += service.Weight
	}
	return total
}
