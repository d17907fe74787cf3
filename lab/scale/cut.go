package scale

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/lugspur/lugspur/internal/membership"
)

var errCut = errors.New("the network between the zones is cut")

// cut separates some nodes from all others, in both directions.
type cut struct {
	inside atomic.Pointer[map[string]bool]
}

// set cuts the nodes of the peer addresses off; none heals the cut.
func (c *cut) set(addresses []string) {
	inside := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		inside[address] = true
	}
	c.inside.Store(&inside)
}

func (c *cut) isInside(address string) bool {
	inside := c.inside.Load()
	return inside != nil && (*inside)[address]
}

// separates reports whether the cut runs between two nodes.
func (c *cut) separates(a, b string) bool { return c.isInside(a) != c.isInside(b) }

// traffic counts what a node sends and receives over TCP, in bytes, headers of
// HTTP included.
type traffic struct{ sent, received, dials atomic.Int64 }

// datagrams is a membership.Transport that a cut separates.
type datagrams struct {
	*membership.UDPTransport
	own     string
	cut     *cut
	passed  chan membership.Packet
	filters sync.WaitGroup
}

// waitingDatagrams is how many received datagrams wait behind the filter.
const waitingDatagrams = 64

func newDatagrams(inner *membership.UDPTransport, own string, cut *cut) *datagrams {
	d := &datagrams{UDPTransport: inner, own: own, cut: cut, passed: make(chan membership.Packet, waitingDatagrams)}
	d.filters.Go(d.filter)
	return d
}

// Send implements membership.Transport.
func (d *datagrams) Send(address string, datagram []byte) error {
	if d.cut.separates(d.own, address) {
		return nil
	}
	return d.UDPTransport.Send(address, datagram)
}

// Receive implements membership.Transport.
func (d *datagrams) Receive() <-chan membership.Packet { return d.passed }

func (d *datagrams) filter() {
	defer close(d.passed)
	for packet := range d.UDPTransport.Receive() {
		if d.cut.separates(d.own, packet.From) {
			continue
		}
		select {
		case d.passed <- packet:
		default:
		}
	}
}

// Close closes the socket and waits for the filter.
func (d *datagrams) Close() error {
	err := d.UDPTransport.Close()
	d.filters.Wait()
	return err
}

// hollowHeader marks requests of hollow nodes, which check the cut themselves.
const hollowHeader = "Lab-Hollow"

// requests is an http.RoundTripper that a cut separates.
type requests struct {
	inner *http.Transport
	own   string
	cut   *cut
}

// RoundTrip implements http.RoundTripper.
func (r *requests) RoundTrip(request *http.Request) (*http.Response, error) {
	if r.cut.separates(r.own, request.URL.Host) {
		return nil, errCut
	}
	request = request.Clone(request.Context())
	request.Header.Set(hollowHeader, "1")
	return r.inner.RoundTrip(request)
}

// refuseCut drops requests of real nodes, which are always outside the cut.
func refuseCut(own string, cut *cut, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(hollowHeader) == "" && cut.isInside(own) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// countedConn adds what passes to a node's traffic.
type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// countedListener counts the traffic of the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: accepted, traffic: l.traffic}, nil
}

func (t *traffic) dial(ctx context.Context, network, address string) (net.Conn, error) {
	t.dials.Add(1)
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: connection, traffic: t}, nil
}
