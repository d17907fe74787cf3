package peering

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/ratelimit"
)

// recordingIssuer issues all needed permits and records the requests.
type recordingIssuer struct {
	mutex    sync.Mutex
	requests []ratelimit.PermitRequest
}

func (i *recordingIssuer) Issue(request *ratelimit.PermitRequest) *ratelimit.Grant {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.requests = append(i.requests, *request)
	grant := &ratelimit.Grant{Held: true, Issued: request.Needed, Validity: time.Second}
	if request.WantsDemand {
		grant.Demand = 7.5
	}
	return grant
}

func listenPermitSocket(t testing.TB, permits PermitIssuer) *PermitSocket {
	t.Helper()
	socket, err := ListenPermitSocket("127.0.0.1:0", permits)
	assert.NilError(t, err)
	go socket.Run()
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

func addressOf(s *PermitSocket) string { return s.socket.LocalAddr().String() }

// TestGrantsMatchConcurrentRequests checks that each of many concurrent requests to one
// holder receives its own grant.
func TestGrantsMatchConcurrentRequests(t *testing.T) {
	permits := &recordingIssuer{}
	holder, node := listenPermitSocket(t, permits), listenPermitSocket(t, nil)
	var requests sync.WaitGroup
	for needed := range 200 {
		requests.Go(func() {
			grant, err := node.Request(t.Context(), addressOf(holder), &ratelimit.PermitRequest{Share: 3, Tenant: "acme", Needed: needed})
			if err == nil {
				assert.Equal(t, grant.Issued, needed)
			}
		})
	}
	requests.Wait()
	permits.mutex.Lock()
	defer permits.mutex.Unlock()
	assert.Assert(t, len(permits.requests) > 0)
	assert.Equal(t, permits.requests[0].Tenant, "acme")
	assert.Equal(t, pendingRequests(node), 0)
}

// pendingRequests returns the number of requests that wait for their grants.
func pendingRequests(s *PermitSocket) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.pending)
}

// TestLostDatagramReturnsError sends requests to a socket that never responds, with a
// canceled context and to an invalid address.
func TestLostDatagramReturnsError(t *testing.T) {
	node := listenPermitSocket(t, nil)
	silent, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	_, err = node.Request(t.Context(), silent.LocalAddr().String(), &ratelimit.PermitRequest{})
	assert.ErrorIs(t, err, errGrantTimeout)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = node.Request(ctx, silent.LocalAddr().String(), &ratelimit.PermitRequest{})
	assert.ErrorIs(t, err, context.Canceled)
	_, err = node.Request(t.Context(), "nowhere", &ratelimit.PermitRequest{})
	assert.ErrorContains(t, err, "nowhere")
	assert.Equal(t, pendingRequests(node), 0)
}

// TestMalformedDatagramsAreDropped checks that the holder answers the next request after
// malformed datagrams.
func TestMalformedDatagramsAreDropped(t *testing.T) {
	holder, node := listenPermitSocket(t, &recordingIssuer{}), listenPermitSocket(t, nil)
	sender, err := net.Dial("udp4", addressOf(holder))
	assert.NilError(t, err)
	defer func() { _ = sender.Close() }()
	for _, datagram := range [][]byte{{}, {1}, {1, 0, 0, 0, 1}, {1, 0, 0, 0, 1, 0xff}, {2, 0, 0, 0, 1, 0xff}, {9, 0, 0, 0, 1, 0x80},
		encodeDatagram(datagramRequest, 1, &ratelimit.PermitRequest{Share: ratelimit.Shares}), encodeDatagram(datagramGrant, 7, &ratelimit.Grant{}), make([]byte, 4000)} {
		_, err := sender.Write(datagram)
		assert.NilError(t, err)
	}
	grant, err := node.Request(t.Context(), addressOf(holder), &ratelimit.PermitRequest{Needed: 2})
	assert.NilError(t, err)
	assert.Equal(t, grant.Issued, 2)
}

// TestDemandIsSentByDatagram guards against a request for the demand that is lost on the way.
func TestDemandIsSentByDatagram(t *testing.T) {
	holder, node := listenPermitSocket(t, &recordingIssuer{}), listenPermitSocket(t, nil)
	for wantsDemand, demand := range map[bool]float64{false: 0, true: 7.5} {
		grant, err := node.Request(t.Context(), addressOf(holder), &ratelimit.PermitRequest{Needed: 2, WantsDemand: wantsDemand})
		assert.NilError(t, err)
		assert.Equal(t, *grant, ratelimit.Grant{Held: true, Issued: 2, Validity: time.Second, Demand: demand})
	}
}

// BenchmarkPermitRequest measures a request and its grant at both sides. Over HTTP it
// took 22 us and 51 allocations of 3.8 KB, as a datagram 11.5 us and 19 allocations of
// 0.6 KB.
func BenchmarkPermitRequest(b *testing.B) {
	holder, node := listenPermitSocket(b, &noopIssuer{}), listenPermitSocket(b, nil)
	b.ReportAllocs()
	for b.Loop() {
		_, err := node.Request(b.Context(), addressOf(holder), &ratelimit.PermitRequest{Share: 1, Tenant: "tenant", Needed: 1})
		assert.NilError(b, err)
	}
}

// noopIssuer issues all needed permits and records nothing.
type noopIssuer struct{}

func (*noopIssuer) Issue(request *ratelimit.PermitRequest) *ratelimit.Grant {
	return &ratelimit.Grant{Held: true, Issued: request.Needed}
}
