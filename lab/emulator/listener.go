package emulator

import (
	"net"
	"sync"
	"time"
)

// limitedListener resets new connections above a limit, delays the first read of
// each connection, and can reset all connections.
type limitedListener struct {
	net.Listener
	limit int
	delay time.Duration

	mutex   sync.Mutex
	open    map[*targetConn]struct{}
	down    bool
	refused int64
}

func newLimitedListener(inner net.Listener, limit int, delay time.Duration) *limitedListener {
	return &limitedListener{Listener: inner, limit: limit, delay: delay, open: make(map[*targetConn]struct{})}
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn, ok := l.admit(accepted); ok {
			return conn, nil
		}
		reset(accepted)
	}
}

func (l *limitedListener) admit(accepted net.Conn) (net.Conn, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down || len(l.open) >= l.limit {
		l.refused++
		return nil, false
	}
	conn := &targetConn{Conn: accepted, listener: l, readyAt: time.Now().Add(l.delay)}
	l.open[conn] = struct{}{}
	return conn, true
}

func (l *limitedListener) remove(conn *targetConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, conn)
}

// counts returns the number of open connections and the total of refused ones.
func (l *limitedListener) counts() (open int, refused int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.open), l.refused
}

// setDown resets the open connections and refuses new ones while down is set.
func (l *limitedListener) setDown(down bool) {
	l.mutex.Lock()
	l.down = down
	l.mutex.Unlock()
	if down {
		l.resetAll()
	}
}

func (l *limitedListener) resetAll() {
	l.mutex.Lock()
	conns := make([]*targetConn, 0, len(l.open))
	for conn := range l.open {
		conns = append(conns, conn)
	}
	l.mutex.Unlock()
	for _, conn := range conns {
		reset(conn)
	}
}

// targetConn is a connection that counts towards its listener's limit.
type targetConn struct {
	net.Conn
	listener  *limitedListener
	readyAt   time.Time
	delayOnce sync.Once
	closeOnce sync.Once
}

// Read waits before the first read until the connection delay is over.
func (c *targetConn) Read(buffer []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(time.Until(c.readyAt)) })
	return c.Conn.Read(buffer)
}

// Close closes the connection, which then no longer counts towards the limit.
func (c *targetConn) Close() error {
	c.closeOnce.Do(func() { c.listener.remove(c) })
	return c.Conn.Close()
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	inner := conn
	if wrapped, ok := conn.(*targetConn); ok {
		inner = wrapped.Conn
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
