// Package routetable holds the routing configuration in force: which host and
// path lead to which service, how long a request may take and how often it may
// be tried. A Table is an immutable snapshot; a Holder publishes the newest.
package routetable

import (
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

// Configuration is a whole routing configuration.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
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
