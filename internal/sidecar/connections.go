package sidecar

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/lugspur/lugspur/internal/connlimit"
)

const (
	// connectionBytes is the memory that an idle connection takes, in bytes: its goroutine's stack and
	// its buffers, here and in the kernel.
	connectionBytes = 32 << 10
	// connectionMemoryShare is the share of the process's memory that accepted connections may take,
	// connectionDescriptorShare that of its descriptors. The node itself needs the others for its
	// target, peers and the store.
	connectionMemoryShare     = 0.125
	connectionDescriptorShare = 0.5
	// roomShare is the share of the accepted connections that are closed when no descriptor is left.
	roomShare = 0.05
	// closeRetryDelay is the time after which a selected connection that is still idle is closed again:
	// the server may have set a new read deadline meanwhile.
	closeRetryDelay = 5 * time.Millisecond
)

// maxConnections returns the bound of accepted connections.
func (s *ResourceSettings) maxConnections() int {
	byMemory := connectionMemoryShare * float64(s.memoryBytes()) / connectionBytes
	byDescriptors := connectionDescriptorShare * float64(s.Descriptors)
	return max(int(min(byMemory, byDescriptors)), 1)
}

// connectionLimit closes idle connections beyond the bound.
type connectionLimit struct {
	table *connlimit.Table[net.Conn]
	// closing orders the closing of a connection and the arrival of a request on it.
	closing *sync.Mutex
}

func newConnectionLimit(settings ResourceSettings) connectionLimit {
	return connectionLimit{table: connlimit.New[net.Conn](settings.maxConnections()), closing: new(sync.Mutex)}
}

// apply applies the limit to a server that has not been started. Connections of a server that is not
// closable count, but stay open: those of peers, which may be sending a call that they could not
// send again, of the target's heartbeats and of readiness checks, which are few.
func (l connectionLimit) apply(s *server, closable bool) {
	notify := s.http.ConnState
	s.http.ConnState = func(connection net.Conn, state http.ConnState) {
		if notify != nil {
			notify(connection, state)
		}
		l.stateChanged(connection, state, closable)
	}
	s.accepting = roomListener{s.listener, l}
}

func (l connectionLimit) stateChanged(connection net.Conn, state http.ConnState, closable bool) {
	switch state {
	case http.StateNew:
		l.table.Opened(connection, closable)
		l.closeExcess()
	case http.StateActive:
		l.requestArrived(connection)
	case http.StateIdle:
		l.table.Idle(connection)
		l.closeExcess()
	case http.StateClosed, http.StateHijacked:
		l.table.Closed(connection)
	}
}

// requestArrived keeps a connection open that was to be closed. The server has read a request from it
// and looks at the connection only after this returns, so that the deadline ends nothing.
func (l connectionLimit) requestArrived(connection net.Conn) {
	l.closing.Lock()
	defer l.closing.Unlock()
	if l.table.Busy(connection) {
		_ = connection.SetReadDeadline(time.Time{})
	}
}

func (l connectionLimit) closeExcess() {
	if connection, found := l.table.SelectExcess(); found {
		l.closeSelected(connection)
	}
}

// makeRoom closes some of the idle connections. It reports whether there were any.
func (l connectionLimit) makeRoom() bool {
	closed := 0
	for count := max(int(roomShare*float64(l.table.Open())), 1); closed < count; closed++ {
		connection, found := l.table.Select()
		if !found {
			break
		}
		l.closeSelected(connection)
	}
	if closed == 0 {
		return false
	}
	time.Sleep(closeRetryDelay)
	return true
}

// closeSelected closes a selected connection, unless a request arrives on it. The server closes it,
// as at its idle timeout.
func (l connectionLimit) closeSelected(connection net.Conn) {
	l.closing.Lock()
	defer l.closing.Unlock()
	if !l.table.Selected(connection) {
		return
	}
	if !hasUnread(connection) {
		_ = connection.SetReadDeadline(time.Unix(1, 0))
	}
	time.AfterFunc(closeRetryDelay, func() { l.closeSelected(connection) })
}

// hasUnread reports whether a connection has bytes to read.
func hasUnread(connection net.Conn) bool {
	socket, known := connection.(syscall.Conn)
	if !known {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		length, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && length > 0
	})
	return err == nil && unread
}

// roomListener closes idle connections when there is no descriptor for a new one.
type roomListener struct {
	net.Listener
	limit connectionLimit
}

// temporaryError is an error after which a server tries to accept again.
type temporaryError struct{ error }

// Temporary implements net.Error.
func (temporaryError) Temporary() bool { return true }

// Timeout implements net.Error.
func (temporaryError) Timeout() bool { return false }

// Unwrap returns the cause.
func (e temporaryError) Unwrap() error { return e.error }

// Accept returns the next connection. Its error is temporary unless the listener is closed: an
// error of the network at one connection must not end the server.
func (l roomListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		switch {
		case err == nil || errors.Is(err, net.ErrClosed):
			return connection, err
		case outOfDescriptors(err) && l.limit.makeRoom():
		default:
			return nil, temporaryError{err}
		}
	}
}

func outOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
