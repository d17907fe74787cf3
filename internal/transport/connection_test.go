package transport

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCallIsNotResentWhenReusedConnectionBreaks covers a reused connection that breaks
// after the target has read a call, a case in which net/http's Transport resends some
// calls by itself.
func TestCallIsNotResentWhenReusedConnectionBreaks(t *testing.T) {
	for name, modify := range map[string]func(*Call){
		"GET":                                  func(*Call) {},
		"HEAD":                                 func(c *Call) { c.Method = http.MethodHead },
		"OPTIONS":                              func(c *Call) { c.Method = http.MethodOptions },
		"POST":                                 func(c *Call) { c.Method, c.Body = http.MethodPost, []byte("{}") },
		"POST, empty":                          func(c *Call) { c.Method = http.MethodPost },
		"POST with Idempotency-Key":            func(c *Call) { c.Method = http.MethodPost; c.Header.Set("Idempotency-Key", "k") },
		"POST with X-Idempotency-Key and body": func(c *Call) { c.Method, c.Body = "POST", []byte("x"); c.Header.Set("X-Idempotency-Key", "k") },
	} {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, func(w io.Writer, call receivedCall) bool {
				if call.request.URL.Path == "/breaks" {
					return false
				}
				return respondWith(responseWithLength("ok"), true)(w, call)
			})
			pool := target.pool(t, nil)
			_, err := pool.Exchange(t.Context(), getCall())
			assert.NilError(t, err)
			call := getCall()
			modify(call)
			call.RequestURI = "/breaks"
			_, err = pool.Exchange(t.Context(), call)
			assert.Assert(t, asFailure(t, err).Sent)
			received := target.received()
			assert.Equal(t, len(received), 2, "the target saw the call %d times", len(received)-1)
			assert.Equal(t, received[1].connection, 0, "the connection was not reused, so the test does not cover its break")
			assert.Equal(t, received[1].body, string(call.Body))
		})
	}
}

func TestPartiallySentCallIsNotResent(t *testing.T) {
	target := newRawTarget(t, respondWith(responseWithLength("ok"), true))
	pool := target.pool(t, nil)
	_, err := pool.Exchange(t.Context(), getCall())
	assert.NilError(t, err)
	call := &Call{Method: http.MethodPost, RequestURI: unreadPath, Header: http.Header{}, Body: make([]byte, 32<<20)}
	_, err = pool.Exchange(t.Context(), call)
	assert.Assert(t, asFailure(t, err).Sent)
	assert.Equal(t, len(target.received()), 2)
}

// TestSurplusResponsesAreNotReturned checks that a surplus response to one call is not
// returned for the next call.
func TestSurplusResponsesAreNotReturned(t *testing.T) {
	target := newRawTarget(t, func(w io.Writer, call receivedCall) bool {
		return respondWith(responseWithLength(call.body)+responseWithLength("stray"), true)(w, call)
	})
	pool := target.pool(t, nil)
	for i := range 300 {
		call := &Call{Method: http.MethodPost, RequestURI: "/", Header: http.Header{}, Body: fmt.Appendf(nil, "call-%d", i)}
		response, err := pool.Exchange(t.Context(), call)
		if err != nil {
			continue
		}
		assert.Equal(t, string(response.Body), string(call.Body), "call %d got another response", i)
	}
}

func TestConnectionsThatAreNotReused(t *testing.T) {
	for name, raw := range map[string]string{
		"closed by the target after the response": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0":                 "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"bytes after the response": responseWithLength("ok") + "H",
	} {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, respondWith(raw, true))
			pool := target.pool(t, nil)
			for number := range 3 {
				_, err := pool.Exchange(t.Context(), getCall())
				assert.NilError(t, err)
				assert.Equal(t, target.received()[number].connection, number)
			}
		})
	}
}

func TestMaxConnections(t *testing.T) {
	release := make(chan struct{})
	target := newRawTarget(t, func(w io.Writer, call receivedCall) bool {
		<-release
		return respondWith(responseWithLength("ok"), true)(w, call)
	})
	pool := target.pool(t, func(c *Config) { c.MaxConnections = 2 })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	failures := make(chan error, 6)
	for range cap(failures) {
		go func() { _, err := pool.Exchange(ctx, getCall()); failures <- err }()
	}
	go func() {
		for len(target.received()) < 2 {
			time.Sleep(time.Millisecond)
		}
		close(release)
	}()
	for range cap(failures) {
		assert.NilError(t, <-failures)
	}
	for _, call := range target.received() {
		assert.Assert(t, call.connection < 2, "connection %d was opened", call.connection)
	}
}
