package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startConstantTarget starts a target that answers each message it reads with a constant
// response, and returns its address. It takes each read for one message, which holds for small
// messages on the loopback interface.
func startConstantTarget(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerMessages(connection)
		}
	}()
	return listener.Addr().String()
}

func answerMessages(connection net.Conn) {
	defer connection.Close()
	buffer := make([]byte, 4<<10)
	for {
		if _, err := connection.Read(buffer); err != nil {
			return
		}
		if _, err := io.WriteString(connection, "HTTP/1.1 200 OK\r\nX-Id: 9c41d07be2a35f68\r\nX-Signature: s\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// BenchmarkExchange measures sequential exchanges with a target under a context that can be
// canceled, as the home's exchanges are.
func BenchmarkExchange(b *testing.B) {
	pool := NewPool(Config{Address: startConstantTarget(b), MaxConnections: 10, AcceptCloseDelimited: true})
	b.Cleanup(pool.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	call := &Call{Method: http.MethodGet, RequestURI: "/read/x", Header: http.Header{"X-Id": {"9c41d07be2a35f68"}, "X-Deadline": {"5000"}, "User-Agent": {"caller"}, "Accept": {"*/*"}}}
	b.ReportAllocs()
	for b.Loop() {
		response, err := pool.Exchange(ctx, call)
		assert.NilError(b, err)
		if response.Status != http.StatusOK || len(response.Body) != 2 {
			b.Fatalf("status %d, body %q", response.Status, response.Body)
		}
	}
}
