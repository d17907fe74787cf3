package cluster

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/samber/oops"
)

// The ports of nodes, which may start again: below those that systems commonly give
// to outgoing connections, so that nobody takes one while its node is down.
const (
	lowestPort  = 12_000
	highestPort = 32_000
	// portTries bounds the ports that are tried for one listener.
	portTries = 100
)

var errNoPort = errors.New("no free port was found")

// freeAddresses finds addresses whose ports are free for TCP and UDP and stay
// free while the node that uses them is down.
func freeAddresses() (Addresses, error) {
	var addresses Addresses
	taken := map[string]bool{}
	for _, address := range []*string{&addresses.Edge, &addresses.Mesh, &addresses.Peer, &addresses.Admin} {
		found, err := freeAddress(taken)
		if err != nil {
			return addresses, oops.In("cluster").With("step", "find port").Wrap(err)
		}
		taken[found] = true
		*address = found
	}
	return addresses, nil
}

func freeAddress(taken map[string]bool) (string, error) {
	for range portTries {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if !taken[address] && isFree(address) {
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
