package transport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// receivedCall is a call that a rawTarget has received. Connections are numbered in the
// order in which they were accepted.
type receivedCall struct {
	connection int
	request    *http.Request
	body       string
}

// rawTarget is a target that writes exactly the bytes that a test specifies.
type rawTarget struct {
	listener     net.Listener
	mutex        sync.Mutex
	calls        []receivedCall
	disconnected chan int
}

// unreadPath is the path of calls whose connection the target closes without
// reading the body.
const unreadPath = "/unread"

// responder handles a call; it returns false to close the connection.
type responder func(w io.Writer, call receivedCall) bool

func newRawTarget(t *testing.T, respond responder) *rawTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := &rawTarget{listener: listener, disconnected: make(chan int, 100)}
	var running sync.WaitGroup
	running.Go(func() {
		for number := 0; ; number++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = connection.Close() })
			go target.serve(connection, number, respond)
		}
	})
	t.Cleanup(func() { _ = listener.Close(); running.Wait() })
	return target
}

func (r *rawTarget) serve(connection net.Conn, number int, respond responder) {
	defer func() { _ = connection.Close(); r.disconnected <- number }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == unreadPath {
			r.record(receivedCall{connection: number, request: request})
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		call := receivedCall{connection: number, request: request, body: string(body)}
		r.record(call)
		if !respond(connection, call) {
			return
		}
	}
}

func (r *rawTarget) record(call receivedCall) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.calls = append(r.calls, call)
}

func (r *rawTarget) received() []receivedCall {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]receivedCall(nil), r.calls...)
}

// pool returns a pool for the target; configure, if not nil, may adjust its Config.
func (r *rawTarget) pool(t *testing.T, configure func(*Config)) *Pool {
	t.Helper()
	config := Config{Address: r.listener.Addr().String()}
	if configure != nil {
		configure(&config)
	}
	pool := NewPool(config)
	t.Cleanup(pool.Close)
	return pool
}

// respondWith answers every call with the text and keeps or closes the connection.
func respondWith(text string, keepOpen bool) responder {
	return func(w io.Writer, _ receivedCall) bool {
		_, err := io.WriteString(w, text)
		return err == nil && keepOpen
	}
}

func responseWithLength(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func chunkedResponse(chunks string) string {
	return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
}

func getCall() *Call { return &Call{Method: http.MethodGet, RequestURI: "/x", Header: http.Header{}} }
