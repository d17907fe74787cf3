package etcd

import (
	"net/netip"
	"time"

	"github.com/samber/oops"
)

// Defaults of settings that are zero.
const (
	// DefaultRequestsPerSecond is the sustained request rate.
	DefaultRequestsPerSecond = 5
	// DefaultBurst is the number of requests that may be sent at once.
	DefaultBurst = 5
	// DefaultRequestTimeout bounds one request to one endpoint.
	DefaultRequestTimeout = 3 * time.Second
	// DefaultDialTimeout bounds one connection attempt.
	DefaultDialTimeout = time.Second
	// DefaultWatchIdleTimeout ends a watch that receives nothing for this long.
	DefaultWatchIdleTimeout = time.Minute
	// DefaultMaxResponseBytes bounds one response and one message of a watch.
	DefaultMaxResponseBytes = 16 << 20
	// DefaultPageEntries is the number of entries in a page of a list.
	DefaultPageEntries = 500
)

// Config holds the settings of a client. Fields other than Endpoints default to
// the values above when they are zero.
type Config struct {
	// Endpoints are the service's addresses, each an IP address and a port.
	Endpoints []string
	// RequestsPerSecond is this client's share of the service's rate limit, and
	// Burst is the number of requests that may be sent at once. Opening a watch
	// counts as one request.
	RequestsPerSecond float64
	Burst             int
	// RequestTimeout bounds one request to one endpoint, and separately the wait
	// for the rate limit before it.
	RequestTimeout time.Duration
	// DialTimeout bounds one connection attempt.
	DialTimeout time.Duration
	// WatchIdleTimeout ends a watch that has received nothing, not even a
	// progress notification, for this long.
	WatchIdleTimeout time.Duration
	// MaxResponseBytes bounds one response and one message of a watch, in bytes.
	MaxResponseBytes int
	// PageEntries is the number of entries in a page of a list.
	PageEntries int
}

func (c Config) withDefaults() Config {
	orDefault(&c.RequestsPerSecond, DefaultRequestsPerSecond)
	orDefault(&c.Burst, DefaultBurst)
	orDefault(&c.RequestTimeout, DefaultRequestTimeout)
	orDefault(&c.DialTimeout, DefaultDialTimeout)
	orDefault(&c.WatchIdleTimeout, DefaultWatchIdleTimeout)
	orDefault(&c.MaxResponseBytes, DefaultMaxResponseBytes)
	orDefault(&c.PageEntries, DefaultPageEntries)
	return c
}

func orDefault[T int | float64 | time.Duration](setting *T, fallback T) {
	if *setting <= 0 {
		*setting = fallback
	}
}

func (c Config) validate() error {
	builder := oops.In("store").With("step", "configure")
	if len(c.Endpoints) == 0 {
		return builder.Errorf("no endpoint of the store is configured")
	}
	for _, endpoint := range c.Endpoints {
		if _, err := netip.ParseAddrPort(endpoint); err != nil {
			return builder.With("peer", endpoint).Wrapf(err, "endpoint %q is not an IP number and a port", endpoint)
		}
	}
	return nil
}
