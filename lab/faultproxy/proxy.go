package faultproxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
)

// Limits of a proxy.
const (
	// maxConnections bounds the open TCP connections of a proxy.
	maxConnections = 4096
	// maxSessions bounds the UDP clients that a proxy remembers.
	maxSessions = 4096
	// dialTimeout bounds a connection to the upstream.
	dialTimeout = 5 * time.Second
	// portTries is how often a free port is looked for that TCP and UDP share.
	portTries = 50
)

// Proxy forwards one TCP and UDP port to an upstream address. Its methods may
// be used by several goroutines.
type Proxy struct {
	upstream   string
	tcp        net.Listener
	udp        *net.UDPConn
	toUpstream *direction
	toClient   *direction
	ctx        context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup

	mutex    sync.Mutex
	pairs    map[*pair]struct{}
	sessions map[string]*session
}

// New listens on an address, for TCP and UDP on the same port, and forwards to
// the upstream address. Port 0 chooses a free port.
func New(listen, upstream string) (*Proxy, error) {
	tcp, udp, err := listenBoth(listen)
	if err != nil {
		return nil, oops.In("faultproxy").With("step", "listen").With("peer", listen).Wrapf(err, "start proxy")
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{
		upstream:   upstream,
		tcp:        tcp,
		udp:        udp,
		toUpstream: newDirection(1),
		toClient:   newDirection(2),
		ctx:        ctx,
		cancel:     cancel,
		pairs:      make(map[*pair]struct{}),
		sessions:   make(map[string]*session),
	}
	p.running.Go(p.acceptTCP)
	p.running.Go(p.receiveUDP)
	return p, nil
}

func listenBoth(address string) (net.Listener, *net.UDPConn, error) {
	var lastErr error
	for range portTries {
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			return nil, nil, err
		}
		bound := tcp.Addr().(*net.TCPAddr)
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: bound.IP, Port: bound.Port, Zone: bound.Zone})
		if err == nil {
			return tcp, udp, nil
		}
		_ = tcp.Close()
		lastErr = err
	}
	return nil, nil, lastErr
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.tcp.Addr().String() }

// Upstream returns the address that the proxy forwards to.
func (p *Proxy) Upstream() string { return p.upstream }

// SetFaults replaces the faults of both directions.
func (p *Proxy) SetFaults(toUpstream, toClient Faults) error {
	if err := errors.Join(toUpstream.Validate(), toClient.Validate()); err != nil {
		return err
	}
	p.toUpstream.set(toUpstream)
	p.toClient.set(toClient)
	if toUpstream.Cut == CutReset || toClient.Cut == CutReset {
		p.resetPairs()
	}
	return nil
}

// Clear lifts all faults.
func (p *Proxy) Clear() { _ = p.SetFaults(Faults{}, Faults{}) }

// Faults returns the current faults.
func (p *Proxy) Faults() Both {
	toUpstream, _ := p.toUpstream.current()
	toClient, _ := p.toClient.current()
	return Both{ToUpstream: toUpstream, ToClient: toClient}
}

// Connections returns the number of open TCP connections.
func (p *Proxy) Connections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.pairs)
}

// Close stops listening, resets open connections and waits for the proxy's
// goroutines.
func (p *Proxy) Close() error {
	p.cancel()
	err := errors.Join(p.tcp.Close(), p.udp.Close())
	p.resetPairs()
	p.closeSessions()
	p.running.Wait()
	return err
}

func (p *Proxy) resetPairs() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for each := range p.pairs {
		each.reset()
	}
}

func (p *Proxy) acceptTCP() {
	for {
		client, err := p.tcp.Accept()
		if err != nil {
			return
		}
		p.running.Go(func() { p.serveTCP(client.(*net.TCPConn)) })
	}
}

func (p *Proxy) refusesTCP() bool {
	faults := p.Faults()
	return faults.ToUpstream.Cut == CutReset || faults.ToClient.Cut == CutReset || p.ctx.Err() != nil
}

func (p *Proxy) serveTCP(client *net.TCPConn) {
	opened := &pair{proxy: p, client: client}
	opened.ctx, opened.cancel = context.WithCancel(p.ctx)
	defer opened.cancel()
	if !p.track(opened) {
		opened.reset()
		return
	}
	defer p.untrack(opened)
	if p.refusesTCP() || !p.connect(opened) {
		opened.reset()
		return
	}
	opened.run()
}

// connect opens the connection to the upstream. In a black hole the handshake
// would be lost, so that no connection is opened, and the client's is reset
// once the cut ends.
func (p *Proxy) connect(opened *pair) bool {
	if p.waitOutBlackhole(opened.ctx) {
		return false
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	upstream, err := dialer.DialContext(opened.ctx, "tcp", p.upstream)
	if err != nil {
		return false
	}
	p.mutex.Lock()
	opened.upstream = upstream.(*net.TCPConn)
	p.mutex.Unlock()
	return opened.ctx.Err() == nil
}

// waitOutBlackhole reports whether a direction was cut; it returns when none
// is any more.
func (p *Proxy) waitOutBlackhole(ctx context.Context) bool {
	cut := false
	for _, each := range []*direction{p.toUpstream, p.toClient} {
		_ = each.waitWhile(ctx, func(f Faults) bool {
			cut = cut || f.Cut == CutBlackhole
			return f.Cut == CutBlackhole
		})
	}
	return cut
}

func (p *Proxy) track(opened *pair) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ctx.Err() != nil || len(p.pairs) >= maxConnections {
		return false
	}
	p.pairs[opened] = struct{}{}
	return true
}

func (p *Proxy) untrack(closed *pair) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.pairs, closed)
}
