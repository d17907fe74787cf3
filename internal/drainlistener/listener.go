// Package drainlistener provides a listener that can be closed without resetting connections.
package drainlistener

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// Listener is a listening socket that can be closed without losing connections that the kernel
// has already established. Closing a socket normally resets the connections in its accept
// queue, and with them calls that callers have already sent.
type Listener struct {
	*net.TCPListener
	stopping atomic.Bool
}

// Listen listens on an IP address and port.
func Listen(address string) (*Listener, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	listener, err := net.ListenTCP("tcp", resolved)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: listener}, nil
}

// Accept returns the next connection. After StopAccepting it returns the connections left in
// the accept queue, then closes the socket and returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.stopping.Load() {
		connection, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return connection, err
		}
	}
	return l.acceptWaiting()
}

// StopAccepting makes Accept close the socket once the accept queue is empty. It does not
// block.
func (l *Listener) StopAccepting() {
	l.stopping.Store(true)
	// The deadline wakes a blocked Accept, which then sees that the listener is stopping.
	_ = l.SetDeadline(time.Now())
}

// acceptWaiting accepts a connection from the accept queue. If the queue is empty, it closes
// the socket at once, so that hardly any connection can arrive in between.
func (l *Listener) acceptWaiting() (net.Conn, error) {
	rawConn, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var connFD int
	var acceptErr error
	err = rawConn.Control(func(fd uintptr) {
		connFD, _, acceptErr = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	if err = errors.Join(err, acceptErr); err != nil {
		_ = l.TCPListener.Close()
		return nil, net.ErrClosed
	}
	file := os.NewFile(uintptr(connFD), "connection")
	defer func() { _ = file.Close() }()
	return net.FileConn(file)
}
