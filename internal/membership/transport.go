package membership

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/samber/oops"
)

// receiveQueueLength is the maximum number of received datagrams in the queue. Further ones are
// dropped, as the protocol tolerates loss.
const receiveQueueLength = 512

// receiveBufferSize is one byte larger than the largest valid datagram, so that longer ones
// are detected.
const receiveBufferSize = MaxDatagram + 1

// Packet is a received datagram.
type Packet struct {
	// From is the source address, IP:port. It is not authenticated.
	From string
	Data []byte
}

// Transport sends and receives datagrams. Datagrams may be lost, duplicated and reordered.
type Transport interface {
	// Send sends a datagram to an IP:port without blocking. It does not retain the bytes after
	// it returns.
	Send(address string, datagram []byte) error
	// Receive returns the channel of received datagrams. It is closed when the transport is
	// closed.
	Receive() <-chan Packet
}

// UDPTransport is a Transport over one UDP socket.
type UDPTransport struct {
	connection *net.UDPConn
	packets    chan Packet
	reader     sync.WaitGroup
	dropped    atomic.Uint64
}

// ListenUDP opens a socket on an IP:port and starts to receive datagrams. The caller must call
// Close.
func ListenUDP(address string) (*UDPTransport, error) {
	errorContext := oops.In("membership").With("step", "listen", "peer", address)
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errorContext.Wrap(err)
	}
	connection, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, errorContext.Wrap(err)
	}
	transport := &UDPTransport{connection: connection, packets: make(chan Packet, receiveQueueLength)}
	transport.reader.Add(1)
	go transport.read()
	return transport, nil
}

// LocalAddress returns the IP:port of the socket.
func (t *UDPTransport) LocalAddress() string { return t.connection.LocalAddr().String() }

// Dropped returns the number of datagrams dropped because of a full receive queue or a read
// error.
func (t *UDPTransport) Dropped() uint64 { return t.dropped.Load() }

// Send implements Transport.
func (t *UDPTransport) Send(address string, datagram []byte) error {
	errorContext := oops.In("membership").With("step", "send", "peer", address)
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return errorContext.Wrap(err)
	}
	_, err = t.connection.WriteToUDPAddrPort(datagram, parsed)
	return errorContext.Wrap(err)
}

// Receive implements Transport.
func (t *UDPTransport) Receive() <-chan Packet { return t.packets }

// Close closes the socket and waits for the read goroutine to end.
func (t *UDPTransport) Close() error {
	err := t.connection.Close()
	t.reader.Wait()
	return oops.In("membership").With("step", "close").Wrap(err)
}

// read queues received datagrams until the socket is closed.
func (t *UDPTransport) read() {
	defer t.reader.Done()
	defer close(t.packets)
	buffer := make([]byte, receiveBufferSize)
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
		t.enqueue(Packet{From: from.String(), Data: append([]byte(nil), buffer[:length]...)})
	}
}

func (t *UDPTransport) enqueue(packet Packet) {
	select {
	case t.packets <- packet:
	default:
		t.dropped.Add(1)
	}
}
