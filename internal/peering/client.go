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

	"github.com/lugspur/lugspur/internal/replica"
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
	// From is the node's own address, as peers reach it.
	From string
	// Codec is that of all nodes.
	Codec *Codec
}

// Client exchanges messages with peers. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	spread Spread

	mutex sync.Mutex
	pools map[string]*transport.Pool
}

// NewClient returns a client without connections.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, pools: make(map[string]*transport.Pool)}
}

// SetSpread has calls and replies carry what nodes tell each other of their
// copies of the store. It must be called before the first call.
func (c *Client) SetSpread(spread Spread) { c.spread = spread }

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
	asked := time.Now()
	call.From = c.config.From
	if c.spread != nil {
		call.Digests = c.spread.Digests()
	}
	answer, err := c.exchange(ctx, address, http.MethodPost, callPath, c.config.Codec.encodeCall(call))
	if err != nil {
		return nil, err
	}
	reply, err := c.config.Codec.decodeReply(answer.Body)
	if err != nil {
		return nil, unreadable(address, err)
	}
	if c.spread != nil {
		c.spread.HeardReply(address, reply.Digests, asked)
	}
	return reply, nil
}

// Query asks the peer for what the node's copies of the store lack.
func (c *Client) Query(ctx context.Context, address string, query *replica.Query) (*replica.Answer, error) {
	answered, err := c.exchange(ctx, address, http.MethodPost, queryPath, encode(query))
	if err != nil {
		return nil, err
	}
	var answer replica.Answer
	if err := cbor.Unmarshal(answered.Body, &answer); err != nil {
		return nil, unreadable(address, err)
	}
	return &answer, nil
}

// unreadable is the error of a reply that came and could not be read.
func unreadable(address string, err error) *Error {
	return &Error{Sent: true, cause: fmt.Errorf("read reply from %s: %w", address, err)}
}

// Ping asks the peer whether it is there.
func (c *Client) Ping(ctx context.Context, address string) error {
	_, err := c.exchange(ctx, address, http.MethodGet, pingPath, nil)
	return err
}

// peerHost stands in the Host header, which HTTP/1.1 demands: peers serve no other
// names, and the address would be sent with each message.
const peerHost = "p"

func (c *Client) exchange(ctx context.Context, address, method, path string, body []byte) (*transport.Answer, error) {
	answer, err := c.pool(address).Exchange(ctx, &transport.Call{Method: method, Host: peerHost, RequestURI: path, Body: body})
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
