package peering

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/transport"
)

// ClientConfig bounds the exchanges with peers.
type ClientConfig struct {
	// MaxBuffered is the largest message, in bytes.
	MaxBuffered int64
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// UserTimeout bounds the time for which a peer's machine may stay silent
	// about bytes that were sent to it.
	UserTimeout time.Duration
	// IdleTimeout is how long idle connections are kept.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections to each peer.
	MaxIdle int
}

// Client exchanges messages with peers. It is safe for concurrent use.
type Client struct {
	config ClientConfig

	mutex sync.Mutex
	pools map[string]*transport.Pool
}

// NewClient returns a client without connections.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, pools: make(map[string]*transport.Pool)}
}

// Error is why a peer's reply did not come.
type Error struct {
	// Sent tells whether the peer may have received the message.
	Sent  bool
	cause error
}

// Error returns the cause, which carries the step and the peer.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Call passes the call on to the home at the address. The context bounds the
// exchange, and its end withdraws the call. The error is an *Error.
func (c *Client) Call(ctx context.Context, address string, call *Call) (*Reply, error) {
	answer, err := c.exchange(ctx, address, http.MethodPost, callPath, encode(call))
	if err != nil {
		return nil, err
	}
	var reply Reply
	if err := cbor.Unmarshal(answer.Body, &reply); err != nil {
		return nil, &Error{Sent: true, cause: fmt.Errorf("read reply from %s: %w", address, err)}
	}
	return &reply, nil
}

// Ping asks the peer whether it is there.
func (c *Client) Ping(ctx context.Context, address string) error {
	_, err := c.exchange(ctx, address, http.MethodGet, pingPath, nil)
	return err
}

// Configuration fetches the configuration document in force at the peer.
func (c *Client) Configuration(ctx context.Context, address string) ([]byte, error) {
	answer, err := c.exchange(ctx, address, http.MethodGet, configurationPath, nil)
	if err != nil {
		return nil, err
	}
	return answer.Body, nil
}

func (c *Client) exchange(ctx context.Context, address, method, path string, body []byte) (*transport.Answer, error) {
	answer, err := c.pool(address).Exchange(ctx, &transport.Call{Method: method, RequestURI: path, Body: body})
	if err != nil {
		var failure *transport.Failure
		sent := !errors.As(err, &failure) || failure.Sent
		return nil, &Error{Sent: sent, cause: err}
	}
	if answer.Rest != nil {
		answer.Close()
		return nil, &Error{Sent: true, cause: fmt.Errorf("message from %s is too large", address)}
	}
	if answer.Status != http.StatusOK {
		return nil, &Error{Sent: true, cause: fmt.Errorf("peer %s answered with status %s", address, strconv.Itoa(answer.Status))}
	}
	return answer, nil
}

// Forget closes the idle connections to a peer, such as one that was silent.
func (c *Client) Forget(address string) {
	c.mutex.Lock()
	pool := c.pools[address]
	delete(c.pools, address)
	c.mutex.Unlock()
	if pool != nil {
		pool.Close()
	}
}

func (c *Client) pool(address string) *transport.Pool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	pool := c.pools[address]
	if pool == nil {
		pool = transport.NewPool(transport.Config{
			Address:     address,
			MaxIdle:     c.config.MaxIdle,
			DialTimeout: c.config.DialTimeout,
			UserTimeout: c.config.UserTimeout,
			IdleTimeout: c.config.IdleTimeout,
			MaxBuffered: c.config.MaxBuffered,
		})
		c.pools[address] = pool
	}
	return pool
}
