package transport

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestInvalidStatusLineFailsAtOnce sends the bytes and leaves the connection open.
func TestInvalidStatusLineFailsAtOnce(t *testing.T) {
	const rest = "\r\nX-Id: own\r\nContent-Length: 2\r\n\r\nok"
	for name, raw := range map[string]string{
		"status 000":              "HTTP/1.1 000 None" + rest,
		"status 099":              "HTTP/1.1 099 None" + rest,
		"status 600":              "HTTP/1.1 600 None" + rest,
		"status 999":              "HTTP/1.1 999 None" + rest,
		"status 000, no header":   "HTTP/1.1 000",
		"status 000, interim":     "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 None" + rest,
		"sign":                    "HTTP/1.1 +20 OK" + rest,
		"minus":                   "HTTP/1.1 -00 OK" + rest,
		"space":                   "HTTP/1.1  20 OK" + rest,
		"two spaces":              "HTTP/1.1  200 OK" + rest,
		"two digits":              "HTTP/1.1 20 OK" + rest,
		"four digits":             "HTTP/1.1 2000 OK" + rest,
		"letters":                 "HTTP/1.1 2OO OK" + rest,
		"no status":               "HTTP/1.1\r\n",
		"version 0.9":             "HTTP/0.9 200 OK" + rest,
		"version 2.0":             "HTTP/2.0 200 OK" + rest,
		"version without a digit": "HTTP/1.x 200 OK" + rest,
		"other protocol":          "ICY 200 OK" + rest,
		"lower case":              "http/1.1 200 OK" + rest,
		"leading line break":      "\r\nHTTP/1.1 200 OK" + rest,
		"binary":                  "\x15\x03\x01\x00\x02\x02",
		"body of interim":         "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nhello" + "HTTP/1.1 200 OK" + rest,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := newRawTarget(t, respondWith(raw, true))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			response, err := target.pool(t, nil).Exchange(ctx, callWithID("own"))
			if err == nil {
				t.Fatalf("status %d was accepted", response.Status)
			}
			assert.NilError(t, ctx.Err(), "the exchange failed only at its deadline")
			failure := asFailure(t, err)
			assert.Assert(t, failure.Sent && !failure.Incomplete)
			assert.ErrorContains(t, err, "valid status line")
			select {
			case <-target.disconnected:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection was not closed")
			}
		})
	}
}

// TestUnusualStatusLinesAreAccepted guards against valid responses that are taken for invalid ones.
func TestUnusualStatusLinesAreAccepted(t *testing.T) {
	for raw, status := range map[string]int{
		"HTTP/1.1 299 Fine":   299,
		"HTTP/1.1 205 Reset":  205,
		"HTTP/1.1 418 Teapot": 418,
		"HTTP/1.1 599 Last":   599,
		"HTTP/1.1 200":        200,
		"HTTP/1.1 200 ":       200,
		"HTTP/1.0 200 OK":     200,
		"HTTP/1.2 200 OK":     200,
		"HTTP/1.1 199 Interim\r\n\r\nHTTP/1.1 100\r\nX: y\r\n\r\nHTTP/1.1 200 OK": 200,
	} {
		t.Run(raw, func(t *testing.T) {
			target := newRawTarget(t, respondWith(raw+"\r\nContent-Length: 2\r\n\r\nok", true))
			response, err := target.pool(t, nil).Exchange(t.Context(), getCall())
			assert.NilError(t, err)
			assert.Equal(t, response.Status, status)
			assert.Equal(t, string(response.Body), "ok")
		})
	}
}

// TestResponsesWithoutBody checks the connection after responses that have no body by their status
// or method, whatever their header says.
func TestResponsesWithoutBody(t *testing.T) {
	for name, c := range map[string]struct {
		method, raw string
		reused      bool
	}{
		"204":                   {http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", true},
		"304":                   {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", true},
		"204 with length, body": {http.MethodGet, "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nhello", false},
		"204 with chunks, body": {http.MethodGet, "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		"304 with body":         {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\nhello", false},
		"HEAD with body":        {http.MethodHead, responseWithLength("hello"), false},
	} {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, respondWith(c.raw, true))
			pool := target.pool(t, nil)
			for range 2 {
				call := getCall()
				call.Method = c.method
				response, err := pool.Exchange(t.Context(), call)
				assert.NilError(t, err)
				assert.Equal(t, len(response.Body), 0)
			}
			assert.Equal(t, target.received()[1].connection == 0, c.reused)
		})
	}
}

// TestErrorOfInvalidStatusLineIsShort guards against log lines of the length of a header.
func TestErrorOfInvalidStatusLineIsShort(t *testing.T) {
	target := newRawTarget(t, respondWith("HTTP/1.1 000 "+strings.Repeat("x", 10_000), true))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := target.pool(t, nil).Exchange(ctx, getCall())
	assert.ErrorContains(t, err, `"HTTP/1.1 000 xxx`)
	assert.Assert(t, len(err.Error()) < 200, "%d bytes", len(err.Error()))
}
