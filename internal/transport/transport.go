// Package transport exchanges HTTP/1.1 calls with one target over pooled connections.
//
// A connection carries one exchange at a time. A response is complete only when its
// Content-Length or final chunk was read; anything else is a typed error. A call is
// written at most once, and a failure reports whether any of it may have reached the
// target, so that retrying is always the caller's decision.
//
// net/http encodes the headers of calls and parses responses, except for the replies of peers,
// whose header has a fixed form (Call.PlainResponseBytes). Its Transport is not used, because it
// retries calls by itself and passes each exchange through two more goroutines
// (docs/decisions/0003-transport.md).
package transport

import (
	"bytes"
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

	"github.com/lugspur/lugspur/internal/memorybudget"
)

// Config describes how to reach a target.
type Config struct {
	// Address is the target's IP address and port.
	Address string
	// MaxConnections bounds the open connections; zero means no bound.
	MaxConnections int
	// MaxIdle bounds the idle connections kept; zero means MaxConnections, or
	// DefaultMaxIdle if that is zero as well.
	MaxIdle int
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// MaxBuffered is the largest response body, in bytes, that Exchange buffers
	// completely.
	MaxBuffered int64
	// MaxHeaderBytes bounds the header of a response.
	MaxHeaderBytes int64
	// AcceptCloseDelimited accepts a response without Content-Length or chunked encoding as
	// complete when the connection is closed cleanly. Otherwise such a response is a
	// failure, because a truncated one can look the same.
	AcceptCloseDelimited bool
	// UserTimeout bounds the time for which sent bytes may stay unacknowledged by the
	// target's machine (TCP_USER_TIMEOUT); zero selects the system's default.
	UserTimeout time.Duration
	// KeepAlive is the idle time after which TCP keep-alive probes are sent, and the
	// interval between them, in whole seconds; zero selects the system's default.
	KeepAlive time.Duration
	// SilenceTimeout bounds the time between the call, its interim responses (1xx) and its
	// response; zero means no bound. It is for targets that send interim responses
	// periodically.
	SilenceTimeout time.Duration
	// IsRejection reports whether a response with the status and the header states that the target
	// did not run the call, so that it may be sent again. Nil means that none does.
	IsRejection func(status int, header http.Header) bool
	// OnAvoided is called for a call that is sent again after a rejection and does not take the
	// connection that was used last, because that has carried it before; opened reports whether a
	// connection is opened instead. It may be nil.
	OnAvoided func(id string, opened bool)
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

// Call is a request as the target receives it.
type Call struct {
	// ID identifies the call among those that the target receives. It may be empty if
	// Config.IsRejection is nil.
	ID     string
	Method string
	// Host is the Host header; empty means the target's address.
	Host string
	// RequestURI is the path and the query.
	RequestURI string
	Header     http.Header
	Body       []byte
	// Rest follows Body as a further part of the request's body.
	Rest []byte
	// OnHeader is called for the header of each final response on the connection, including
	// those that are skipped; it may be nil.
	OnHeader func(status int, header http.Header)
	// Attribute returns whose response one with the header is; nil stands for Own. Responses to
	// other calls, such as a surplus response to an earlier one, are skipped.
	Attribute func(http.Header) Attribution
	// SkipUnattributed also skips unattributed responses on a connection that has carried other
	// calls, as the call's own response may follow. Otherwise such a response ends the exchange,
	// and its connection is closed.
	SkipUnattributed bool
	// RepeatableUntil is the time until which the call may be sent to the target again if the
	// target rejects it. Until then no call with the same ID is sent over the connection of the
	// rejection, where a second copy of it would pass for the response to that call.
	RepeatableUntil time.Time
	// OnInterim is called for each interim response; it may be nil.
	OnInterim func()
	// NewConnection sends the call over a new connection instead of an idle one.
	NewConnection bool
	// PlainResponseBytes states, unless it is zero, that the call does not need the header of a
	// response with status 200, no header field but Content-Length, and a body of up to so many
	// bytes. Response.Header is nil for such a response, which is then read faster. It must not
	// exceed Config.MaxBuffered, nor be set together with OnHeader or Attribute, or for HEAD.
	PlainResponseBytes int64
	// SilenceTimeout overrides Config.SilenceTimeout for this call unless it is zero.
	SilenceTimeout time.Duration
	// BodyBuffer, unless it is nil, holds the bytes of Response.Body if Response.InBuffer is set.
	// They are valid until the buffer is used again.
	BodyBuffer *bytes.Buffer
	// Memory, unless it is nil, grows to the size of Response.Body. A response for which it cannot
	// grow, or that is larger than Config.MaxBuffered, has no Body but a Remainder.
	Memory *memorybudget.Reservation
}

// Attribution states to which call a response belongs.
type Attribution uint8

const (
	// Own is the attribution of the response to the call that waits for one.
	Own Attribution = iota
	// Other is the attribution of a response to another call.
	Other
	// Unattributed is the attribution of a response that does not state to which call it belongs.
	// On a connection that has carried other calls it may be a surplus response to one of them.
	Unattributed
)

// Response is a target's response. If Remainder is nil, Body is complete.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// InBuffer reports whether Body is part of Call.BodyBuffer.
	InBuffer bool
	// OutOfMemory reports whether Call.Memory could not grow to the size of the body.
	OutOfMemory bool
	// NoBody reports whether the response has no body regardless of its Content-Length,
	// such as a response to HEAD.
	NoBody bool
	// Remainder reads the bytes after Body if the response is larger than the buffer. It
	// returns io.EOF only after a complete response. It must be closed.
	Remainder io.ReadCloser
}

// Close releases the connection of a response with a Remainder.
func (r *Response) Close() {
	if r.Remainder != nil {
		_ = r.Remainder.Close()
	}
}

// Failure is the error of an exchange that ended without a complete response.
type Failure struct {
	// Sent reports whether the target may have received any part of the call.
	Sent bool
	// Incomplete reports whether a response began but did not end.
	Incomplete bool
	// SilentConnection is the connection if the target was silent for too long. It is left
	// open, because closing it cancels the call at the target. The caller must close it.
	SilentConnection io.Closer
	// step is what failed, and peer the target's address. The text is not formatted before it is
	// needed: most failures under load are calls that were canceled, which are not logged.
	step, peer string
	cause      error
}

// Error returns the text of the cause with the step and the target.
func (f *Failure) Error() string { return f.step + " with " + f.peer + ": " + f.cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

func (p *Pool) failure(step string, sent, incomplete bool, err error) *Failure {
	return &Failure{Sent: sent, Incomplete: incomplete, step: step, peer: p.config.Address, cause: err}
}

// Exchange sends the call and reads the response. Ending the context closes the
// connection, which cancels the call at the target. The error is a *Failure.
func (p *Pool) Exchange(ctx context.Context, call *Call) (*Response, error) {
	message := encode(p.config.Address, call)
	defer message.free()
	connection, failure := p.send(ctx, message.Bytes(), call)
	if failure != nil {
		return nil, failure
	}
	response, err := p.receive(ctx, connection, call)
	if err != nil {
		return nil, err
	}
	return response, nil
}

// send writes the message to a connection. If a reused connection accepts no byte of
// it, send retries with another connection.
func (p *Pool) send(ctx context.Context, message []byte, call *Call) (*connection, *Failure) {
	for {
		c, reused, err := p.acquire(ctx, call.ID, call.NewConnection)
		if err != nil {
			return nil, p.failure("connect", false, false, err)
		}
		c.closeOnDone(ctx)
		written, err := c.write(message, call)
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

// receive reads the response to a call that was sent.
func (p *Pool) receive(ctx context.Context, c *connection, call *Call) (*Response, *Failure) {
	method := call.Method
	silenceTimeout := cmp.Or(call.SilenceTimeout, p.config.SilenceTimeout)
	httpResponse, err := p.awaitMatching(c, call, silenceTimeout)
	if ctx.Err() == nil && silenceTimeout > 0 && isSilenceTimeout(err) {
		failure := p.failure("await answer", true, false, err)
		failure.SilentConnection = p.detach(c)
		return nil, failure
	}
	if err != nil {
		p.discard(c)
		return nil, p.failure("await answer", true, false, contextError(ctx, err))
	}
	p.recordRejection(c, call, httpResponse)
	response := &Response{Status: httpResponse.StatusCode, Header: httpResponse.Header}
	if method == http.MethodHead {
		response.NoBody = true
		p.release(c, httpResponse)
		return response, nil
	}
	if !delimited(httpResponse) {
		if !p.config.AcceptCloseDelimited {
			p.discard(c)
			return nil, p.failure("read answer", true, true, errCloseDelimited)
		}
		httpResponse.Close = true
	}
	err = p.readBody(response, httpResponse, call)
	switch {
	case errors.Is(err, memorybudget.ErrExceeded), errors.Is(err, memorybudget.ErrTooLarge):
		response.OutOfMemory = errors.Is(err, memorybudget.ErrExceeded)
		response.Remainder = &remainder{pool: p, connection: c, response: httpResponse}
	case err != nil:
		p.discard(c)
		return nil, p.failure("read answer", true, true, contextError(ctx, err))
	case int64(len(response.Body)) > p.config.MaxBuffered:
		response.Remainder = &remainder{pool: p, connection: c, response: httpResponse}
	default:
		p.release(c, httpResponse)
	}
	return response, nil
}

// isSilenceTimeout reports whether an exchange failed because the silence timeout
// expired, or because the target's machine did not acknowledge bytes or keep-alive
// probes.
func isSilenceTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}

// maxMismatched bounds the mismatched responses that are skipped for one call.
const maxMismatched = 4

var (
	errMismatched         = errors.New("the answers on the connection belong to other calls")
	errMismatchedTooLarge = errors.New("an answer to another call is too large to be skipped")
)

// awaitMatching reads the header of the call's response and skips responses that belong
// to other calls.
func (p *Pool) awaitMatching(c *connection, call *Call, silenceTimeout time.Duration) (*http.Response, error) {
	for range maxMismatched {
		response, err := c.readHeader(call, p.config.MaxHeaderBytes, silenceTimeout)
		if err != nil {
			return nil, err
		}
		if call.OnHeader != nil {
			call.OnHeader(response.StatusCode, response.Header)
		}
		if c.accepts(call, response.Header) {
			return response, nil
		}
		if response.Close || !delimited(response) {
			return nil, errMismatched
		}
		if err := skipBody(response, p.config.MaxBuffered); err != nil {
			return nil, err
		}
	}
	return nil, errMismatched
}

// skipBody reads the body of a mismatched response to its end. A body of more bytes than the limit
// is an error: what follows on the connection is not the next response.
func skipBody(response *http.Response, limit int64) error {
	if response.ContentLength > limit {
		return errMismatchedTooLarge
	}
	skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, limit+1))
	if err == nil && skipped > limit {
		err = errMismatchedTooLarge
	}
	return err
}

// errCloseDelimited means that the response ends with its connection, so that a complete
// one cannot be distinguished from a truncated one.
var errCloseDelimited = errors.New("the answer has neither a length nor chunks")

// delimited reports whether the end of the response's body can be distinguished from a
// broken connection.
func delimited(response *http.Response) bool {
	return response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked")
}

// contextError joins the context's error to the error of an exchange that the context
// ended.
func contextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Join(ctx.Err(), err)
	}
	return err
}

// maxBufferedCopy is the size up to which a body is read into Call.BodyBuffer, or copied for
// sending.
const maxBufferedCopy = 16 << 10

// readBody reads the body of a response.
func (p *Pool) readBody(response *Response, httpResponse *http.Response, call *Call) (err error) {
	length := httpResponse.ContentLength
	buffer := call.BodyBuffer
	if length < 0 || length > maxBufferedCopy {
		buffer = nil
	}
	response.InBuffer = buffer != nil
	switch {
	case call.Memory == nil:
		response.Body, err = readUpTo(httpResponse.Body, length, p.config.MaxBuffered, buffer)
	case buffer != nil && !call.Memory.Grow(length):
		err = memorybudget.ErrExceeded
	case buffer != nil:
		response.Body, err = readUpTo(httpResponse.Body, length, p.config.MaxBuffered, buffer)
	default:
		response.Body, err = memorybudget.Read(httpResponse.Body, length, p.config.MaxBuffered, call.Memory)
	}
	return err
}

// readUpTo reads the whole body, or limit+1 bytes of a longer one. A negative length
// means that the length is unknown. A body of known length is read into the buffer unless that is
// nil.
func readUpTo(body io.Reader, length, limit int64, buffer *bytes.Buffer) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(io.LimitReader(body, limit+1))
	}
	content := allocate(buffer, int(min(length, limit+1)))
	if _, err := io.ReadFull(body, content); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return content, nil
}

// allocate returns a slice of the size, which is part of the buffer unless that is nil.
func allocate(buffer *bytes.Buffer, size int) []byte {
	if buffer == nil {
		return make([]byte, size)
	}
	buffer.Reset()
	buffer.Grow(size)
	return buffer.AvailableBuffer()[:size]
}

// remainder reads the bytes after the buffered part of a large response.
type remainder struct {
	pool       *Pool
	connection *connection
	response   *http.Response
	complete   bool
	closed     bool
}

// Read returns io.EOF only after a complete response.
func (r *remainder) Read(buffer []byte) (int, error) {
	n, err := r.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		r.complete = true
	} else if err != nil {
		err = fmt.Errorf("rest of answer from %s: %w", r.pool.config.Address, err)
	}
	return n, err
}

// Close returns the connection to the pool, or closes it if the response was not read
// to its end.
func (r *remainder) Close() error {
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
