package membership

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/samber/oops"
)

// receiveQueue is the number of datagrams that wait for the runner; more are
// dropped, as the protocol stands loss.
const receiveQueue = 512

// receiveBuffer is one byte more than a datagram may have, to tell longer ones.
const receiveBuffer = MaxDatagram + 1

// Packet is a received datagram.
type Packet struct {
	// From is the source address, IP:port. It is not proven.
	From string
	Data []byte
}

// Transport sends and receives datagrams, which may be lost, duplicated and
// reordered.
type Transport interface {
	// Send sends a datagram to an IP:port without waiting. It keeps no
	// reference to the bytes after it returns.
	Send(address string, datagram []byte) error
	// Receive returns the channel of received datagrams. It is closed when the
	// transport is.
	Receive() <-chan Packet
}

// UDPTransport is a Transport over one UDP socket.
type UDPTransport struct {
	connection *net.UDPConn
	packets    chan Packet
	reader     sync.WaitGroup
	dropped    atomic.Uint64
}

// ListenUDP opens a socket on an IP:port and starts to receive. Close ends it.
func ListenUDP(address string) (*UDPTransport, error) {
	failed := oops.In("membership").With("step", "listen", "peer", address)
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, failed.Wrap(err)
	}
	connection, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, failed.Wrap(err)
	}
	transport := &UDPTransport{connection: connection, packets: make(chan Packet, receiveQueue)}
	transport.reader.Add(1)
	go transport.read()
	return transport, nil
}

// LocalAddress returns the IP:port of the socket.
func (t *UDPTransport) LocalAddress() string { return t.connection.LocalAddr().String() }

// Dropped returns the number of datagrams dropped because nobody took them.
func (t *UDPTransport) Dropped() uint64 { return t.dropped.Load() }

// Send implements Transport.
func (t *UDPTransport) Send(address string, datagram []byte) error {
	failed := oops.In("membership").With("step", "send", "peer", address)
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return failed.Wrap(err)
	}
	_, err = t.connection.WriteToUDPAddrPort(datagram, parsed)
	return failed.Wrap(err)
}

// Receive implements Transport.
func (t *UDPTransport) Receive() <-chan Packet { return t.packets }

// Close closes the socket and waits for its reader.
func (t *UDPTransport) Close() error {
	err := t.connection.Close()
	t.reader.Wait()
	return oops.In("membership").With("step", "close").Wrap(err)
}

// read passes datagrams on until the socket is closed.
func (t *UDPTransport) read() {
	defer t.reader.Done()
	defer close(t.packets)
	buffer := make([]byte, receiveBuffer)
	for {
		length, source, err := t.connection.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.dropped.Add(1)
			continue
		}
		from := netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
		t.pass(Packet{From: from.String(), Data: append([]byte(nil), buffer[:length]...)})
	}
}

func (t *UDPTransport) pass(packet Packet) {
	select {
	case t.packets <- packet:
	default:
		t.dropped.Add(1)
	}
}
