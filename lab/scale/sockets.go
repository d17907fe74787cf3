package scale

import (
	"net"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/membership"
)

// listenAttempts bounds the ports tried until one is free for TCP and UDP.
const listenAttempts = 20

// peerSockets are the sockets of a node's peer address.
type peerSockets struct {
	streams   net.Listener
	datagrams *membership.UDPTransport
}

func (s peerSockets) address() string { return s.streams.Addr().String() }

func (s peerSockets) close() {
	_ = s.streams.Close()
	_ = s.datagrams.Close()
}

// listenPeer opens a TCP listener and a UDP socket of the same port; an empty
// address means any free one.
func listenPeer(address string) (peerSockets, error) {
	wanted := address
	if wanted == "" {
		wanted = "127.0.0.1:0"
	}
	var err error
	for range listenAttempts {
		var opened peerSockets
		opened, err = listenOnce(wanted)
		if err == nil {
			return opened, nil
		}
	}
	return peerSockets{}, oops.In("scale").With("step", "listen").With("peer", wanted).Wrap(err)
}

func listenOnce(address string) (peerSockets, error) {
	streams, err := net.Listen("tcp", address)
	if err != nil {
		return peerSockets{}, err
	}
	datagrams, err := membership.ListenUDP(streams.Addr().String())
	if err != nil {
		_ = streams.Close()
		return peerSockets{}, err
	}
	return peerSockets{streams: streams, datagrams: datagrams}, nil
}
