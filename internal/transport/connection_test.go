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

func TestACallIsSeenOnceWhenAReusedConnectionBreaks(t *testing.T) {
	for name, change := range map[string]func(*Call){
		"GET":             func(*Call) {},
		"HEAD":            func(c *Call) { c.Method = http.MethodHead },
		"OPTIONS":         func(c *Call) { c.Method = http.MethodOptions },
		"POST":            func(c *Call) { c.Method, c.Body = http.MethodPost, []byte("{}") },
		"POST, empty":     func(c *Call) { c.Method = http.MethodPost },
		"POST with a key": func(c *Call) { c.Method = http.MethodPost; c.Header.Set("Idempotency-Key", "k") },
		"X key and body":  func(c *Call) { c.Method, c.Body = "POST", []byte("x"); c.Header.Set("X-Idempotency-Key", "k") },
	} {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, func(w io.Writer, call received) bool {
				if call.request.URL.Path == "/breaks" {
					return false
				}
				return writing(whole("ok"), true)(w, call)
			})
			pool := target.pool(t, nil)
			_, err := pool.Exchange(t.Context(), get())
			assert.NilError(t, err)
			call := get()
			change(call)
			call.RequestURI = "/breaks"
			_, err = pool.Exchange(t.Context(), call)
			assert.Assert(t, failureOf(t, err).Sent)
			seen := target.seen()
			assert.Equal(t, len(seen), 2, "the target saw the call %d times", len(seen)-1)
			assert.Equal(t, seen[1].connection, 0, "the connection was not used again, which proves nothing")
			assert.Equal(t, seen[1].body, string(call.Body))
		})
	}
}

func TestACallIsNotSentAgainAfterAPartOfIt(t *testing.T) {
	target := newRawTarget(t, writing(whole("ok"), true))
	pool := target.pool(t, nil)
	_, err := pool.Exchange(t.Context(), get())
	assert.NilError(t, err)
	call := &Call{Method: http.MethodPost, RequestURI: unread, Header: http.Header{}, Body: make([]byte, 32<<20)}
	_, err = pool.Exchange(t.Context(), call)
	assert.Assert(t, failureOf(t, err).Sent)
	assert.Equal(t, len(target.seen()), 2)
}

func TestStrayAnswersAreNotMixedIn(t *testing.T) {
	target := newRawTarget(t, func(w io.Writer, call received) bool {
		return writing(whole(call.body)+whole("stray"), true)(w, call)
	})
	pool := target.pool(t, nil)
	for i := range 300 {
		call := &Call{Method: http.MethodPost, RequestURI: "/", Header: http.Header{}, Body: fmt.Appendf(nil, "call-%d", i)}
		answer, err := pool.Exchange(t.Context(), call)
		if err != nil {
			continue
		}
		assert.Equal(t, string(answer.Body), string(call.Body), "call %d got another answer", i)
	}
}

func TestConnectionsThatMustNotBeUsedAgain(t *testing.T) {
	for name, raw := range map[string]string{
		"the target will close it": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0":                 "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"bytes behind the answer":  whole("ok") + "H",
	} {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, writing(raw, true))
			pool := target.pool(t, nil)
			for number := range 3 {
				_, err := pool.Exchange(t.Context(), get())
				assert.NilError(t, err)
				assert.Equal(t, target.seen()[number].connection, number)
			}
		})
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	target := newRawTarget(t, func(w io.Writer, call received) bool {
		<-release
		return writing(whole("ok"), true)(w, call)
	})
	pool := target.pool(t, func(c *Config) { c.MaxConnections = 2 })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	failures := make(chan error, 6)
	for range cap(failures) {
		go func() { _, err := pool.Exchange(ctx, get()); failures <- err }()
	}
	go func() {
		for len(target.seen()) < 2 {
			time.Sleep(time.Millisecond)
		}
		close(release)
	}()
	for range cap(failures) {
		assert.NilError(t, <-failures)
	}
	for _, call := range target.seen() {
		assert.Assert(t, call.connection < 2, "connection %d was opened", call.connection)
	}
}
