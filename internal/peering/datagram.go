package peering

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/ratelimit"
)

// Asks for permits are the most frequent messages between nodes after calls, small, and
// lost without harm. They travel as datagrams where the holder takes them: over HTTP asks
// took an eighth of the processor time of nodes whose tenants send more than their limits.

const (
	// datagramTimeout is how long a grant is awaited. Answers take a millisecond or two; a
	// datagram that was lost costs its request this time.
	datagramTimeout = 30 * time.Millisecond
	// maxDatagram bounds a datagram, in bytes. It holds a tenant's name of any sensible
	// length and fits into one packet.
	maxDatagram = 1200
	// datagramHeader is the length of the kind and the number of an ask.
	datagramHeader = 5
)

// Kinds of datagrams.
const (
	datagramAsk   byte = 1
	datagramGrant byte = 2
)

// errNoGrant means that a datagram or its answer was lost, or that the holder is silent.
var errNoGrant = errors.New("no grant came")

// PermitSocket exchanges asks for permits and grants. It is safe for concurrent use.
type PermitSocket struct {
	socket  *net.UDPConn
	permits Permits

	mutex   sync.Mutex
	number  uint32
	pending map[uint32]chan *ratelimit.Grant
}

// ListenPermitSocket opens a socket at the address and answers asks by the permits.
func ListenPermitSocket(address string, permits Permits) (*PermitSocket, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, oops.In("peering").With("step", "listen for datagrams").With("peer", address).Wrap(err)
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, oops.In("peering").With("step", "listen for datagrams").With("peer", address).Wrap(err)
	}
	return &PermitSocket{socket: socket, permits: permits, pending: make(map[uint32]chan *ratelimit.Grant)}, nil
}

// Run serves until the socket is closed.
func (d *PermitSocket) Run() {
	buffer := make([]byte, maxDatagram)
	for {
		length, from, err := d.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || length < datagramHeader {
			// A datagram that can't be read is as good as lost.
			continue
		}
		d.take(buffer[:length], from)
	}
}

// Close closes the socket.
func (d *PermitSocket) Close() error { return d.socket.Close() }

func (d *PermitSocket) take(datagram []byte, from netip.AddrPort) {
	number, content := binary.BigEndian.Uint32(datagram[1:]), datagram[datagramHeader:]
	switch datagram[0] {
	case datagramAsk:
		var ask ratelimit.PermitRequest
		if cbor.Unmarshal(content, &ask) != nil || !ask.Valid() {
			return
		}
		// An answer that can't be sent is as good as lost.
		_, _ = d.socket.WriteToUDPAddrPort(frame(datagramGrant, number, d.permits.Issue(&ask)), from)
	case datagramGrant:
		var grant ratelimit.Grant
		if cbor.Unmarshal(content, &grant) == nil {
			d.deliver(number, &grant)
		}
	}
}

func frame(kind byte, number uint32, message any) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, number), encode(message)...)
}

func (d *PermitSocket) deliver(number uint32, grant *ratelimit.Grant) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if waiting := d.pending[number]; waiting != nil {
		waiting <- grant
		delete(d.pending, number)
	}
}

// Request asks the node at the address for permits. A grant that doesn't come in time is an
// error; what it issued is lost.
func (d *PermitSocket) Request(ctx context.Context, address string, ask *ratelimit.PermitRequest) (*ratelimit.Grant, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("ask %s for permits: %w", address, err)
	}
	number, granted := d.expect()
	defer d.forget(number)
	if _, err := d.socket.WriteToUDPAddrPort(frame(datagramAsk, number, ask), to); err != nil {
		return nil, fmt.Errorf("ask %s for permits: %w", address, err)
	}
	timer := time.NewTimer(datagramTimeout)
	defer timer.Stop()
	select {
	case grant := <-granted:
		return grant, nil
	case <-timer.C:
		return nil, fmt.Errorf("ask %s for permits: %w", address, errNoGrant)
	case <-ctx.Done():
		return nil, fmt.Errorf("ask %s for permits: %w", address, ctx.Err())
	}
}

// expect returns the number of a new ask and where its grant comes.
func (d *PermitSocket) expect() (uint32, <-chan *ratelimit.Grant) {
	granted := make(chan *ratelimit.Grant, 1)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.number++
	d.pending[d.number] = granted
	return d.number, granted
}

func (d *PermitSocket) forget(number uint32) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.pending, number)
}
