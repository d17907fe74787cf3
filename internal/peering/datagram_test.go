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

// issuing issues what is needed and notes the asks.
type issuing struct {
	mutex sync.Mutex
	asks  []ratelimit.PermitRequest
}

func (i *issuing) Issue(ask *ratelimit.PermitRequest) *ratelimit.Grant {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.asks = append(i.asks, *ask)
	return &ratelimit.Grant{Held: true, Issued: ask.Needed, Validity: time.Second}
}

func listenDatagrams(t testing.TB, permits Permits) *PermitSocket {
	t.Helper()
	d, err := ListenPermitSocket("127.0.0.1:0", permits)
	assert.NilError(t, err)
	go d.Run()
	t.Cleanup(func() { _ = d.Close() })
	return d
}

func addressOf(d *PermitSocket) string { return d.socket.LocalAddr().String() }

// TestGrantsComeToTheirAsks has many requests ask one holder at once.
func TestGrantsComeToTheirAsks(t *testing.T) {
	permits := &issuing{}
	holder, node := listenDatagrams(t, permits), listenDatagrams(t, nil)
	var asking sync.WaitGroup
	for needed := range 200 {
		asking.Go(func() {
			grant, err := node.Request(t.Context(), addressOf(holder), &ratelimit.PermitRequest{Share: 3, Tenant: "acme", Needed: needed})
			if err == nil {
				assert.Equal(t, grant.Issued, needed)
			}
		})
	}
	asking.Wait()
	permits.mutex.Lock()
	defer permits.mutex.Unlock()
	assert.Assert(t, len(permits.asks) > 0)
	assert.Equal(t, permits.asks[0].Tenant, "acme")
	assert.Equal(t, pendingAsks(node), 0)
}

// pendingAsks returns how many asks of a node wait for their grants.
func pendingAsks(d *PermitSocket) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.pending)
}

// TestALostDatagramIsAnError asks an address at which nobody listens, one that never
// answers, and with a context that ends.
func TestALostDatagramIsAnError(t *testing.T) {
	node := listenDatagrams(t, nil)
	silent, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	_, err = node.Request(t.Context(), silent.LocalAddr().String(), &ratelimit.PermitRequest{})
	assert.ErrorIs(t, err, errNoGrant)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = node.Request(ctx, silent.LocalAddr().String(), &ratelimit.PermitRequest{})
	assert.ErrorIs(t, err, context.Canceled)
	_, err = node.Request(t.Context(), "nowhere", &ratelimit.PermitRequest{})
	assert.ErrorContains(t, err, "nowhere")
	assert.Equal(t, pendingAsks(node), 0)
}

// TestBadDatagramsAreDropped sends what is no message: the node answers the next ask.
func TestBadDatagramsAreDropped(t *testing.T) {
	holder, node := listenDatagrams(t, &issuing{}), listenDatagrams(t, nil)
	stranger, err := net.Dial("udp4", addressOf(holder))
	assert.NilError(t, err)
	defer func() { _ = stranger.Close() }()
	for _, bad := range [][]byte{{}, {1}, {1, 0, 0, 0, 1}, {1, 0, 0, 0, 1, 0xff}, {2, 0, 0, 0, 1, 0xff}, {9, 0, 0, 0, 1, 0x80},
		frame(datagramAsk, 1, &ratelimit.PermitRequest{Share: ratelimit.Shares}), frame(datagramGrant, 7, &ratelimit.Grant{}), make([]byte, 4000)} {
		_, err := stranger.Write(bad)
		assert.NilError(t, err)
	}
	grant, err := node.Request(t.Context(), addressOf(holder), &ratelimit.PermitRequest{Needed: 2})
	assert.NilError(t, err)
	assert.Equal(t, grant.Issued, 2)
}

// BenchmarkAskPermits measures an ask at both sides. As an exchange of HTTP it took 22 us
// and 51 allocations of 3.8 KB, as a datagram 11.5 us and 19 of 0.6 KB.
func BenchmarkAskPermits(b *testing.B) {
	holder, node := listenDatagrams(b, &discarding{}), listenDatagrams(b, nil)
	b.ReportAllocs()
	for b.Loop() {
		_, err := node.Request(b.Context(), addressOf(holder), &ratelimit.PermitRequest{Share: 1, Tenant: "tenant", Needed: 1})
		assert.NilError(b, err)
	}
}

// discarding issues and notes nothing.
type discarding struct{}

func (*discarding) Issue(ask *ratelimit.PermitRequest) *ratelimit.Grant {
	return &ratelimit.Grant{Held: true, Issued: ask.Needed}
}
