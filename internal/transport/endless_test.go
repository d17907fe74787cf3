package transport

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endlessResponses are beginnings of responses, and what follows them without end.
var endlessResponses = map[string][2]string{
	"status line":             {"HTTP/1.1 200 ", "x"},
	"header field":            {"HTTP/1.1 200 OK\r\nX: ", "x"},
	"header fields":           {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	"folded header field":     {"HTTP/1.1 200 OK\r\nX: y\r\n", " y\r\n"},
	"field without a colon":   {"HTTP/1.1 200 OK\r\n", "x"},
	"interim responses":       {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"header of interim":       {"HTTP/1.1 102 Processing\r\n", "X: y\r\n"},
	"chunk size":              {chunkedResponse(""), "0"},
	"chunk extension":         {chunkedResponse("5;"), "x"},
	"chunk extensions":        {chunkedResponse(""), "1;" + strings.Repeat("x", 1000) + "\r\ny\r\n"},
	"trailer field":           {chunkedResponse("5\r\nhello\r\n0\r\nX: "), "x"},
	"trailer fields":          {chunkedResponse("5\r\nhello\r\n0\r\n"), "X: y\r\n"},
	"skipped, trailer fields": {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
}

// respondWithoutEnd writes the response until the connection is closed.
func respondWithoutEnd(response [2]string, pause time.Duration) responder {
	return func(w io.Writer, _ receivedCall) bool {
		_, err := io.WriteString(w, response[0])
		rest := response[1]
		if pause == 0 {
			rest = strings.Repeat(rest, 1+readBufferSize/len(rest))
		}
		for err == nil {
			_, err = io.WriteString(w, rest)
			time.Sleep(pause)
		}
		return false
	}
}

// TestHeadWithoutEndFailsAtOnce covers connections to targets, and those to peers, where the number
// of interim responses has no fixed limit.
func TestHeadWithoutEndFailsAtOnce(t *testing.T) {
	const maxAllocated = 32 << 20
	for kind, silenceTimeout := range map[string]time.Duration{"target": 0, "peer": 700 * time.Millisecond} {
		for name, response := range endlessResponses {
			t.Run(kind+"/"+name, func(t *testing.T) {
				target := newRawTarget(t, respondWithoutEnd(response, 0))
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				before := allocated()
				_, err := target.pool(t, func(c *Config) { c.SilenceTimeout = silenceTimeout }).Exchange(ctx, callWithID("own"))
				assert.Assert(t, asFailure(t, err).Sent)
				assert.NilError(t, ctx.Err(), "the exchange failed only at its deadline")
				assert.Assert(t, allocated()-before < maxAllocated, "%d bytes were allocated", allocated()-before)
				<-target.disconnected
			})
		}
	}
}

// allocated returns the number of bytes that were allocated so far.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// TestSlowHeadEndsAtDeadline sends heads that are still valid at the deadline of the call.
func TestSlowHeadEndsAtDeadline(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := newRawTarget(t, respondWithoutEnd(response, 100*time.Millisecond))
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			started := time.Now()
			_, err := target.pool(t, nil).Exchange(ctx, &Call{Method: http.MethodGet, RequestURI: "/x", Header: http.Header{}})
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			assert.Assert(t, time.Since(started) < 10*timeout, "ended after %v", time.Since(started))
			<-target.disconnected
		})
	}
}
