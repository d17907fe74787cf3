package transport

import (
	"context"
	"errors"
	"github.com/lugspur/lugspur/internal/clock"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Pool exchanges calls with one target. It is safe for concurrent use.
type Pool struct {
	config Config
	dialer net.Dialer
	// room holds one token for each exchange; nil means no bound. As a connection
	// is opened only when none is idle, it bounds the open connections too.
	room chan struct{}

	mutex  sync.Mutex
	idle   []*connection
	closed bool
	expiry *time.Timer
}

// NewPool returns a pool without connections; they are opened on demand.
func NewPool(config Config) *Pool {
	config = config.withDefaults()
	p := &Pool{config: config, dialer: net.Dialer{Timeout: config.DialTimeout, Control: SocketControl(config.UserTimeout)}}
	if config.KeepAlive > 0 {
		p.dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: config.KeepAlive, Interval: config.KeepAlive, Count: keepAliveProbes}
	}
	if config.MaxConnections > 0 {
		p.room = make(chan struct{}, config.MaxConnections)
	}
	return p
}

// Close closes the idle connections. Exchanges in progress go on, and their
// connections are closed after them.
func (p *Pool) Close() {
	p.mutex.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	if p.expiry != nil {
		p.expiry.Stop()
	}
	p.mutex.Unlock()
	for _, c := range idle {
		_ = c.socket.Close()
	}
}

// acquire returns the connection that was used last, or a new one.
func (p *Pool) acquire(ctx context.Context, fresh bool) (c *connection, reused bool, err error) {
	if err := p.takeRoom(ctx); err != nil {
		return nil, false, err
	}
	for c := p.takeIdle(); c != nil; c = p.takeIdle() {
		if fresh {
			_ = c.socket.Close()
			break
		}
		if clock.Since(c.idleSince) < c.idleLimit(p.config.IdleTimeout) && c.alive() {
			return c, true, nil
		}
		_ = c.socket.Close()
	}
	socket, err := p.dialer.DialContext(ctx, "tcp", p.config.Address)
	if err != nil {
		p.giveRoom()
		return nil, false, err
	}
	return newConnection(socket), false, nil
}

func (p *Pool) takeIdle() *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

func (p *Pool) takeRoom(ctx context.Context) error {
	if p.room == nil {
		return nil
	}
	select {
	case p.room <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Pool) giveRoom() {
	if p.room != nil {
		<-p.room
	}
}

// Probe finds out whether the target takes connections. One that it opens is kept for a
// later exchange.
func (p *Pool) Probe(ctx context.Context) error {
	c, _, err := p.acquire(ctx, false)
	if err != nil {
		return err
	}
	if !p.keep(c) {
		_ = c.socket.Close()
	}
	p.giveRoom()
	return nil
}

// detach takes a connection out of the pool that is still open. Closing what it
// returns drops bytes that were not delivered yet.
func (p *Pool) detach(c *connection) io.Closer {
	c.unwatch()
	p.giveRoom()
	return &resetter{c.socket}
}

// resetter closes a connection with a reset.
type resetter struct{ socket net.Conn }

// Close resets the connection.
func (r *resetter) Close() error {
	if tcp, ok := r.socket.(*net.TCPConn); ok {
		// Without it what is still to be delivered would be.
		if err := tcp.SetLinger(0); err != nil {
			return errors.Join(err, r.socket.Close())
		}
	}
	return r.socket.Close()
}

// release gives a connection back after a complete exchange.
func (p *Pool) release(c *connection, response *http.Response) {
	c.keepAlive = keepAliveOf(response.Header)
	if response.Close || !c.unwatch() || c.reader.Buffered() > 0 || !p.keep(c) {
		p.discard(c)
		return
	}
	p.giveRoom()
}

// keep puts the connection among the idle ones, if there is room.
func (p *Pool) keep(c *connection) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || len(p.idle) >= p.config.MaxIdle {
		return false
	}
	c.idleSince = clock.Now()
	p.idle = append(p.idle, c)
	if p.expiry == nil {
		p.expiry = time.AfterFunc(p.config.IdleTimeout, p.expire)
	}
	return true
}

// expire closes the connections that were idle for too long, and looks again
// later while there are others.
func (p *Pool) expire() {
	p.mutex.Lock()
	oldest := 0
	for oldest < len(p.idle) && clock.Since(p.idle[oldest].idleSince) >= p.config.IdleTimeout {
		oldest++
	}
	expired := append([]*connection(nil), p.idle[:oldest]...)
	p.idle = append(p.idle[:0], p.idle[oldest:]...)
	p.expiry = nil
	if len(p.idle) > 0 && !p.closed {
		p.expiry = time.AfterFunc(p.config.IdleTimeout, p.expire)
	}
	p.mutex.Unlock()
	for _, c := range expired {
		_ = c.socket.Close()
	}
}

// discard closes the connection of an exchange that failed or can't be reused.
func (p *Pool) discard(c *connection) {
	c.unwatch()
	_ = c.socket.Close()
	p.giveRoom()
}
