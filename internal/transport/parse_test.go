package transport

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Pieces of responses: valid, unusual and malformed ones.
var (
	statusLinePiece = rapid.SampledFrom([]string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 \r\n", "HTTP/1.1 200\r\n", "HTTP/1.1 503 Service Unavailable\r\n", "HTTP/1.1 204 No Content\r\n",
		"HTTP/1.1 304 Not Modified\r\n", "HTTP/1.1 102 Processing\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 2x0 OK\r\n", "HTTP/1.1  200 OK\r\n", "HTTP/1.1 200 O\rK\r\n", "HTTP/1.1 200 OK\n", "HTTP/1.1 999 x\r\n", " HTTP/1.1 200 OK\r\n"})
	fieldPiece = rapid.SampledFrom([]string{"X-Id: 1\r\n", "X-Id: 2\r\n", "x-id: 3\r\n", "X-ID: 4\r\n", "X-Id : 5\r\n", "X-Id:6\r\n", "X-Id: \t 7 \t\r\n", "X-Id:\r\n", "X-Id\r\n", ": 8\r\n", "\tfolded\r\n", " folded: 9\r\n", "X_Id: 10\r\n",
		"X-Id: \x00\r\n", "X-Id: \xff\r\n", "X-Id: a\rb\r\n", "X-Id: a\nb\r\n", "X-Id: 11\n", "X--2a: 12\r\n", "-X: 13\r\n", "2X: 14\r\n", "X: a:b\r\n", "Keep-Alive: timeout=5\r\n", "Date: Thu, 03 Dec 2026 00:00:00 GMT\r\n",
		"Connection: close\r\n", "Connection: keep-alive\r\n", "Pragma: no-cache\r\n", "Trailer: X-Id\r\n", "Transfer-Encoding: chunked\r\n", "Upgrade: x\r\n", "Content-Encoding: gzip\r\n",
		"Content-Length: 5\r\n", "Content-Length: 05\r\n", "Content-Length: 6\r\n", "Content-Length: +5\r\n", "Content-Length: -5\r\n", "Content-Length: 5, 5\r\n", "Content-Length:\r\n", "Content-Length: 5 5\r\n", "Content-Length: 99999999999999999999\r\n"})
	bodyPiece = rapid.SampledFrom([]string{"", "hello", "hello HTTP/1.1 200 OK\r\n\r\n"})
)

// TestParsedResponsesAreThoseOfNetHTTP guards against a difference between parseResponse and
// http.ReadResponse for a response that the former accepts.
func TestParsedResponsesAreThoseOfNetHTTP(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := statusLinePiece.Draw(t, "status line") + strings.Join(rapid.SliceOfN(fieldPiece, 0, 4).Draw(t, "fields"), "")
		if rapid.Bool().Draw(t, "with a length") {
			raw += "Content-Length: 5\r\n"
		}
		raw += "\r\n" + bodyPiece.Draw(t, "body")
		raw = raw[:len(raw)-rapid.IntRange(0, min(8, len(raw))).Draw(t, "cut off")]
		parsed, ok := parseResponse([]byte(raw))
		if !ok {
			return
		}
		reader := bufio.NewReader(strings.NewReader(raw))
		expected, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		assert.NilError(t, err, "%q", raw)
		assert.Equal(t, parsed.status, expected.StatusCode, "%q", raw)
		assert.DeepEqual(t, parsed.header, expected.Header)
		assert.Equal(t, parsed.length, expected.ContentLength, "%q", raw)
		assert.Assert(t, !expected.Close && len(expected.TransferEncoding) == 0 && len(expected.Trailer) == 0, "%q", raw)
		rest, err := io.ReadAll(reader)
		assert.NilError(t, err)
		assert.Equal(t, raw[parsed.headerBytes:], string(rest))
	})
}

// TestUsualResponsesAreParsed guards against parseResponse rejecting the responses it is for.
func TestUsualResponsesAreParsed(t *testing.T) {
	parsed, ok := parseResponse([]byte("HTTP/1.1 200 OK\r\nX-Id: 9c41\r\nContent-Type: text/plain; charset=utf-8\r\nDate: Thu, 03 Dec 2026 00:00:00 GMT\r\nSet-Cookie: a\r\nSet-Cookie: b\r\nContent-Length: 2\r\n\r\nok"))
	assert.Assert(t, ok)
	assert.Equal(t, parsed.status, http.StatusOK)
	assert.Equal(t, parsed.length, int64(2))
	assert.DeepEqual(t, parsed.header["Set-Cookie"], []string{"a", "b"})
	parsed.header.Add("X-Id", "added")
	assert.Equal(t, parsed.header.Get("Content-Type"), "text/plain; charset=utf-8", "an added value replaces that of the next field")
}
