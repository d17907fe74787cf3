package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// limitedServer is a server with a limit of connections.
type limitedServer struct {
	*server
	limit   connectionLimit
	address string
	// accepted counts accepted connections, serving the requests that are being served.
	accepted, serving atomic.Int64
	finish            chan struct{}
}

// startLimitedServer starts a server that permits half as many connections as descriptors. Requests
// of /slow wait, and those of /context fail if they are canceled.
func startLimitedServer(t *testing.T, descriptors int, closable bool) *limitedServer {
	t.Helper()
	l := &limitedServer{limit: newConnectionLimit(ResourceSettings{MemoryMB: 256, Descriptors: descriptors}), finish: make(chan struct{})}
	var err error
	l.server, err = newServer("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.serving.Add(1)
		defer l.serving.Add(-1)
		if r.URL.Path == "/slow" {
			<-l.finish
		}
		if r.URL.Path == "/context" {
			time.Sleep(2 * closeRetryDelay)
			if r.Context().Err() != nil {
				w.WriteHeader(http.StatusBadGateway)
			}
		}
	}))
	assert.NilError(t, err)
	l.limit.apply(l.server, closable)
	notify := l.http.ConnState
	l.http.ConnState = func(connection net.Conn, state http.ConnState) {
		notify(connection, state)
		if state == http.StateNew {
			l.accepted.Add(1)
		}
	}
	l.start()
	l.address = l.listener.Addr().String()
	t.Cleanup(func() { _ = l.http.Close() })
	return l
}

func (l *limitedServer) dial(t *testing.T) net.Conn {
	t.Helper()
	accepted := l.accepted.Load()
	connection, err := net.DialTimeout("tcp", l.address, 5*time.Second)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if l.accepted.Load() == accepted {
			return poll.Continue("the connection has not been accepted")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(100*time.Microsecond))
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

func sendOn(t *testing.T, connection net.Conn, path string) {
	t.Helper()
	_, err := fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
	assert.NilError(t, err)
}

func awaitStatus(t *testing.T, connection net.Conn) {
	t.Helper()
	assert.NilError(t, connection.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

func (l *limitedServer) awaitOpen(t *testing.T, count int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if open := l.limit.table.Open(); open != count {
			return poll.Continue("%d connections are open", open)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// TestIdleConnectionsAreClosedBeyondLimit guards against idle connections that keep new ones waiting
// until they time out, and against closing one that carries a request.
func TestIdleConnectionsAreClosedBeyondLimit(t *testing.T) {
	l := startLimitedServer(t, 20, true)
	slow := l.dial(t)
	sendOn(t, slow, "/slow")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if l.serving.Load() == 0 {
			return poll.Continue("the request has not arrived")
		}
		return poll.Success()
	})
	kept := l.dial(t)
	for range 200 {
		used := l.dial(t)
		sendOn(t, used, "/")
		awaitStatus(t, used)
		sendOn(t, kept, "/")
		awaitStatus(t, kept)
	}
	l.awaitOpen(t, 10)
	close(l.finish)
	awaitStatus(t, slow)
}

// TestFirstRequestsAreServedBeyondLimit guards against closing a new connection whose first request
// is on its way while more connections are open than permitted.
func TestFirstRequestsAreServedBeyondLimit(t *testing.T) {
	l := startLimitedServer(t, 20, true)
	var opened []net.Conn
	for range 40 {
		opened = append(opened, l.dial(t))
	}
	time.Sleep(5 * closeRetryDelay)
	for _, connection := range opened {
		_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHo")
		assert.NilError(t, err)
	}
	time.Sleep(5 * closeRetryDelay)
	for _, connection := range opened {
		_, err := io.WriteString(connection, "st: a\r\n\r\n")
		assert.NilError(t, err)
		awaitStatus(t, connection)
	}
}

// TestRequestOnClosingConnectionRuns guards against a request that arrives while its connection is
// being closed and loses its context.
func TestRequestOnClosingConnectionRuns(t *testing.T) {
	l := startLimitedServer(t, 20, true)
	for range 300 {
		connection := l.dial(t)
		sendOn(t, connection, "/")
		awaitStatus(t, connection)
		go func() {
			if selected, found := l.limit.table.Select(); found {
				l.limit.closeSelected(selected)
			}
		}()
		if _, err := io.WriteString(connection, "GET /context HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			continue
		}
		_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err == nil {
			assert.Equal(t, response.StatusCode, http.StatusOK)
		}
		_ = connection.Close()
	}
}

// TestConnectionsOfPeersStayOpen guards against closing the connection of a peer, whose call could
// not be sent again.
func TestConnectionsOfPeersStayOpen(t *testing.T) {
	l := startLimitedServer(t, 20, false)
	for range 30 {
		l.dial(t)
	}
	l.awaitOpen(t, 30)
	time.Sleep(20 * time.Millisecond)
	l.awaitOpen(t, 30)
}

// TestUnreadRequestKeepsConnectionOpen guards against closing a connection whose request has arrived
// but is not read yet.
func TestUnreadRequestKeepsConnectionOpen(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	assert.Assert(t, !hasUnread(accepted))
	sendOn(t, caller, "/")
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, hasUnread(accepted))
	limit := newConnectionLimit(ResourceSettings{MemoryMB: 256, Descriptors: 64})
	limit.table.Opened(accepted, true)
	assert.Assert(t, limit.makeRoom())
	limit.table.Busy(accepted)
	_, err = accepted.Read(make([]byte, 1))
	assert.NilError(t, err)
}

// failingListener fails to accept the given number of times.
type failingListener struct {
	net.Listener
	err      error
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: l.err}
	}
	return l.Listener.Accept()
}

// TestAcceptErrorEndsServer guards against an error at one connection, or a lack of memory, after
// which a server accepts nothing any more.
func TestAcceptErrorEndsServer(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EMFILE, syscall.ECONNABORTED} {
		t.Run(errno.Error(), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			failing := &failingListener{Listener: listener, err: errno}
			failing.failures.Store(3)
			var handled atomic.Int64
			server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) })}
			go func() {
				_ = server.Serve(roomListener{failing, newConnectionLimit(ResourceSettings{MemoryMB: 256, Descriptors: 64})})
			}()
			defer server.Close()
			client := http.Client{Timeout: 5 * time.Second}
			response, err := client.Get("http://" + listener.Addr().String())
			assert.NilError(t, err)
			_ = response.Body.Close()
			assert.Equal(t, handled.Load(), int64(1))
		})
	}
}
