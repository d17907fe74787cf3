package etcd

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// Keep-alive probes find a peer whose machine is gone within about 25 s.
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

// trackedConn counts its writes, so that a failed exchange can tell whether
// any byte of it may have left.
type trackedConn struct {
	net.Conn
	writes atomic.Int64
	sealed atomic.Bool
}

// Write implements net.Conn. The write is counted before it begins; one that
// the kernel refused whole is not counted.
func (t *trackedConn) Write(data []byte) (int, error) {
	t.writes.Add(1)
	if t.sealed.Load() {
		t.writes.Add(-1)
		return 0, net.ErrClosed
	}
	written, err := t.Conn.Write(data)
	if written == 0 && err != nil {
		t.writes.Add(-1)
	}
	return written, err
}

// seal refuses all later writes and returns the number of those before it.
func (t *trackedConn) seal() int64 {
	t.sealed.Store(true)
	return t.writes.Load()
}

// sendTracker observes the connections that one request is given.
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

// mayHaveSent ends the request's connections and reports whether a byte of the
// request may have left. It is for requests that failed.
func (s *sendTracker) mayHaveSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := false
	for _, use := range s.uses {
		if use.connection == nil || use.connection.seal() != use.writes {
			sent = true
		}
	}
	return sent
}
