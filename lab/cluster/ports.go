package cluster

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/samber/oops"
)

// The port range for nodes is below the usual ephemeral port range, so that no
// outgoing connection takes the port of a node that is down and may restart.
const (
	lowestPort  = 12_000
	highestPort = 32_000
	// portsPerProcess is the distance between the first ports of two processes
	// with consecutive process IDs.
	portsPerProcess = 64
	// maxPortAttempts is the maximum number of ports tried for one address.
	maxPortAttempts = 1000
)

var errNoPort = errors.New("no free port found")

// portsTried counts the ports that this process has tried, so that it doesn't
// return a port twice.
var portsTried atomic.Int64

// freeAddresses returns addresses whose ports are free for TCP and UDP and should
// remain free while the node that uses them is down.
func freeAddresses() (Addresses, error) {
	var addresses Addresses
	for _, address := range []*string{&addresses.Edge, &addresses.Mesh, &addresses.Peer, &addresses.Admin} {
		free, err := FreeAddress()
		if err != nil {
			return addresses, oops.In("cluster").With("step", "find port").Wrap(err)
		}
		*address = free
	}
	return addresses, nil
}

// FreeAddress returns a loopback address whose port is free and should remain free
// while no process listens on it.
func FreeAddress() (string, error) {
	for range maxPortAttempts {
		offset := (int64(os.Getpid())*portsPerProcess + portsTried.Add(1)) % (highestPort - lowestPort)
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(lowestPort+offset, 10))
		if isFree(address) {
			return address, nil
		}
	}
	return "", errNoPort
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return socket.Close() == nil
}
