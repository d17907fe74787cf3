package etcd

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// Keep-alive probes detect within about 25 s that a peer's machine is down.
const (
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
)

func dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	netDialer := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := netDialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: connection}, nil
	}
}

// trackedConn counts its writes, which shows after a failed exchange whether a
// byte of the request may have been sent.
type trackedConn struct {
	net.Conn
	writes        atomic.Int64
	writesStopped atomic.Bool
}

// Write implements net.Conn. A write is counted before it starts, and
// discounted if the kernel accepted none of its bytes.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.writes.Add(1)
	if c.writesStopped.Load() {
		c.writes.Add(-1)
		return 0, net.ErrClosed
	}
	written, err := c.Conn.Write(data)
	if written == 0 && err != nil {
		c.writes.Add(-1)
	}
	return written, err
}

// stopWrites makes later writes fail and returns the number of earlier ones.
func (c *trackedConn) stopWrites() int64 {
	c.writesStopped.Store(true)
	return c.writes.Load()
}

// sendTracker records the connections that one request uses.
type sendTracker struct {
	mu   sync.Mutex
	uses []connUse
}

type connUse struct {
	connection *trackedConn
	writes     int64
}

func (s *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: s.gotConn}
}

func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	connection, tracked := info.Conn.(*trackedConn)
	use := connUse{connection: connection}
	if tracked {
		use.writes = connection.writes.Load()
	}
	s.uses = append(s.uses, use)
}

// mayHaveSent stops writes on the connections of a failed request and reports
// whether a byte of the request may have been sent.
func (s *sendTracker) mayHaveSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := false
	for _, use := range s.uses {
		if use.connection == nil || use.connection.stopWrites() != use.writes {
			sent = true
		}
	}
	return sent
}
