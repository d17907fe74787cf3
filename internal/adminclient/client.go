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

// Times of the client.
const (
	// DefaultReadTimeout bounds one read at one node.
	DefaultReadTimeout = 5 * time.Second
	// DefaultWriteTimeout bounds one write; it is longer than a node's own.
	DefaultWriteTimeout = admin.DefaultWriteTimeout + 2*time.Second
	// DefaultResolveTimeout bounds the asking for a lost outcome; it is longer
	// than a node works on a write.
	DefaultResolveTimeout = admin.DefaultWriteTimeout + 5*time.Second
	// resolvePause is the time between two questions for a lost outcome.
	resolvePause = 250 * time.Millisecond
)

// MaxAnswerBytes bounds an answer, in bytes.
const MaxAnswerBytes = 16 << 20

// Options are what a Client works with. Addresses must be given.
type Options struct {
	// Addresses are admin addresses of nodes: IP:port, with or without
	// "http://".
	Addresses []string
	// Token is what writes show.
	Token string
	// Author names who makes the changes.
	Author string
	// HTTP is the client to use; nil means a plain one.
	HTTP *http.Client
	// Timeouts; zero means the defaults.
	ReadTimeout, WriteTimeout, ResolveTimeout time.Duration
	// NodeWriteTimeout is how long a node works on a write at most; zero means
	// admin.DefaultWriteTimeout.
	NodeWriteTimeout time.Duration
}

// Client calls the administration API. It is safe for concurrent use.
type Client struct {
	options Options
	// preferred is the index of the address that answered last.
	preferred atomic.Int64
}

// New returns a client.
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
		options.HTTP = &http.Client{CheckRedirect: refuseRedirect}
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

// refuseRedirect keeps the token with the node that it was meant for.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}

// Get returns an object; its error wraps ErrNotFound if the node knows none.
func (c *Client) Get(ctx context.Context, id resource.ID) (admin.Object, error) {
	return read[admin.Object](ctx, c, objectPath(id))
}

// List returns all objects of a kind, ordered by name.
func (c *Client) List(ctx context.Context, kind resource.Kind) (admin.ObjectList, error) {
	return read[admin.ObjectList](ctx, c, "/v1/"+admin.Plural(kind))
}

// History returns the last changes of an object, also of a deleted one.
func (c *Client) History(ctx context.Context, id resource.ID) (admin.History, error) {
	return read[admin.History](ctx, c, objectPath(id)+"/history")
}

// Status returns the status of the node that answers.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	return read[admin.Status](ctx, c, "/v1/status")
}

// read asks the nodes in turn, from the one that answered last, until one
// answers.
func read[T any](ctx context.Context, c *Client, path string) (T, error) {
	var document T
	var last error
	first := c.preferred.Load()
	for i := range int64(len(c.options.Addresses)) {
		index := (first + i) % int64(len(c.options.Addresses))
		last = c.readAt(ctx, c.options.Addresses[index], path, &document)
		if !worthAnotherNode(last) || ctx.Err() != nil {
			c.preferred.Store(index)
			return document, last
		}
	}
	return document, last
}

func (c *Client) readAt(ctx context.Context, address, path string, document any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.ReadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address+path, nil)
	if err != nil {
		return failure("make request", address, err)
	}
	return c.do(request, "read", address, document)
}
