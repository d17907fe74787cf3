package emulator

import (
	"net"
	"sync"
	"time"
)

// limitedListener resets connections above a limit, makes new connections
// cost time, and can reset all of them at once.
type limitedListener struct {
	net.Listener
	limit   int
	connect time.Duration

	mutex   sync.Mutex
	open    map[*targetConn]struct{}
	down    bool
	refused int64
}

func newLimitedListener(inner net.Listener, limit int, connect time.Duration) *limitedListener {
	return &limitedListener{Listener: inner, limit: limit, connect: connect, open: make(map[*targetConn]struct{})}
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
	conn := &targetConn{Conn: accepted, owner: l, readyAt: time.Now().Add(l.connect)}
	l.open[conn] = struct{}{}
	return conn, true
}

func (l *limitedListener) forget(conn *targetConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, conn)
}

// counts returns the open connections and the refused ones so far.
func (l *limitedListener) counts() (open int, refused int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.open), l.refused
}

// setDown refuses new connections while down and resets the open ones.
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

// targetConn is a connection that counts against its listener's limit.
type targetConn struct {
	net.Conn
	owner   *limitedListener
	readyAt time.Time
	waited  sync.Once
	closed  sync.Once
}

// Read waits until the connection has been paid for.
func (c *targetConn) Read(buffer []byte) (int, error) {
	c.waited.Do(func() { time.Sleep(time.Until(c.readyAt)) })
	return c.Conn.Read(buffer)
}

// Close gives the connection's place back.
func (c *targetConn) Close() error {
	c.closed.Do(func() { c.owner.forget(c) })
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
