package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/clock"
)

// Pool is a pool of connections to one target. It is safe for concurrent use.
type Pool struct {
	config Config
	dialer net.Dialer
	// slots holds one token per exchange in progress; nil means no bound. Connections are
	// opened only when no idle one can be used, and makeRoom closes an idle one where needed, so
	// it also bounds the number of open connections.
	slots chan struct{}

	mutex       sync.Mutex
	idle        []*connection
	carried     carriedCalls
	closed      bool
	expiryTimer *time.Timer
}

// NewPool returns a pool without connections; they are opened on demand.
func NewPool(config Config) *Pool {
	config = config.withDefaults()
	p := &Pool{config: config, dialer: net.Dialer{Timeout: config.DialTimeout, Control: SocketControl(config.UserTimeout)}}
	if config.KeepAlive > 0 {
		p.dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: config.KeepAlive, Interval: config.KeepAlive, Count: keepAliveProbes}
	}
	if config.MaxConnections > 0 {
		p.slots = make(chan struct{}, config.MaxConnections)
	}
	return p
}

// Close closes the idle connections. Exchanges in progress continue, and their
// connections are closed when they end.
func (p *Pool) Close() {
	p.mutex.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	if p.expiryTimer != nil {
		p.expiryTimer.Stop()
	}
	p.mutex.Unlock()
	for _, c := range idle {
		_ = c.socket.Close()
	}
}

// acquire returns the most recently used idle connection that can be reused for a call with the
// ID, or a new one. If forceNew is set, it closes that idle connection and always opens a new one.
func (p *Pool) acquire(ctx context.Context, id string, forceNew bool) (c *connection, reused bool, err error) {
	if err := p.acquireSlot(ctx); err != nil {
		return nil, false, err
	}
	c, avoided := p.popIdle(id)
	for ; c != nil; c, avoided = p.popIdle(id) {
		if forceNew {
			_ = c.socket.Close()
			break
		}
		if clock.Since(c.idleSince) < c.idleLimit(p.config.IdleTimeout) && c.isOpen() {
			p.reportAvoided(avoided, id, false)
			return c, true, nil
		}
		_ = c.socket.Close()
	}
	p.reportAvoided(avoided, id, true)
	p.makeRoom()
	socket, err := p.dialer.DialContext(ctx, "tcp", p.config.Address)
	if err != nil {
		p.releaseSlot()
		return nil, false, err
	}
	return newConnection(socket), false, nil
}

// popIdle removes and returns the most recently used idle connection that may carry a call with
// the ID, nil if there is none. It reports whether it avoided a connection that was used later.
func (p *Pool) popIdle(id string) (c *connection, avoided bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	carriers := p.carried.connections[id]
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if !slices.Contains(carriers, c) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, avoided
		}
		avoided = true
	}
	return nil, avoided
}

// reportAvoided reports that a call with the ID takes another connection than the one that was used
// last, and whether that is a new one.
func (p *Pool) reportAvoided(avoided bool, id string, opened bool) {
	if avoided && p.config.OnAvoided != nil {
		p.config.OnAvoided(id, opened)
	}
}

// makeRoom closes the least recently used idle connection if the one that the caller is about to
// open would exceed MaxConnections.
func (p *Pool) makeRoom() {
	p.mutex.Lock()
	if p.slots == nil || len(p.idle) == 0 || len(p.idle)+len(p.slots) <= cap(p.slots) {
		p.mutex.Unlock()
		return
	}
	oldest := p.idle[0]
	p.idle = slices.Delete(p.idle, 0, 1)
	p.mutex.Unlock()
	_ = oldest.socket.Close()
}

func (p *Pool) acquireSlot(ctx context.Context) error {
	if p.slots == nil {
		return nil
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	select {
	case p.slots <- struct{}{}:
		return nil
	default:
	}
	// A channel of the context is only created for an exchange that has to wait.
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Pool) releaseSlot() {
	if p.slots != nil {
		<-p.slots
	}
}

// Probe checks that the target accepts connections. The connection is kept for a later
// exchange.
func (p *Pool) Probe(ctx context.Context) error {
	c, _, err := p.acquire(ctx, "", false)
	if err != nil {
		return err
	}
	if !p.pushIdle(c) {
		_ = c.socket.Close()
	}
	p.releaseSlot()
	return nil
}

// detach removes an open connection from the pool. Closing the result resets the
// connection, which drops undelivered bytes.
func (p *Pool) detach(c *connection) io.Closer {
	c.contextWatch.Stop()
	p.releaseSlot()
	return &resetCloser{c.socket}
}

// resetCloser closes a connection with a reset.
type resetCloser struct{ socket net.Conn }

// Close resets the connection.
func (r *resetCloser) Close() error {
	if tcp, ok := r.socket.(*net.TCPConn); ok {
		// Without this the kernel would still deliver buffered bytes.
		if err := tcp.SetLinger(0); err != nil {
			return errors.Join(err, r.socket.Close())
		}
	}
	return r.socket.Close()
}

// release returns a connection to the pool after a complete exchange.
func (p *Pool) release(c *connection, response *http.Response) {
	c.peerKeepAlive = keepAliveTimeout(response.Header)
	c.used = true
	if response.Close || c.retired || !c.contextWatch.Stop() || c.reader.Buffered() > 0 || !p.pushIdle(c) {
		p.discard(c)
		return
	}
	p.releaseSlot()
}

// pushIdle adds the connection to the idle ones. It returns false if the pool is closed
// or has MaxIdle of them.
func (p *Pool) pushIdle(c *connection) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || len(p.idle) >= p.config.MaxIdle {
		return false
	}
	c.idleSince = clock.Now()
	p.idle = append(p.idle, c)
	if p.expiryTimer == nil {
		p.expiryTimer = time.AfterFunc(p.config.IdleTimeout, p.closeExpired)
	}
	return true
}

// closeExpired closes the connections whose idle timeout has passed and reschedules
// itself while others remain.
func (p *Pool) closeExpired() {
	p.mutex.Lock()
	oldest := 0
	for oldest < len(p.idle) && clock.Since(p.idle[oldest].idleSince) >= p.config.IdleTimeout {
		oldest++
	}
	expired := append([]*connection(nil), p.idle[:oldest]...)
	p.idle = append(p.idle[:0], p.idle[oldest:]...)
	p.expiryTimer = nil
	if len(p.idle) > 0 && !p.closed {
		p.expiryTimer = time.AfterFunc(p.config.IdleTimeout, p.closeExpired)
	}
	p.mutex.Unlock()
	for _, c := range expired {
		_ = c.socket.Close()
	}
}

// discard closes a connection that cannot be reused, for example after a failed exchange.
func (p *Pool) discard(c *connection) {
	c.contextWatch.Stop()
	_ = c.socket.Close()
	p.releaseSlot()
}
