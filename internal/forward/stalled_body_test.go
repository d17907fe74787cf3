package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStalledSmallBodyEndsAtDeadline guards against callers that keep connections, goroutines and
// memory of the node with bodies that they announce and do not send.
func TestStalledSmallBodyEndsAtDeadline(t *testing.T) {
	f := newFixture(t, replyOK)
	address := f.serve(t)
	for path, status := range map[string]int{"/read/x": http.StatusGatewayTimeout, "/once/x": http.StatusGatewayTimeout, "/none/x": http.StatusNotFound} {
		t.Run(path, func(t *testing.T) {
			connection, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer func() { _ = connection.Close() }()
			assert.NilError(t, connection.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: a.example\r\nX-Id: a\r\nX-Deadline: 300\r\nContent-Length: 100\r\n\r\nbegin", path)
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, status)
			_ = response.Body.Close()
		})
	}
	assert.Equal(t, f.calls(), 0)
}

// wrappedWriter hides the other methods of net/http's writer.
type wrappedWriter struct{ http.ResponseWriter }

func (w wrappedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestTooLargeBodyIsAnsweredAtOnce guards against an answer that waits for the rest of a body which
// its caller does not send before it has the answer.
func TestTooLargeBodyIsAnsweredAtOnce(t *testing.T) {
	f := newFixture(t, replyOK)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.forwarder.ServeHTTP(wrappedWriter{w}, r) }))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	size := f.forwarder.routes.Current().Limits().MaxBodyBytes + 1
	_, err = fmt.Fprintf(connection, "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", size, make([]byte, size))
	assert.NilError(t, err)
	assert.NilError(t, connection.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Assert(t, response.Close)
	_ = response.Body.Close()
}
