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

// received is a call as a raw target got it, on the connection of that number.
type received struct {
	connection int
	request    *http.Request
	body       string
}

// rawTarget is a target that writes what the test says, byte for byte.
type rawTarget struct {
	listener net.Listener
	mutex    sync.Mutex
	calls    []received
	left     chan int
}

// unread is the path of calls whose connection the target closes without
// reading the body.
const unread = "/unread"

// answering runs on each call; it returns false to close the connection.
type answering func(w io.Writer, call received) bool

func newRawTarget(t *testing.T, answer answering) *rawTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := &rawTarget{listener: listener, left: make(chan int, 100)}
	var running sync.WaitGroup
	running.Go(func() {
		for number := 0; ; number++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = connection.Close() })
			go target.serve(connection, number, answer)
		}
	})
	t.Cleanup(func() { _ = listener.Close(); running.Wait() })
	return target
}

func (r *rawTarget) serve(connection net.Conn, number int, answer answering) {
	defer func() { _ = connection.Close(); r.left <- number }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == unread {
			r.note(received{connection: number, request: request})
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		call := received{connection: number, request: request, body: string(body)}
		r.note(call)
		if !answer(connection, call) {
			return
		}
	}
}

func (r *rawTarget) note(call received) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.calls = append(r.calls, call)
}

func (r *rawTarget) seen() []received {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]received(nil), r.calls...)
}

// pool returns a pool to the target; change may set its bounds.
func (r *rawTarget) pool(t *testing.T, change func(*Config)) *Pool {
	t.Helper()
	config := Config{Address: r.listener.Addr().String()}
	if change != nil {
		change(&config)
	}
	pool := NewPool(config)
	t.Cleanup(pool.Close)
	return pool
}

// writing answers every call with the text and goes on, or ends the connection.
func writing(text string, keep bool) answering {
	return func(w io.Writer, _ received) bool {
		_, err := io.WriteString(w, text)
		return err == nil && keep
	}
}

func whole(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func chunked(chunks string) string {
	return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
}

func get() *Call { return &Call{Method: http.MethodGet, RequestURI: "/x", Header: http.Header{}} }
