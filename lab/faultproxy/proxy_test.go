package faultproxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEchoServer starts a TCP and UDP echo server. It closes a TCP connection when
// the client has closed its side.
func startEchoServer(t *testing.T) string {
	t.Helper()
	tcp, udp, err := listenTCPAndUDP("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = tcp.Close()
		_ = udp.Close()
	})
	go func() {
		for {
			conn, err := tcp.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	go func() {
		buffer := make([]byte, maxDatagramBytes)
		for {
			count, from, err := udp.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			_, _ = udp.WriteToUDP(buffer[:count], from)
		}
	}()
	return tcp.Addr().String()
}

func newProxy(t *testing.T) *Proxy {
	t.Helper()
	proxy, err := New("127.0.0.1:0", startEchoServer(t))
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, proxy.Close()) })
	return proxy
}

func dial(t *testing.T, network string, proxy *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial(network, proxy.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	assert.NilError(t, err)
}

func expect(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	got := make([]byte, len(text))
	_, err := io.ReadFull(conn, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), text)
}

const silenceTimeout = 60 * time.Millisecond

func expectSilence(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(silenceTimeout)))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
}

func expectReset(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := io.Copy(io.Discard, conn)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// expectNewConnectionReset opens a connection that must be reset immediately: either
// the dial or the first read fails.
func expectNewConnectionReset(t *testing.T, proxy *Proxy) {
	t.Helper()
	conn, err := net.Dial("tcp", proxy.Address())
	if err != nil {
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
		return
	}
	defer func() { _ = conn.Close() }()
	expectReset(t, conn)
}

func setFaults(t *testing.T, proxy *Proxy, toUpstream, toClient Faults) {
	t.Helper()
	assert.NilError(t, proxy.SetFaults(toUpstream, toClient))
}

func TestForwardsBytesAndOrderlyClose(t *testing.T) {
	conn := dial(t, "tcp", newProxy(t))
	large := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	go func() {
		_, _ = conn.Write(large)
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, large))
}

func TestOneWayLatency(t *testing.T) {
	proxy := newProxy(t)
	setFaults(t, proxy, Faults{Latency: 40 * time.Millisecond, Jitter: 5 * time.Millisecond}, Faults{})
	for _, network := range []string{"tcp", "udp"} {
		conn := dial(t, network, proxy)
		start := time.Now()
		send(t, conn, "a")
		expect(t, conn, "a")
		assert.Assert(t, time.Since(start) >= 40*time.Millisecond, network)
	}
}

func TestResetAffectsOpenAndNewConnections(t *testing.T) {
	proxy := newProxy(t)
	conn := dial(t, "tcp", proxy)
	send(t, conn, "a")
	expect(t, conn, "a")
	setFaults(t, proxy, Faults{}, Faults{Cut: CutReset})
	expectReset(t, conn)
	expectNewConnectionReset(t, proxy)
	proxy.Clear()
	conn = dial(t, "tcp", proxy)
	send(t, conn, "b")
	expect(t, conn, "b")
}

func TestBlackholeResetsIncompleteStreams(t *testing.T) {
	proxy := newProxy(t)
	conn := dial(t, "tcp", proxy)
	idle := dial(t, "tcp", proxy)
	for _, c := range []net.Conn{conn, idle} {
		send(t, c, "a")
		expect(t, c, "a")
	}
	setFaults(t, proxy, Faults{}, Faults{Cut: CutBlackhole})
	send(t, conn, "b")
	expectSilence(t, conn)
	during := dial(t, "tcp", proxy)
	expectSilence(t, during)
	proxy.Clear()
	expectReset(t, conn)   // bytes of its stream were lost
	expectReset(t, during) // its handshake was lost
	send(t, idle, "c")     // no bytes of its stream were lost
	expect(t, idle, "c")
}

func TestHeldBytesArriveInOrder(t *testing.T) {
	proxy := newProxy(t)
	for _, network := range []string{"tcp", "udp"} {
		setFaults(t, proxy, Faults{}, Faults{Hold: true})
		conn := dial(t, network, proxy)
		send(t, conn, "one")
		expectSilence(t, conn)
		send(t, conn, "two")
		proxy.Clear()
		expect(t, conn, "one")
		expect(t, conn, "two")
	}
}

func TestHalfOpenHidesClose(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	proxy, err := New("127.0.0.1:0", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = proxy.Close() }()
	setFaults(t, proxy, Faults{}, Faults{HalfOpen: true})
	conn := dial(t, "tcp", proxy)
	upstream, err := listener.Accept()
	assert.NilError(t, err)
	// A reset before the proxy's dial returns would abort the handshake instead
	// of an open connection.
	send(t, conn, "open")
	expect(t, upstream, "open")
	resetConn(upstream.(*net.TCPConn))
	expectSilence(t, conn)
	send(t, conn, "is anybody there")
	send(t, conn, "hello")
	expectSilence(t, conn)
	proxy.Clear()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF), "%v", err)
}

func TestUpstreamResetIsForwarded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	proxy, err := New("127.0.0.1:0", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = proxy.Close() }()
	conn := dial(t, "tcp", proxy)
	upstream, err := listener.Accept()
	assert.NilError(t, err)
	// A reset before the proxy's dial returns would abort the handshake instead
	// of an open connection.
	send(t, conn, "open")
	expect(t, upstream, "open")
	resetConn(upstream.(*net.TCPConn))
	expectReset(t, conn)
}

func TestTruncationClosesConnectionOrderly(t *testing.T) {
	proxy := newProxy(t)
	setFaults(t, proxy, Faults{}, Faults{TruncateAfter: 5})
	conn := dial(t, "tcp", proxy)
	send(t, conn, "abc")
	expect(t, conn, "abc")
	send(t, conn, "defgh")
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "de")
}

func TestBandwidthLimit(t *testing.T) {
	proxy := newProxy(t)
	setFaults(t, proxy, Faults{BytesPerSecond: 100_000}, Faults{})
	conn := dial(t, "tcp", proxy)
	start := time.Now()
	text := strings.Repeat("x", 10_000)
	send(t, conn, text)
	expect(t, conn, text)
	assert.Assert(t, time.Since(start) >= 80*time.Millisecond)
}

func TestDatagramLoss(t *testing.T) {
	proxy := newProxy(t)
	conn := dial(t, "udp", proxy)
	for _, faults := range []Faults{{Loss: 1}, {Cut: CutBlackhole}, {Cut: CutReset}} {
		setFaults(t, proxy, faults, Faults{})
		send(t, conn, "lost")
		expectSilence(t, conn)
		setFaults(t, proxy, Faults{}, faults)
		send(t, conn, "answer lost")
		expectSilence(t, conn)
	}
	proxy.Clear()
	send(t, conn, "kept")
	expect(t, conn, "kept")

	setFaults(t, proxy, Faults{Loss: 0.5}, Faults{})
	for range 400 {
		send(t, conn, "x")
		time.Sleep(50 * time.Microsecond)
	}
	arrived := 0
	for {
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(4*silenceTimeout)))
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			break
		}
		arrived++
	}
	assert.Assert(t, arrived > 100 && arrived < 300, "%d of 400", arrived)
}

func TestClosedConnectionsAreRemoved(t *testing.T) {
	proxy := newProxy(t)
	conn := dial(t, "tcp", proxy)
	send(t, conn, "a")
	expect(t, conn, "a")
	assert.Equal(t, proxy.Connections(), 1)
	assert.NilError(t, conn.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if proxy.Connections() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d open", proxy.Connections())
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}
