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

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/ratelimit"
)

// After calls, permit requests are the most frequent messages between nodes. They are
// small, and losing one does no harm, so they are sent as datagrams to holders, the nodes
// that issue permits, if those support it. Over HTTP they took an eighth of the CPU time
// of nodes whose tenants send more than their limits.

const (
	// grantTimeout is how long Request waits for a grant. Grants take 1 to 2 ms; a lost
	// datagram delays its request by this time.
	grantTimeout = 30 * time.Millisecond
	// maxDatagramBytes bounds a datagram. It fits into one packet and has room for a
	// tenant's name of any realistic length.
	maxDatagramBytes = 1200
	// datagramHeaderBytes is the length of the kind and the request's ID.
	datagramHeaderBytes = 5
	// readRetryDelay is the delay before the next read after one that failed.
	readRetryDelay = 20 * time.Millisecond
)

// Kinds of datagrams.
const (
	datagramRequest byte = 1
	datagramGrant   byte = 2
)

// errGrantTimeout means that the request or its grant was lost, or that the holder does
// not respond.
var errGrantTimeout = errors.New("no grant received in time")

// PermitSocket exchanges permit requests and grants over UDP. It is safe for concurrent
// use.
type PermitSocket struct {
	socket  *net.UDPConn
	permits PermitIssuer

	mutex   sync.Mutex
	lastID  uint32
	pending map[uint32]chan *ratelimit.Grant
}

// ListenPermitSocket opens a socket at the address. Run answers requests with permits from
// the issuer, which may be nil.
func ListenPermitSocket(address string, permits PermitIssuer) (*PermitSocket, error) {
	listenAddress, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, oops.In("peering").With("step", "listen for datagrams").With("peer", address).Wrap(err)
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listenAddress))
	if err != nil {
		return nil, oops.In("peering").With("step", "listen for datagrams").With("peer", address).Wrap(err)
	}
	return &PermitSocket{socket: socket, permits: permits, pending: make(map[uint32]chan *ratelimit.Grant)}, nil
}

// Run handles datagrams until the socket is closed.
func (s *PermitSocket) Run() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		length, from, err := s.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		// An unreadable datagram is treated as lost.
		if err != nil {
			time.Sleep(readRetryDelay)
			continue
		}
		if length < datagramHeaderBytes {
			continue
		}
		s.handle(buffer[:length], from)
	}
}

// Close closes the socket.
func (s *PermitSocket) Close() error { return s.socket.Close() }

func (s *PermitSocket) handle(datagram []byte, from netip.AddrPort) {
	id, content := binary.BigEndian.Uint32(datagram[1:]), datagram[datagramHeaderBytes:]
	switch datagram[0] {
	case datagramRequest:
		var request ratelimit.PermitRequest
		if s.permits == nil || request.Decode(content) != nil || !request.Valid() {
			return
		}
		// A grant that cannot be sent is treated as lost.
		_, _ = s.socket.WriteToUDPAddrPort(encodeDatagram(datagramGrant, id, s.permits.Issue(&request).Wire()), from)
	case datagramGrant:
		var grant ratelimit.Grant
		if grant.Decode(content) == nil {
			s.deliver(id, &grant)
		}
	}
}

func encodeDatagram(kind byte, id uint32, message any) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, id), encode(message)...)
}

func (s *PermitSocket) deliver(id uint32, grant *ratelimit.Grant) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if grants := s.pending[id]; grants != nil {
		grants <- grant
		delete(s.pending, id)
	}
}

// Request requests permits from the node at the address. If the grant does not arrive in
// time, Request returns an error, and permits that were issued are lost.
func (s *PermitSocket) Request(ctx context.Context, address string, request *ratelimit.PermitRequest) (*ratelimit.Grant, error) {
	holder, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("request permits from %s: %w", address, err)
	}
	id, grants := s.addPending()
	defer s.removePending(id)
	if _, err := s.socket.WriteToUDPAddrPort(encodeDatagram(datagramRequest, id, request.Wire()), holder); err != nil {
		return nil, fmt.Errorf("request permits from %s: %w", address, err)
	}
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	select {
	case grant := <-grants:
		return grant, nil
	case <-timer.C:
		return nil, fmt.Errorf("request permits from %s: %w", address, errGrantTimeout)
	case <-ctx.Done():
		return nil, fmt.Errorf("request permits from %s: %w", address, ctx.Err())
	}
}

// addPending returns the ID of a new request and the channel that receives its grant.
func (s *PermitSocket) addPending() (uint32, <-chan *ratelimit.Grant) {
	grants := make(chan *ratelimit.Grant, 1)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastID++
	s.pending[s.lastID] = grants
	return s.lastID, grants
}

func (s *PermitSocket) removePending(id uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.pending, id)
}
