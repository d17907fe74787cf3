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
	// maxConnections limits the open TCP connections of a proxy.
	maxConnections = 4096
	// maxSessions limits the UDP sessions of a proxy.
	maxSessions = 4096
	// dialTimeout is the timeout of connecting to the upstream.
	dialTimeout = 5 * time.Second
	// maxPortAttempts limits the attempts to bind one port for both TCP and UDP.
	maxPortAttempts = 50
)

// Proxy forwards one TCP and UDP port to an upstream address. It is safe for
// concurrent use.
type Proxy struct {
	upstream   string
	tcp        net.Listener
	udp        *net.UDPConn
	toUpstream *direction
	toClient   *direction
	ctx        context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup

	mutex       sync.Mutex
	connections map[*connectionPair]struct{}
	sessions    map[string]*session
}

// New listens on an address, for TCP and UDP on the same port, and forwards to
// the upstream address. Port 0 chooses a free port.
func New(listen, upstream string) (*Proxy, error) {
	tcp, udp, err := listenTCPAndUDP(listen)
	if err != nil {
		return nil, oops.In("faultproxy").With("step", "listen").With("peer", listen).Wrapf(err, "start proxy")
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{
		upstream:    upstream,
		tcp:         tcp,
		udp:         udp,
		toUpstream:  newDirection(1),
		toClient:    newDirection(2),
		ctx:         ctx,
		cancel:      cancel,
		connections: make(map[*connectionPair]struct{}),
		sessions:    make(map[string]*session),
	}
	p.running.Go(p.acceptTCP)
	p.running.Go(p.receiveFromClients)
	return p, nil
}

func listenTCPAndUDP(address string) (net.Listener, *net.UDPConn, error) {
	var lastErr error
	for range maxPortAttempts {
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
	p.toUpstream.setFaults(toUpstream)
	p.toClient.setFaults(toClient)
	if toUpstream.Cut == CutReset || toClient.Cut == CutReset {
		p.resetConnections()
	}
	return nil
}

// Clear removes all faults.
func (p *Proxy) Clear() { _ = p.SetFaults(Faults{}, Faults{}) }

// Faults returns the current faults.
func (p *Proxy) Faults() RouteFaults {
	toUpstream, _ := p.toUpstream.currentFaults()
	toClient, _ := p.toClient.currentFaults()
	return RouteFaults{ToUpstream: toUpstream, ToClient: toClient}
}

// Connections returns the number of open TCP connections.
func (p *Proxy) Connections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.connections)
}

// Close stops listening, resets open connections and waits for the proxy's
// goroutines.
func (p *Proxy) Close() error {
	p.cancel()
	err := errors.Join(p.tcp.Close(), p.udp.Close())
	p.resetConnections()
	p.closeSessions()
	p.running.Wait()
	return err
}

func (p *Proxy) resetConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.connections {
		connection.reset()
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

func (p *Proxy) rejectsConnections() bool {
	faults := p.Faults()
	return faults.ToUpstream.Cut == CutReset || faults.ToClient.Cut == CutReset || p.ctx.Err() != nil
}

func (p *Proxy) serveTCP(client *net.TCPConn) {
	opened := &connectionPair{proxy: p, client: client}
	opened.ctx, opened.cancel = context.WithCancel(p.ctx)
	defer opened.cancel()
	if !p.track(opened) {
		opened.reset()
		return
	}
	defer p.untrack(opened)
	if p.rejectsConnections() || !p.connect(opened) {
		opened.reset()
		return
	}
	opened.run()
}

// connect opens the connection to the upstream. During a blackhole the handshake
// would be lost: then it opens none and returns false once the cut has ended, so
// that the client's connection is reset.
func (p *Proxy) connect(opened *connectionPair) bool {
	if p.waitForBlackholeEnd(opened.ctx) {
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

// waitForBlackholeEnd waits until no direction is blackholed and reports whether
// one was.
func (p *Proxy) waitForBlackholeEnd(ctx context.Context) bool {
	blackholed := false
	for _, d := range []*direction{p.toUpstream, p.toClient} {
		_ = d.waitWhile(ctx, func(f Faults) bool {
			blackholed = blackholed || f.Cut == CutBlackhole
			return f.Cut == CutBlackhole
		})
	}
	return blackholed
}

func (p *Proxy) track(opened *connectionPair) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ctx.Err() != nil || len(p.connections) >= maxConnections {
		return false
	}
	p.connections[opened] = struct{}{}
	return true
}

func (p *Proxy) untrack(closed *connectionPair) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, closed)
}
