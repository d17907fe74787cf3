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

func failureOf(t *testing.T, err error) *Failure {
	t.Helper()
	var failure *Failure
	assert.Assert(t, errors.As(err, &failure), "%v is no *Failure", err)
	return failure
}

func TestCompleteAnswers(t *testing.T) {
	for name, c := range map[string]struct{ raw, body string }{
		"length":          {whole("hello"), "hello"},
		"empty":           {whole(""), ""},
		"chunked":         {chunked("3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"), "hello"},
		"chunked, empty":  {chunked("0\r\n\r\n"), ""},
		"with trailer":    {chunked("5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n"), "hello"},
		"no content":      {"HTTP/1.1 204 No Content\r\n\r\n", ""},
		"after a 100":     {"HTTP/1.1 100 Continue\r\n\r\n" + whole("hello"), "hello"},
		"exactly buffer":  {whole(strings.Repeat("x", 100)), strings.Repeat("x", 100)},
		"exactly, chunks": {chunked("64\r\n" + strings.Repeat("x", 100) + "\r\n0\r\n\r\n"), strings.Repeat("x", 100)},
	} {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, writing(c.raw, true))
			pool := target.pool(t, func(c *Config) { c.MaxBuffered = 100 })
			for range 3 {
				answer, err := pool.Exchange(t.Context(), get())
				assert.NilError(t, err)
				assert.Equal(t, string(answer.Body), c.body)
				if answer.Remainder != nil {
					rest, err := io.ReadAll(answer.Remainder)
					assert.NilError(t, err)
					assert.Equal(t, len(rest), 0)
					answer.Close()
				}
			}
			assert.Equal(t, target.seen()[2].connection, 0, "the connection was not used again")
		})
	}
}

func TestIncompleteAnswersAreFailures(t *testing.T) {
	for name, raw := range map[string]string{
		"length, nothing":       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
		"length, a part":        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell",
		"chunk cut":             chunked("5\r\nhel"),
		"no final chunk":        chunked("5\r\nhello\r\n"),
		"final chunk cut":       chunked("5\r\nhello\r\n0\r\n"),
		"chunk size wrong":      chunked("5\r\nhelloooo\r\n0\r\n\r\n"),
		"neither length nor":    "HTTP/1.1 200 OK\r\n\r\nhello",
		"close-delimited":       "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello",
		"close-delimited, 1.0":  "HTTP/1.0 200 OK\r\n\r\nhello",
		"two different lengths": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
		"header cut":            "HTTP/1.1 200 OK\r\nContent-Le",
		"nothing":               "",
		"nonsense":              "hello\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, writing(raw, false))
			answer, err := target.pool(t, nil).Exchange(t.Context(), get())
			if err == nil {
				t.Fatalf("taken for a complete answer: %q", answer.Body)
			}
			assert.Assert(t, failureOf(t, err).Sent)
			assert.ErrorContains(t, err, target.listener.Addr().String())
			assert.Equal(t, len(target.seen()), 1, "the call was sent more than once")
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
		"length":       {whole(body), true},
		"chunked":      {chunked(chunks + "0\r\n\r\n"), true},
		"length, cut":  {whole(body)[:5000], false},
		"chunked, cut": {chunked(chunks), false},
	} {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, writing(c.raw, false))
			answer, err := target.pool(t, func(c *Config) { c.MaxBuffered = 100 }).Exchange(t.Context(), get())
			assert.NilError(t, err)
			assert.Assert(t, answer.Remainder != nil)
			assert.Assert(t, len(answer.Body) <= 101, "%d bytes were held", len(answer.Body))
			rest, err := io.ReadAll(answer.Remainder)
			answer.Close()
			if !c.complete {
				assert.Assert(t, err != nil, "the end of a cut answer looks like the end of a complete one")
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(answer.Body)+string(rest), body)
		})
	}
}

func TestNothingIsSentToAClosedPort(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	pool := NewPool(Config{Address: listener.Addr().String()})
	assert.NilError(t, listener.Close())
	_, err = pool.Exchange(t.Context(), get())
	assert.Assert(t, !failureOf(t, err).Sent)
}

func TestHead(t *testing.T) {
	target := newRawTarget(t, writing("HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n", true))
	pool := target.pool(t, nil)
	call := get()
	call.Method = http.MethodHead
	for range 2 {
		answer, err := pool.Exchange(t.Context(), call)
		assert.NilError(t, err)
		assert.Assert(t, answer.NoBody && answer.Remainder == nil && len(answer.Body) == 0)
		assert.Equal(t, answer.Header.Get("Content-Length"), "5000000")
	}
	assert.Equal(t, target.seen()[1].connection, 0)
}

// A reused connection that breaks after the target has read a call is where
// net/http sends a call again by itself.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	for name, start := range map[string]string{"before the answer": "", "in the answer": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhe"} {
		t.Run(name, func(t *testing.T) {
			began := make(chan struct{}, 1)
			target := newRawTarget(t, func(w io.Writer, call received) bool {
				_, _ = io.WriteString(w, start)
				began <- struct{}{}
				return true
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() { <-began; cancel() }()
			_, err := target.pool(t, nil).Exchange(ctx, get())
			assert.ErrorIs(t, err, context.Canceled)
			assert.Assert(t, failureOf(t, err).Sent)
			select {
			case <-target.left:
			case <-time.After(5 * time.Second):
				t.Fatal("the target does not see that nobody waits")
			}
		})
	}
}

func TestEndedContextSendsNothing(t *testing.T) {
	target := newRawTarget(t, writing(whole("ok"), true))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := target.pool(t, nil).Exchange(ctx, get())
	assert.Assert(t, !failureOf(t, err).Sent)
	assert.Equal(t, len(target.seen()), 0)
}

func TestHeaderTooLarge(t *testing.T) {
	for name, raw := range map[string]string{
		"one":  "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 8000) + "\r\nContent-Length: 0\r\n\r\n",
		"many": "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: "+strings.Repeat("x", 90)+"\r\n", 100) + "Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, writing(raw, true))
			_, err := target.pool(t, func(c *Config) { c.MaxHeaderBytes = 2000 }).Exchange(t.Context(), get())
			assert.Assert(t, failureOf(t, err).Sent)
		})
	}
}

// An answer that nobody asked for must not be taken for that of the next call.
func TestTheCallArrivesAsItIs(t *testing.T) {
	target := newRawTarget(t, writing(whole("ok"), true))
	call := &Call{
		Method:     http.MethodPut,
		RequestURI: "/a%2Fb/c?q=1&r=%20",
		Header:     http.Header{"X-Own": {"1", "2"}, "Accept-Encoding": {"br"}},
		Body:       bytes.Repeat([]byte("b"), 100_000),
	}
	_, err := target.pool(t, nil).Exchange(t.Context(), call)
	assert.NilError(t, err)
	got := target.seen()[0]
	assert.Equal(t, got.request.Method, call.Method)
	assert.Equal(t, got.request.RequestURI, call.RequestURI)
	assert.DeepEqual(t, got.request.Header["X-Own"], []string{"1", "2"})
	assert.DeepEqual(t, got.request.Header["Accept-Encoding"], []string{"br"})
	assert.Equal(t, got.body, string(call.Body))
	assert.Equal(t, got.request.ContentLength, int64(len(call.Body)))
}
