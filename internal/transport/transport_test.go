package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func asFailure(t *testing.T, err error) *Failure {
	t.Helper()
	var failure *Failure
	assert.Assert(t, errors.As(err, &failure), "%v is not a *Failure", err)
	return failure
}

func TestCompleteResponses(t *testing.T) {
	for name, c := range map[string]struct{ raw, body string }{
		"length":                       {responseWithLength("hello"), "hello"},
		"empty":                        {responseWithLength(""), ""},
		"chunked":                      {chunkedResponse("3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"), "hello"},
		"chunked, empty":               {chunkedResponse("0\r\n\r\n"), ""},
		"with trailer":                 {chunkedResponse("5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n"), "hello"},
		"no content":                   {"HTTP/1.1 204 No Content\r\n\r\n", ""},
		"after 100 Continue":           {"HTTP/1.1 100 Continue\r\n\r\n" + responseWithLength("hello"), "hello"},
		"length, exactly MaxBuffered":  {responseWithLength(strings.Repeat("x", 100)), strings.Repeat("x", 100)},
		"chunked, exactly MaxBuffered": {chunkedResponse("64\r\n" + strings.Repeat("x", 100) + "\r\n0\r\n\r\n"), strings.Repeat("x", 100)},
	} {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, respondWith(c.raw, true))
			pool := target.pool(t, func(c *Config) { c.MaxBuffered = 100 })
			for range 3 {
				response, err := pool.Exchange(t.Context(), getCall())
				assert.NilError(t, err)
				assert.Equal(t, string(response.Body), c.body)
				if response.Remainder != nil {
					rest, err := io.ReadAll(response.Remainder)
					assert.NilError(t, err)
					assert.Equal(t, len(rest), 0)
					response.Close()
				}
			}
			assert.Equal(t, target.received()[2].connection, 0, "the connection was not reused")
		})
	}
}

func TestIncompleteResponsesReturnFailure(t *testing.T) {
	for name, raw := range map[string]string{
		"length, empty":                      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
		"length, truncated":                  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell",
		"truncated chunk":                    chunkedResponse("5\r\nhel"),
		"no final chunk":                     chunkedResponse("5\r\nhello\r\n"),
		"truncated final chunk":              chunkedResponse("5\r\nhello\r\n0\r\n"),
		"chunk longer than its size":         chunkedResponse("5\r\nhelloooo\r\n0\r\n\r\n"),
		"no length or chunks":                "HTTP/1.1 200 OK\r\n\r\nhello",
		"close-delimited":                    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello",
		"close-delimited, 1.0":               "HTTP/1.0 200 OK\r\n\r\nhello",
		"conflicting Content-Length headers": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
		"truncated header":                   "HTTP/1.1 200 OK\r\nContent-Le",
		"nothing":                            "",
		"nonsense":                           "hello\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, respondWith(raw, false))
			response, err := target.pool(t, nil).Exchange(t.Context(), getCall())
			if err == nil {
				t.Fatalf("accepted as a complete response: %q", response.Body)
			}
			assert.Assert(t, asFailure(t, err).Sent)
			assert.ErrorContains(t, err, target.listener.Addr().String())
			assert.Equal(t, len(target.received()), 1, "the call was sent more than once")
		})
	}
}

func TestLargeResponses(t *testing.T) {
	body := strings.Repeat("0123456789", 1000)
	chunks := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	for name, c := range map[string]struct {
		raw      string
		complete bool
	}{
		"length":             {responseWithLength(body), true},
		"chunked":            {chunkedResponse(chunks + "0\r\n\r\n"), true},
		"length, truncated":  {responseWithLength(body)[:5000], false},
		"chunked, truncated": {chunkedResponse(chunks), false},
	} {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, respondWith(c.raw, false))
			response, err := target.pool(t, func(c *Config) { c.MaxBuffered = 100 }).Exchange(t.Context(), getCall())
			assert.NilError(t, err)
			assert.Assert(t, response.Remainder != nil)
			assert.Assert(t, len(response.Body) <= 101, "%d bytes were buffered", len(response.Body))
			rest, err := io.ReadAll(response.Remainder)
			response.Close()
			if !c.complete {
				assert.Assert(t, err != nil, "a truncated response was read as a complete one")
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(response.Body)+string(rest), body)
		})
	}
}

func TestClosedPortReportsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	pool := NewPool(Config{Address: listener.Addr().String()})
	assert.NilError(t, listener.Close())
	_, err = pool.Exchange(t.Context(), getCall())
	assert.Assert(t, !asFailure(t, err).Sent)
}

func TestHead(t *testing.T) {
	target := newRawTarget(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n", true))
	pool := target.pool(t, nil)
	call := getCall()
	call.Method = http.MethodHead
	for range 2 {
		response, err := pool.Exchange(t.Context(), call)
		assert.NilError(t, err)
		assert.Assert(t, response.NoBody && response.Remainder == nil && len(response.Body) == 0)
		assert.Equal(t, response.Header.Get("Content-Length"), "5000000")
	}
	assert.Equal(t, target.received()[1].connection, 0)
}

func TestContextCancellationClosesConnection(t *testing.T) {
	for name, start := range map[string]string{"before the response": "", "within the response": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhe"} {
		t.Run(name, func(t *testing.T) {
			started := make(chan struct{}, 1)
			target := newRawTarget(t, func(w io.Writer, call receivedCall) bool {
				_, _ = io.WriteString(w, start)
				started <- struct{}{}
				return true
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() { <-started; cancel() }()
			_, err := target.pool(t, nil).Exchange(ctx, getCall())
			assert.ErrorIs(t, err, context.Canceled)
			assert.Assert(t, asFailure(t, err).Sent)
			select {
			case <-target.disconnected:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection was not closed")
			}
		})
	}
}

func TestCanceledContextSendsNothing(t *testing.T) {
	target := newRawTarget(t, respondWith(responseWithLength("ok"), true))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := target.pool(t, nil).Exchange(ctx, getCall())
	assert.Assert(t, !asFailure(t, err).Sent)
	assert.Equal(t, len(target.received()), 0)
}

func TestHeaderTooLarge(t *testing.T) {
	for name, raw := range map[string]string{
		"one":  "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 8000) + "\r\nContent-Length: 0\r\n\r\n",
		"many": "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: "+strings.Repeat("x", 90)+"\r\n", 100) + "Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, respondWith(raw, true))
			_, err := target.pool(t, func(c *Config) { c.MaxHeaderBytes = 2000 }).Exchange(t.Context(), getCall())
			assert.Assert(t, asFailure(t, err).Sent)
		})
	}
}

func TestCallIsSentUnchanged(t *testing.T) {
	target := newRawTarget(t, respondWith(responseWithLength("ok"), true))
	call := &Call{
		Method:     http.MethodPut,
		RequestURI: "/a%2Fb/c?q=1&r=%20",
		Header:     http.Header{"X-Own": {"1", "2"}, "Accept-Encoding": {"br"}},
		Body:       bytes.Repeat([]byte("b"), 100_000),
	}
	_, err := target.pool(t, nil).Exchange(t.Context(), call)
	assert.NilError(t, err)
	received := target.received()[0]
	assert.Equal(t, received.request.Method, call.Method)
	assert.Equal(t, received.request.RequestURI, call.RequestURI)
	assert.DeepEqual(t, received.request.Header["X-Own"], []string{"1", "2"})
	assert.DeepEqual(t, received.request.Header["Accept-Encoding"], []string{"br"})
	assert.Equal(t, received.body, string(call.Body))
	assert.Equal(t, received.request.ContentLength, int64(len(call.Body)))
}
