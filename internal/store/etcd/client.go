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
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 16 << 10
)

// Client implements store.Store. It is safe for concurrent use.
type Client struct {
	config    Config
	http      *http.Client
	transport *http.Transport
	limiter   *pace.Bucket
	ctx       context.Context
	cancel    context.CancelFunc

	mu            sync.Mutex
	endpointIndex int
}

var _ store.Store = (*Client)(nil)

// New returns a client. It opens no connection before the first request.
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
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		config:    config,
		http:      &http.Client{Transport: transport, CheckRedirect: rejectRedirect},
		transport: transport,
		limiter:   pace.NewBucket(config.RequestsPerSecond, config.Burst),
		ctx:       ctx,
		cancel:    cancel,
	}, nil
}

// rejectRedirect keeps the HTTP client from following a redirect, which would send the
// request a second time.
func rejectRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close cancels all requests and watches. Later calls return
// store.ErrUnavailable.
func (c *Client) Close() {
	c.cancel()
	c.transport.CloseIdleConnections()
}

// endpoint returns the endpoint to use next.
func (c *Client) endpoint() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Endpoints[c.endpointIndex]
}

// failOver selects the next endpoint for later requests, unless another caller
// has already done so.
func (c *Client) failOver(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config.Endpoints[c.endpointIndex] == endpoint {
		c.endpointIndex = (c.endpointIndex + 1) % len(c.config.Endpoints)
	}
}

// waitForRateLimit waits until the rate limit permits a request. When it returns an
// error, nothing was sent.
func (c *Client) waitForRateLimit(ctx context.Context) error {
	if err := c.checkUsable(ctx); err != nil {
		return err
	}
	wait, ok := c.limiter.Reserve(time.Now(), c.longestWait(ctx))
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
	case <-c.ctx.Done():
	}
	return c.checkUsable(ctx)
}

func (c *Client) checkUsable(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	if c.ctx.Err() != nil {
		return fmt.Errorf("%w: client closed", store.ErrUnavailable)
	}
	return nil
}

func (c *Client) longestWait(ctx context.Context) time.Duration {
	maxWait := c.config.RequestTimeout
	if deadline, ok := ctx.Deadline(); ok {
		maxWait = min(maxWait, time.Until(deadline))
	}
	return maxWait
}

func wrap(step, endpoint string, err error) error {
	if err == nil {
		return nil
	}
	return oops.In("store").With("step", step).With("peer", endpoint).Wrapf(err, "%s at %s", step, endpoint)
}
