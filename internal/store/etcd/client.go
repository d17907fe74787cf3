package etcd

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd/pace"
)

const (
	// maxConnections bounds the connections to one endpoint, watches included.
	maxConnections = 32
	// maxIdleConnections bounds the unused connections to one endpoint.
	maxIdleConnections = 4
	// idleConnectionTimeout closes unused connections.
	idleConnectionTimeout = 30 * time.Second
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 16 << 10
)

// Client implements store.Store. It is safe for concurrent use.
type Client struct {
	config    Config
	http      *http.Client
	transport *http.Transport
	bucket    *pace.Bucket
	lifetime  context.Context
	end       context.CancelFunc

	mu        sync.Mutex
	preferred int
}

var _ store.Store = (*Client)(nil)

// New returns a client. It connects to nothing before the first request.
func New(config Config) (*Client, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	config = config.withDefaults()
	config.Endpoints = slices.Clone(config.Endpoints)
	transport := &http.Transport{
		DialContext:            dialer(config.DialTimeout),
		DisableCompression:     true,
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleConnectionTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	lifetime, end := context.WithCancel(context.Background())
	return &Client{
		config:    config,
		http:      &http.Client{Transport: transport, CheckRedirect: stayHere},
		transport: transport,
		bucket:    pace.NewBucket(config.RequestsPerSecond, config.Burst),
		lifetime:  lifetime,
		end:       end,
	}, nil
}

// stayHere keeps the HTTP client from sending a request a second time.
func stayHere(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close ends all requests and watches. Later calls return
// store.ErrUnavailable.
func (c *Client) Close() {
	c.end()
	c.transport.CloseIdleConnections()
}

// endpoint returns the endpoint to use next.
func (c *Client) endpoint() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Endpoints[c.preferred]
}

// leave makes the next request go to another endpoint, unless another caller
// has moved on already.
func (c *Client) leave(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config.Endpoints[c.preferred] == endpoint {
		c.preferred = (c.preferred + 1) % len(c.config.Endpoints)
	}
}

// awaitTurn waits for the pace. No error of it says that anything was sent.
func (c *Client) awaitTurn(ctx context.Context) error {
	if err := c.usable(ctx); err != nil {
		return err
	}
	wait, ok := c.bucket.Reserve(time.Now(), c.longestWait(ctx))
	if !ok {
		return fmt.Errorf("%w: next request would leave in %s", store.ErrRateLimited, wait.Round(time.Millisecond))
	}
	if wait == 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-c.lifetime.Done():
	}
	return c.usable(ctx)
}

func (c *Client) usable(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	if c.lifetime.Err() != nil {
		return fmt.Errorf("%w: client closed", store.ErrUnavailable)
	}
	return nil
}

func (c *Client) longestWait(ctx context.Context) time.Duration {
	limit := c.config.RequestTimeout
	if deadline, found := ctx.Deadline(); found {
		limit = min(limit, time.Until(deadline))
	}
	return limit
}

func wrap(step, endpoint string, err error) error {
	if err == nil {
		return nil
	}
	return oops.In("store").With("step", step).With("peer", endpoint).Wrapf(err, "%s at %s", step, endpoint)
}
