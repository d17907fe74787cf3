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

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/ratelimit"
	"github.com/lugspur/lugspur/internal/registry"
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
	// KeepAlive is how long a connection may carry nothing before the peer's machine is
	// asked whether it still knows it.
	KeepAlive time.Duration
	// IdleTimeout is how long idle connections are kept.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections to each peer.
	MaxIdle int
	// Address is the node's own address, as peers reach it.
	Address string
	// Codec is that of all nodes.
	Codec *Codec
	// OnInterim is told of each interim answer of the node at the address, a sign that it
	// is there; it may be nil.
	OnInterim func(address string)
	// OnResume sees calls whose connection went silent, after the time from their first
	// message on; it may be nil.
	OnResume func(call *Call, address string, after time.Duration)
}

// Client exchanges messages with peers. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	spread AntiEntropy

	mutex sync.Mutex
	pools map[string]*transport.Pool
}

// NewClient returns a client without connections.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, pools: make(map[string]*transport.Pool)}
}

// SetAntiEntropy has calls and replies carry what nodes tell each other of their
// copies of the store. It must be called before the first call.
func (c *Client) SetAntiEntropy(spread AntiEntropy) { c.spread = spread }

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
// exchange, and its end withdraws the call. If the connection goes silent the call is
// resumed over a new one. The error is an *Error.
func (c *Client) Call(ctx context.Context, address string, call *Call) (*Reply, error) {
	asked := clock.Now()
	call.From = c.config.Address
	if c.spread != nil {
		call.Digests = c.spread.Digests()
	}
	answer, err := c.callResuming(ctx, address, call)
	if err != nil {
		return nil, err
	}
	reply, err := c.config.Codec.decodeReply(answer.Body)
	if err != nil {
		return nil, unreadable(address, err)
	}
	if c.spread != nil {
		c.spread.HandleReplyDigests(address, reply.Digests, asked)
	}
	return reply, nil
}

// callResuming sends the call, and sends it again as a resumption as long as
// connections go silent. Each time it waits twice as long: a home that is frozen is
// silent as well. A home whose process is not known can't tell a resumption from a
// call that an earlier process ran, so that there silence has no bound.
func (c *Client) callResuming(ctx context.Context, address string, call *Call) (*transport.Response, error) {
	began := clock.Now()
	remaining := call.Remaining
	exchange := &transport.Call{Method: http.MethodPost, Host: peerHost, RequestURI: callPath}
	if call.Process != 0 {
		exchange.Silence = silence
	}
	if c.config.OnInterim != nil {
		exchange.Interim = func() { c.config.OnInterim(address) }
	}
	for {
		exchange.Body = c.config.Codec.encodeCall(call)
		answer, err := c.exchange(ctx, address, exchange)
		var failure *transport.Failure
		if !errors.As(err, &failure) || failure.Unanswered == nil {
			return answer, sentBefore(err, call)
		}
		// The home would take its end for the caller's, so that it stays open until then.
		defer func() { _ = failure.Unanswered.Close() }()
		c.CloseIdle(address)
		call.Resumed = true
		if c.config.OnResume != nil {
			c.config.OnResume(call, address, clock.Since(began))
		}
		call.Remaining = remaining - clock.Since(began)
		exchange.Fresh = true
		exchange.Silence *= 2
	}
}

// sentBefore returns the error of a call. One that resumed an earlier message was
// sent, even if the last message was not.
func sentBefore(err error, call *Call) error {
	var failure *Error
	if call.Resumed && errors.As(err, &failure) {
		failure.Sent = true
	}
	return err
}

// Query asks the peer for what the node's copies of the store lack.
func (c *Client) Query(ctx context.Context, address string, query *replica.Query) (*replica.Answer, error) {
	answered, err := c.exchange(ctx, address, &transport.Call{Method: http.MethodPost, Host: peerHost, RequestURI: queryPath, Body: encode(query)})
	if err != nil {
		return nil, err
	}
	var answer replica.Answer
	if err := cbor.Unmarshal(answered.Body, &answer); err != nil {
		return nil, unreadable(address, err)
	}
	return &answer, nil
}

// RequestPermits asks the peer for permits of a tenant's limit.
func (c *Client) RequestPermits(ctx context.Context, address string, ask *ratelimit.PermitRequest) (*ratelimit.Grant, error) {
	answered, err := c.exchange(ctx, address, &transport.Call{Method: http.MethodPost, Host: peerHost, RequestURI: permitPath, Body: encode(ask)})
	if err != nil {
		return nil, err
	}
	var grant ratelimit.Grant
	if err := cbor.Unmarshal(answered.Body, &grant); err != nil {
		return nil, unreadable(address, err)
	}
	return &grant, nil
}

// SendQuarantineNotice tells the peer of requests that crash targets.
func (c *Client) SendQuarantineNotice(ctx context.Context, address string, notice *quarantine.Notice) error {
	_, err := c.exchange(ctx, address, &transport.Call{Method: http.MethodPost, Host: peerHost, RequestURI: noticePath, Body: encode(notice)})
	return err
}

// SendDeparture tells the peer of a target that leaves.
func (c *Client) SendDeparture(ctx context.Context, address string, departure registry.Departure) error {
	_, err := c.exchange(ctx, address, &transport.Call{Method: http.MethodPost, Host: peerHost, RequestURI: departurePath, Body: encode(departure)})
	return err
}

// unreadable is the error of a reply that came and could not be read.
func unreadable(address string, err error) *Error {
	return &Error{Sent: true, cause: fmt.Errorf("read reply from %s: %w", address, err)}
}

// Ping asks the peer whether it is there, over a new connection: that an old one is
// silent says nothing of the peer.
func (c *Client) Ping(ctx context.Context, address string) error {
	_, err := c.exchange(ctx, address, &transport.Call{Method: http.MethodGet, Host: peerHost, RequestURI: pingPath, Fresh: true})
	return err
}

// peerHost stands in the Host header, which HTTP/1.1 demands: peers serve no other
// names, and the address would be sent with each message.
const peerHost = "p"

func (c *Client) exchange(ctx context.Context, address string, call *transport.Call) (*transport.Response, error) {
	answer, err := c.pool(address).Exchange(ctx, call)
	if err != nil {
		var failure *transport.Failure
		sent := !errors.As(err, &failure) || failure.Sent
		return nil, &Error{Sent: sent, cause: err}
	}
	if answer.Remainder != nil {
		answer.Close()
		return nil, &Error{Sent: true, cause: fmt.Errorf("message from %s is too large", address)}
	}
	if answer.Status != http.StatusOK {
		return nil, &Error{Sent: true, cause: fmt.Errorf("peer %s answered with status %s", address, strconv.Itoa(answer.Status))}
	}
	return answer, nil
}

// CloseIdle closes the idle connections to a peer, such as one that was silent.
func (c *Client) CloseIdle(address string) {
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
			KeepAlive:   c.config.KeepAlive,
			IdleTimeout: c.config.IdleTimeout,
			MaxBuffered: c.config.MaxBuffered,
		})
		c.pools[address] = pool
	}
	return pool
}
