// Package drainlistener has a listening socket that a process closes without resetting connections.
package drainlistener

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// Listener is a listening socket that can be closed without losing the
// connections that the kernel has already set up: closing a socket resets
// whatever waits to be accepted, and with it calls that callers have sent.
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

// Accept returns the next connection. After StopAccepting it returns those that
// wait already, and then closes the socket and returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.stopping.Load() {
		connection, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return connection, err
		}
	}
	return l.acceptWaiting()
}

// StopAccepting has Accept close the socket once nothing waits. It does not
// block.
func (l *Listener) StopAccepting() {
	l.stopping.Store(true)
	// An Accept that waits is woken, and finds that the listener is stopping.
	_ = l.SetDeadline(time.Now())
}

// acceptWaiting accepts a connection that waits already. When none does, it
// closes the socket at once, so that hardly any can come in between.
func (l *Listener) acceptWaiting() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var descriptor int
	var failure error
	err = raw.Control(func(socket uintptr) {
		descriptor, _, failure = syscall.Accept4(int(socket), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	if err = errors.Join(err, failure); err != nil {
		_ = l.TCPListener.Close()
		return nil, net.ErrClosed
	}
	file := os.NewFile(uintptr(descriptor), "connection")
	defer func() { _ = file.Close() }()
	return net.FileConn(file)
}
