package cluster

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/samber/oops"
)

// The ports of nodes, which may start again: below those that systems commonly
// give to outgoing connections, so that nobody takes one while its node is down.
const (
	lowestPort  = 12_000
	highestPort = 32_000
	// portsPerProcess is how far apart the first ports of two processes with
	// successive ids are.
	portsPerProcess = 64
	// portTries bounds the ports that are tried for one listener.
	portTries = 1000
)

var errNoPort = errors.New("no free port was found")

// portsIssued counts the ports that this process has tried, so that it never
// gives out one twice.
var portsIssued atomic.Int64

// freeAddresses finds addresses whose ports are free for TCP and UDP and stay
// free while the node that uses them is down.
func freeAddresses() (Addresses, error) {
	var addresses Addresses
	for _, address := range []*string{&addresses.Edge, &addresses.Mesh, &addresses.Peer, &addresses.Admin} {
		found, err := FreeAddress()
		if err != nil {
			return addresses, oops.In("cluster").With("step", "find port").Wrap(err)
		}
		*address = found
	}
	return addresses, nil
}

// FreeAddress finds a loopback address whose port is free and stays free.
func FreeAddress() (string, error) {
	for range portTries {
		offset := (int64(os.Getpid())*portsPerProcess + portsIssued.Add(1)) % (highestPort - lowestPort)
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
