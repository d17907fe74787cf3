package adminclient

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/resource"
)

// Timeouts and intervals of the client.
const (
	// DefaultReadTimeout is the time limit of a read from one node.
	DefaultReadTimeout = 5 * time.Second
	// DefaultWriteTimeout is the time limit of a write; it is longer than the
	// node's own.
	DefaultWriteTimeout = admin.DefaultWriteTimeout + 2*time.Second
	// DefaultResolveTimeout is the time limit for resolving an unknown outcome;
	// it is longer than a node's time limit of a write.
	DefaultResolveTimeout = admin.DefaultWriteTimeout + 5*time.Second
	// resolveInterval is the polling interval for an unknown outcome.
	resolveInterval = 250 * time.Millisecond
)

// MaxResponseBytes is the maximum size of a response, in bytes.
const MaxResponseBytes = 16 << 20

// Options configure a Client. Addresses is required.
type Options struct {
	// Addresses are admin addresses of nodes: IP:port, with or without
	// "http://".
	Addresses []string
	// Token is the bearer token of writes.
	Token string
	// Author is the author of the changes.
	Author string
	// HTTP is the HTTP client; nil means a default one that follows no redirects.
	HTTP *http.Client
	// Timeouts; zero means the defaults.
	ReadTimeout, WriteTimeout, ResolveTimeout time.Duration
	// NodeWriteTimeout is a node's time limit of a write; zero means
	// admin.DefaultWriteTimeout.
	NodeWriteTimeout time.Duration
}

// Client calls the administration API. It is safe for concurrent use.
type Client struct {
	options Options
	// preferred is the index of the address that responded last.
	preferred atomic.Int64
}

// New creates a client from the options, with defaults applied.
func New(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, oops.In("adminclient").Errorf("no admin address")
	}
	addresses := make([]string, 0, len(options.Addresses))
	for _, address := range options.Addresses {
		addresses = append(addresses, baseURL(address))
	}
	options.Addresses = addresses
	if options.HTTP == nil {
		options.HTTP = &http.Client{CheckRedirect: rejectRedirect}
	}
	setDefault(&options.ReadTimeout, DefaultReadTimeout)
	setDefault(&options.WriteTimeout, DefaultWriteTimeout)
	setDefault(&options.ResolveTimeout, DefaultResolveTimeout)
	setDefault(&options.NodeWriteTimeout, admin.DefaultWriteTimeout)
	return &Client{options: options}, nil
}

func setDefault(duration *time.Duration, value time.Duration) {
	if *duration == 0 {
		*duration = value
	}
}

// rejectRedirect disables redirects, so that the token is sent only to the
// configured nodes.
func rejectRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}

// Get returns an object; the error wraps ErrNotFound if it doesn't exist at the
// node.
func (c *Client) Get(ctx context.Context, id resource.ID) (admin.Object, error) {
	return read[admin.Object](ctx, c, objectPath(id))
}

// List returns all objects of a kind, ordered by name.
func (c *Client) List(ctx context.Context, kind resource.Kind) (admin.ObjectList, error) {
	return read[admin.ObjectList](ctx, c, "/v1/"+admin.Plural(kind))
}

// History returns the latest changes of an object, which may be deleted.
func (c *Client) History(ctx context.Context, id resource.ID) (admin.History, error) {
	return read[admin.History](ctx, c, objectPath(id)+"/history")
}

// Status returns the status of the first node that responds.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	return read[admin.Status](ctx, c, "/v1/status")
}

// read queries the nodes in turn, starting with the one that responded last,
// until one responds.
func read[T any](ctx context.Context, c *Client, path string) (T, error) {
	var document T
	var lastErr error
	first := c.preferred.Load()
	for i := range int64(len(c.options.Addresses)) {
		index := (first + i) % int64(len(c.options.Addresses))
		lastErr = c.readAt(ctx, c.options.Addresses[index], path, &document)
		if !isRetryableElsewhere(lastErr) || ctx.Err() != nil {
			c.preferred.Store(index)
			return document, lastErr
		}
	}
	return document, lastErr
}

func (c *Client) readAt(ctx context.Context, address, path string, document any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.ReadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address+path, nil)
	if err != nil {
		return newError("make request", address, err)
	}
	return c.do(request, "read", address, document)
}
