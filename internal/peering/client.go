package peering

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/memorybudget"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/ratelimit"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/transport"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// MaxMessageBytes is the maximum size of a reply, in bytes.
	MaxMessageBytes int64
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// UserTimeout bounds the time for which sent bytes may stay unacknowledged by the
	// peer's machine.
	UserTimeout time.Duration
	// KeepAlive is the idle time after which TCP keep-alive probes are sent, and the
	// interval between them.
	KeepAlive time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// MaxIdle bounds the number of idle connections to each peer.
	MaxIdle int
	// Address is the address at which peers reach this node.
	Address string
	// Memory bounds the bytes of messages other than replies to calls, which have a
	// reservation of their own; nil means no bound.
	Memory *memorybudget.Budget
	// Codec encodes calls and decodes replies. It must be the same on all nodes.
	Codec *Codec
	// OnInterim is called for each interim response (1xx) of the node at the address, which
	// shows that the node is alive; it may be nil.
	OnInterim func(address string)
	// OnResume is called before a call is resumed because its connection went silent; it
	// may be nil. The duration is the time since the call was first sent.
	OnResume func(call *Call, address string, after time.Duration)
}

// Client exchanges messages with peers. It is safe for concurrent use.
type Client struct {
	config      ClientConfig
	antiEntropy AntiEntropy

	mutex sync.Mutex
	pools map[string]*transport.Pool
}

// NewClient returns a client without connections.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, pools: make(map[string]*transport.Pool)}
}

// SetAntiEntropy enables the exchange of replica digests on calls and replies. It must be
// called before the first call.
func (c *Client) SetAntiEntropy(antiEntropy AntiEntropy) { c.antiEntropy = antiEntropy }

// Error is the failure of an exchange with a peer.
type Error struct {
	// Sent reports whether the peer may have received the message.
	Sent  bool
	cause error
}

// Error returns the text of the cause, which names the step and the peer.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Call forwards the call to the home at the address. Ending the context cancels the
// call. If the connection goes silent, that is, carries neither the reply nor an interim
// response in time, the call is resumed over a new one. The error is an *Error.
func (c *Client) Call(ctx context.Context, address string, call *Call) (*Reply, error) {
	sentAt := clock.Now()
	call.From = c.config.Address
	if c.antiEntropy != nil {
		call.Digests = c.antiEntropy.Digests()
	}
	received := newBuffer()
	defer freeBuffer(received)
	response, err := c.callWithResumption(ctx, address, call, sentAt, received)
	if err != nil {
		return nil, err
	}
	decode := c.config.Codec.decodeReplyInPlace
	if response.InBuffer {
		decode = c.config.Codec.decodeReply
	}
	reply, err := decode(response.Body)
	if err != nil {
		return nil, decodeError(address, err)
	}
	if c.antiEntropy != nil {
		c.antiEntropy.HandleReplyDigests(address, reply.Digests, sentAt)
	}
	if call.Resumed && reply.Outcome == Refused && reply.Reason == OutOfMemory {
		return nil, &Error{Sent: true, cause: fmt.Errorf("resume call with %s: %w", address, errResumptionRefused)}
	}
	return reply, nil
}

// errResumptionRefused means that the home had no memory for a resumption. It does not read the message
// then, and may be running the call that it resumes.
var errResumptionRefused = errors.New("the home has no memory for the resumption")

// callWithResumption sends the call, which started at the given time, and resumes it over a new
// connection each time the connection goes silent. The silence timeout doubles with each
// resumption, because a stalled home is silent as well. If the home's process is unknown, there is
// no silence timeout: a resumption could reach a later process, which has no record of whether an
// earlier one ran the call. The reply is read into the buffer.
func (c *Client) callWithResumption(ctx context.Context, address string, call *Call, started time.Time, received *bytes.Buffer) (*transport.Response, error) {
	remaining := call.Remaining
	exchange := &transport.Call{Method: http.MethodPost, Host: peerHost, RequestURI: callPath, BodyBuffer: received, Memory: call.ResponseMemory}
	if call.Process != 0 {
		exchange.SilenceTimeout = silenceTimeout
	}
	if c.config.OnInterim != nil {
		exchange.OnInterim = func() { c.config.OnInterim(address) }
	}
	buffer := newBuffer()
	defer freeBuffer(buffer)
	for {
		buffer.Reset()
		message := c.config.Codec.encodeCallMessage(buffer, call)
		exchange.Body, exchange.Rest = message.envelope, message.body
		response, err := c.exchange(ctx, address, exchange)
		if err == nil {
			return response, nil
		}
		var failure *transport.Failure
		if !errors.As(err, &failure) || failure.SilentConnection == nil {
			return nil, markSentIfResumed(err, call)
		}
		// The home would treat closing this connection as cancellation, so it stays open
		// until the call has ended.
		defer func() { _ = failure.SilentConnection.Close() }()
		c.CloseIdle(address)
		call.Resumed = true
		if c.config.OnResume != nil {
			c.config.OnResume(call, address, clock.Since(started))
		}
		call.Remaining = remaining - clock.Since(started)
		exchange.NewConnection = true
		exchange.SilenceTimeout *= 2
	}
}

// markSentIfResumed returns the error with Sent set if the call was resumed: an earlier
// message was sent even if the last one was not.
func markSentIfResumed(err error, call *Call) error {
	var failure *Error
	if call.Resumed && errors.As(err, &failure) {
		failure.Sent = true
	}
	return err
}

// Query requests from the peer the entries that this node's replicas lack.
func (c *Client) Query(ctx context.Context, address string, query *replica.Query) (*replica.Answer, error) {
	response, err := c.exchange(ctx, address, &transport.Call{Method: http.MethodPost, Host: peerHost, RequestURI: queryPath, Body: encode(query)})
	if err != nil {
		return nil, err
	}
	var answer replica.Answer
	if err := cbor.Unmarshal(response.Body, &answer); err != nil {
		return nil, decodeError(address, err)
	}
	return &answer, nil
}

// RequestPermits requests permits under a tenant's limit from the peer.
func (c *Client) RequestPermits(ctx context.Context, address string, request *ratelimit.PermitRequest) (*ratelimit.Grant, error) {
	response, err := c.exchange(ctx, address, &transport.Call{Method: http.MethodPost, Host: peerHost, RequestURI: permitPath, Body: encode(request.Wire())})
	if err != nil {
		return nil, err
	}
	var grant ratelimit.Grant
	if err := grant.Decode(response.Body); err != nil {
		return nil, decodeError(address, err)
	}
	return &grant, nil
}

// SendQuarantineNotice sends the peer a notice of requests that crash targets.
func (c *Client) SendQuarantineNotice(ctx context.Context, address string, notice *quarantine.Notice) error {
	_, err := c.exchange(ctx, address, &transport.Call{Method: http.MethodPost, Host: peerHost, RequestURI: noticePath, Body: encode(notice)})
	return err
}

// SendDeparture sends the peer a notice of a target that leaves.
func (c *Client) SendDeparture(ctx context.Context, address string, departure registry.Departure) error {
	_, err := c.exchange(ctx, address, &transport.Call{Method: http.MethodPost, Host: peerHost, RequestURI: departurePath, Body: encode(departure)})
	return err
}

// SendStart sends the peer a notice of a target that started while the store could not be written.
// Peers of versions without such notices answer with status 404.
func (c *Client) SendStart(ctx context.Context, address string, notice registry.StartNotice) error {
	_, err := c.exchange(ctx, address, &transport.Call{Method: http.MethodPost, Host: peerHost, RequestURI: startPath, Body: encode(notice)})
	return err
}

// decodeError returns the error for a reply that cannot be decoded.
func decodeError(address string, err error) *Error {
	return &Error{Sent: true, cause: fmt.Errorf("read reply from %s: %w", address, err)}
}

// Ping checks that the peer responds. It uses a new connection, because a silent old
// connection does not show that the peer is down.
func (c *Client) Ping(ctx context.Context, address string) error {
	_, err := c.exchange(ctx, address, &transport.Call{Method: http.MethodGet, Host: peerHost, RequestURI: pingPath, NewConnection: true})
	return err
}

// peerHost is the Host header, which HTTP/1.1 requires. Peers ignore it, so it is short
// instead of repeating the address in each message.
const peerHost = "p"

func (c *Client) exchange(ctx context.Context, address string, call *transport.Call) (*transport.Response, error) {
	call.PlainResponseBytes = c.config.MaxMessageBytes
	if call.Memory == nil {
		memory := c.config.Memory.Reservation(memorybudget.Control)
		defer memory.Release()
		call.Memory = &memory
	}
	response, err := c.pool(address).Exchange(ctx, call)
	if err != nil {
		var failure *transport.Failure
		sent := !errors.As(err, &failure) || failure.Sent
		return nil, &Error{Sent: sent, cause: err}
	}
	if response.OutOfMemory {
		response.Close()
		return nil, &Error{Sent: true, cause: memorybudget.ErrExceeded}
	}
	if response.Remainder != nil {
		response.Close()
		return nil, &Error{Sent: true, cause: fmt.Errorf("message from %s is too large", address)}
	}
	if response.Status != http.StatusOK {
		return nil, &Error{Sent: true, cause: fmt.Errorf("peer %s answered with status %s", address, strconv.Itoa(response.Status))}
	}
	return response, nil
}

// CloseIdle closes the idle connections to a peer, for example after one was silent.
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
			MaxBuffered: c.config.MaxMessageBytes,
		})
		c.pools[address] = pool
	}
	return pool
}
