// Package transport exchanges calls with one target over pooled connections.
//
// A connection carries one exchange at a time. An answer is complete only when
// its Content-Length or final chunk was read; anything else is a typed error.
// A call is written at most once, and a failure tells whether any of it may
// have reached the target, so that every further attempt is the gateway's
// decision.
//
// The messages are written and parsed by net/http; its Transport is not used,
// because it resends calls by itself and hands every exchange through two
// further goroutines (docs/decisions/0003-transport.md).
package transport

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// Config describes how to reach a target.
type Config struct {
	// Address is the target's IP address and port.
	Address string
	// MaxConnections bounds the open connections; zero means no bound.
	MaxConnections int
	// MaxIdle bounds the idle connections kept; zero means MaxConnections, or
	// DefaultMaxIdle where that is zero as well.
	MaxIdle int
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// MaxBuffered is the largest answer body, in bytes, that Exchange reads whole.
	MaxBuffered int64
	// MaxHeaderBytes bounds the header of an answer.
	MaxHeaderBytes int64
	// AcceptCloseDelimited takes an answer without a length or chunks as complete
	// when its connection ends in order. Without it such an answer is a failure,
	// because one that was cut off can look the same.
	AcceptCloseDelimited bool
	// UserTimeout bounds the time for which sent bytes may stay unacknowledged by
	// the other side's machine; zero leaves it to the system.
	UserTimeout time.Duration
	// KeepAlive is how long a connection may carry nothing before the other side's
	// machine is asked, and asked again, whether it still knows the connection; zero
	// leaves it to the system. It is in whole seconds.
	KeepAlive time.Duration
	// Silence bounds the time for which nothing comes, not even an interim answer, while
	// an answer is awaited; zero for no bound. It is for other sides that send interim
	// answers in time.
	Silence time.Duration
}

// Defaults of a Config.
const (
	DefaultDialTimeout    = time.Second
	DefaultIdleTimeout    = 20 * time.Second
	DefaultMaxIdle        = 64
	DefaultMaxBuffered    = 1 << 20
	DefaultMaxHeaderBytes = 64 << 10
)

func (c Config) withDefaults() Config {
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.MaxBuffered == 0 {
		c.MaxBuffered = DefaultMaxBuffered
	}
	if c.MaxHeaderBytes == 0 {
		c.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if c.MaxIdle == 0 {
		c.MaxIdle = c.MaxConnections
	}
	if c.MaxIdle == 0 {
		c.MaxIdle = DefaultMaxIdle
	}
	return c
}

// Call is a call as the target receives it.
type Call struct {
	Method string
	// Host is the Host header; empty means the target's address.
	Host string
	// RequestURI is the path with the query.
	RequestURI string
	Header     http.Header
	Body       []byte
	// Matches reports whether an answer with the header belongs to the call; nil
	// means that each does. One that does not, such as a surplus answer to an
	// earlier call, is passed over, and the next one is awaited.
	Matches func(http.Header) bool
	// Interim is told of each interim answer; it may be nil.
	Interim func()
	// Fresh has the call go over a new connection.
	Fresh bool
	// Silence replaces that of the configuration for this call, zero for no change.
	Silence time.Duration
}

// Response is a target's answer. When Rest is nil the body is complete.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// NoBody tells that the answer has no body whatever its Content-Length says,
	// as an answer to HEAD.
	NoBody bool
	// Remainder is what follows Body of an answer larger than the buffer. The reader
	// returns io.EOF only after a complete answer. It must be closed.
	Remainder io.ReadCloser
}

// Close releases the connection of an answer with a Rest.
func (a *Response) Close() {
	if a.Remainder != nil {
		_ = a.Remainder.Close()
	}
}

// Failure is why an exchange brought no complete answer.
type Failure struct {
	// Sent tells whether the target may have received any part of the call.
	Sent bool
	// Incomplete tells that an answer began and did not end.
	Incomplete bool
	// Unanswered is the connection if the other side was silent for too long. It is
	// still open, so that a call which is under way there goes on, and must be closed.
	Unanswered io.Closer
	cause      error
}

// Error returns the cause, with the step and the target.
func (f *Failure) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

func (p *Pool) failure(step string, sent, incomplete bool, err error) *Failure {
	wrapped := oops.In("transport").With("step", step).With("peer", p.config.Address).
		Wrapf(err, "%s with %s", step, p.config.Address)
	return &Failure{Sent: sent, Incomplete: incomplete, cause: wrapped}
}

// Exchange sends the call and reads the answer. The context bounds both, and
// its end closes the connection, which tells the target to stop. The error is
// a *Failure.
func (p *Pool) Exchange(ctx context.Context, call *Call) (*Response, error) {
	message := encode(p.config.Address, call)
	defer message.free()
	connection, failure := p.send(ctx, message.Bytes(), call.Fresh)
	if failure != nil {
		return nil, failure
	}
	answer, err := p.receive(ctx, connection, call)
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// send writes the message to a connection. A reused connection that takes no
// byte of it is replaced by a new one.
func (p *Pool) send(ctx context.Context, message []byte, fresh bool) (*connection, *Failure) {
	for {
		c, reused, err := p.acquire(ctx, fresh)
		if err != nil {
			return nil, p.failure("connect", false, false, err)
		}
		c.watch(ctx)
		written, err := c.socket.Write(message)
		if err == nil {
			return c, nil
		}
		p.discard(c)
		if written > 0 {
			return nil, p.failure("send", true, false, contextError(ctx, err))
		}
		if !reused || ctx.Err() != nil {
			return nil, p.failure("send", false, false, contextError(ctx, err))
		}
	}
}

// receive reads the answer to a call that was sent.
func (p *Pool) receive(ctx context.Context, c *connection, call *Call) (*Response, *Failure) {
	method := call.Method
	silence := cmp.Or(call.Silence, p.config.Silence)
	response, err := p.awaitOwn(c, call, silence)
	if ctx.Err() == nil && silence > 0 && wentSilent(err) {
		failure := p.failure("await answer", true, false, err)
		failure.Unanswered = p.detach(c)
		return nil, failure
	}
	if err != nil {
		p.discard(c)
		return nil, p.failure("await answer", true, false, contextError(ctx, err))
	}
	answer := &Response{Status: response.StatusCode, Header: response.Header}
	if method == http.MethodHead {
		answer.NoBody = true
		p.release(c, response)
		return answer, nil
	}
	if !delimited(response) {
		if !p.config.AcceptCloseDelimited {
			p.discard(c)
			return nil, p.failure("read answer", true, true, errNotDelimited)
		}
		response.Close = true
	}
	answer.Body, err = readUpTo(response.Body, response.ContentLength, p.config.MaxBuffered)
	switch {
	case err != nil:
		p.discard(c)
		return nil, p.failure("read answer", true, true, contextError(ctx, err))
	case int64(len(answer.Body)) > p.config.MaxBuffered:
		answer.Remainder = &rest{pool: p, connection: c, response: response}
	default:
		p.release(c, response)
	}
	return answer, nil
}

// wentSilent reports whether an exchange failed because nothing came for the allowed
// silence, or because the other machine left bytes or probes unanswered.
func wentSilent(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}

// maxForeign bounds the answers that are passed over for one call.
const maxForeign = 4

var errForeign = errors.New("the answers on the connection belong to other calls")

// awaitOwn reads the header of the call's own answer and passes over answers
// that belong to other calls.
func (p *Pool) awaitOwn(c *connection, call *Call, silence time.Duration) (*http.Response, error) {
	for range maxForeign {
		response, err := c.readHeader(call, p.config.MaxHeaderBytes, silence)
		if err != nil {
			return nil, err
		}
		if call.Matches == nil || call.Matches(response.Header) {
			return response, nil
		}
		if response.Close || !delimited(response) {
			return nil, errForeign
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, p.config.MaxBuffered)); err != nil {
			return nil, err
		}
	}
	return nil, errForeign
}

// errNotDelimited means that an answer ends with its connection: a complete one
// looks like one that was cut off.
var errNotDelimited = errors.New("the answer has neither a length nor chunks")

// delimited reports whether the end of the answer's body can be told from a
// broken connection.
func delimited(response *http.Response) bool {
	return response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked")
}

// contextError returns the context's error where it is what ended an exchange.
func contextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Join(ctx.Err(), err)
	}
	return err
}

// readUpTo reads the whole body, or one byte more than the limit of a longer
// one. A negative length is an unknown one.
func readUpTo(body io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(io.LimitReader(body, limit+1))
	}
	content := make([]byte, min(length, limit+1))
	if _, err := io.ReadFull(body, content); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return content, nil
}

// rest reads what follows the buffered part of a large answer.
type rest struct {
	pool       *Pool
	connection *connection
	response   *http.Response
	complete   bool
	closed     bool
}

// Read returns io.EOF only after a complete answer.
func (r *rest) Read(buffer []byte) (int, error) {
	n, err := r.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		r.complete = true
	} else if err != nil {
		err = fmt.Errorf("rest of answer from %s: %w", r.pool.config.Address, err)
	}
	return n, err
}

// Close gives the connection back, or closes it if the answer was not read to
// its end.
func (r *rest) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	if r.complete {
		r.pool.release(r.connection, r.response)
	} else {
		r.pool.discard(r.connection)
	}
	return nil
}
