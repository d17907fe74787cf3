// Package transport exchanges calls with one target over pooled connections.
//
// A connection carries one exchange at a time. An answer is complete only when
// its Content-Length or final chunk was read; anything else is a typed error.
// A call is written at most once: the hidden resending of net/http's transport
// is ruled out, so that every further attempt is the gateway's decision.
package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
)

// Config describes how to reach a target.
type Config struct {
	// Address is the target's IP address and port.
	Address string
	// MaxConnections bounds the open connections; zero means no bound.
	MaxConnections int
	// MaxIdle bounds the idle connections kept; zero means MaxConnections.
	MaxIdle int
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// MaxBuffered is the largest answer body, in bytes, that Exchange reads whole.
	MaxBuffered int64
	// MaxHeaderBytes bounds the header of an answer.
	MaxHeaderBytes int64
}

// Defaults of a Config.
const (
	DefaultDialTimeout    = time.Second
	DefaultIdleTimeout    = 20 * time.Second
	DefaultMaxBuffered    = 1 << 20
	DefaultMaxHeaderBytes = 64 << 10
)

// Pool exchanges calls with one target. It is safe for concurrent use.
type Pool struct {
	config    Config
	transport *http.Transport
}

// NewPool returns a pool without connections; they are opened on demand.
func NewPool(config Config) *Pool {
	config = config.withDefaults()
	dialer := &net.Dialer{Timeout: config.DialTimeout}
	return &Pool{
		config: config,
		transport: &http.Transport{
			DialContext:            dialer.DialContext,
			MaxConnsPerHost:        config.MaxConnections,
			MaxIdleConnsPerHost:    config.MaxIdle,
			IdleConnTimeout:        config.IdleTimeout,
			MaxResponseHeaderBytes: config.MaxHeaderBytes,
			DisableCompression:     true,
		},
	}
}

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
		c.MaxIdle = max(c.MaxConnections, http.DefaultMaxIdleConnsPerHost)
	}
	return c
}

// Close closes the idle connections. Exchanges in progress go on.
func (p *Pool) Close() { p.transport.CloseIdleConnections() }

// Call is a call as the target receives it.
type Call struct {
	Method string
	// RequestURI is the path with the query.
	RequestURI string
	Header     http.Header
	Body       []byte
}

// Answer is a target's answer. When Rest is nil the body is complete.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// NoBody tells that the answer has no body whatever its Content-Length says,
	// as an answer to HEAD.
	NoBody bool
	// Rest is what follows Body of an answer larger than the buffer. The reader
	// returns io.EOF only after a complete answer. It must be closed.
	Rest io.ReadCloser
}

// Close releases the connection of an answer with a Rest.
func (a *Answer) Close() {
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
}

// Failure is why an exchange brought no complete answer.
type Failure struct {
	// Sent tells whether the target may have received any part of the call.
	Sent bool
	// Incomplete tells that an answer began and did not end.
	Incomplete bool
	cause      error
}

// Error returns the cause, with the step and the target.
func (f *Failure) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Exchange sends the call and reads the answer. The context bounds both, and
// its end closes the connection, which tells the target to stop. The error is
// a *Failure.
func (p *Pool) Exchange(ctx context.Context, call *Call) (*Answer, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := p.newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, p.failure("build call", false, false, err)
	}
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		return nil, p.failure("exchange", sent.Load(), false, err)
	}
	answer, err := p.readAnswer(call.Method, response)
	if err != nil {
		return nil, p.failure("read answer", true, true, err)
	}
	return answer, nil
}

func (p *Pool) newRequest(ctx context.Context, call *Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+p.config.Address+call.RequestURI, nil)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", call.Method, call.RequestURI, err)
	}
	request.Header = call.Header
	request.Body = &singleUseBody{content: bytes.NewReader(call.Body)}
	request.ContentLength = int64(len(call.Body))
	return request, nil
}

// singleUseBody is a body that net/http cannot rewind. A request without a
// body, or with one that can be rewound, would be sent again by the transport
// when a reused connection fails.
type singleUseBody struct{ content *bytes.Reader }

func (b *singleUseBody) Read(buffer []byte) (int, error) { return b.content.Read(buffer) }

func (b *singleUseBody) Close() error { return nil }

func (p *Pool) readAnswer(method string, response *http.Response) (*Answer, error) {
	answer := &Answer{Status: response.StatusCode, Header: response.Header}
	if method == http.MethodHead {
		answer.NoBody = true
		return answer, response.Body.Close()
	}
	if response.ContentLength > p.config.MaxBuffered {
		answer.Rest = response.Body
		return answer, nil
	}
	body, err := readUpTo(response.Body, response.ContentLength, p.config.MaxBuffered)
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	answer.Body = body
	if int64(len(body)) > p.config.MaxBuffered {
		answer.Rest = response.Body
		return answer, nil
	}
	return answer, response.Body.Close()
}

// readUpTo reads the whole body, or one byte more than the limit of a longer
// one. A negative length is an unknown one.
func readUpTo(body io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 {
		content := make([]byte, length)
		if _, err := io.ReadFull(body, content); err != nil {
			return nil, unexpected(err)
		}
		return content, readEnd(body)
	}
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	return content, err
}

// readEnd reads the end of a body whose content was read, so that its
// connection goes back to the pool.
func readEnd(body io.Reader) error {
	var extra [1]byte
	_, err := body.Read(extra[:])
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (p *Pool) failure(step string, sent, incomplete bool, err error) *Failure {
	wrapped := oops.In("transport").With("step", step).With("peer", p.config.Address).
		Wrapf(err, "%s with %s", step, p.config.Address)
	return &Failure{Sent: sent, Incomplete: incomplete, cause: wrapped}
}
