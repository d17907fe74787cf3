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

// echo answers on TCP and UDP with what it got and, when a TCP client ends its
// side, ends its own.
func echo(t *testing.T) string {
	t.Helper()
	tcp, udp, err := listenBoth("127.0.0.1:0")
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
	proxy, err := New("127.0.0.1:0", echo(t))
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

const silence = 60 * time.Millisecond

func expectSilence(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(silence)))
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

// expectNewReset opens a connection that is reset at once: the dial or the
// first read may be what sees it.
func expectNewReset(t *testing.T, proxy *Proxy) {
	t.Helper()
	conn, err := net.Dial("tcp", proxy.Address())
	if err != nil {
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
		return
	}
	defer func() { _ = conn.Close() }()
	expectReset(t, conn)
}

func set(t *testing.T, proxy *Proxy, toUpstream, toClient Faults) {
	t.Helper()
	assert.NilError(t, proxy.SetFaults(toUpstream, toClient))
}

func TestPassesBytesAndOrderlyEnds(t *testing.T) {
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

func TestLatencyInOneDirection(t *testing.T) {
	proxy := newProxy(t)
	set(t, proxy, Faults{Latency: 40 * time.Millisecond, Jitter: 5 * time.Millisecond}, Faults{})
	for _, network := range []string{"tcp", "udp"} {
		conn := dial(t, network, proxy)
		start := time.Now()
		send(t, conn, "a")
		expect(t, conn, "a")
		assert.Assert(t, time.Since(start) >= 40*time.Millisecond, network)
	}
}

func TestResetCutsOpenAndNewConnections(t *testing.T) {
	proxy := newProxy(t)
	conn := dial(t, "tcp", proxy)
	send(t, conn, "a")
	expect(t, conn, "a")
	set(t, proxy, Faults{}, Faults{Cut: CutReset})
	expectReset(t, conn)
	expectNewReset(t, proxy)
	proxy.Clear()
	conn = dial(t, "tcp", proxy)
	send(t, conn, "b")
	expect(t, conn, "b")
}

func TestBlackholeIsOneWayAndSpoilsStreams(t *testing.T) {
	proxy := newProxy(t)
	conn := dial(t, "tcp", proxy)
	idle := dial(t, "tcp", proxy)
	for _, each := range []net.Conn{conn, idle} {
		send(t, each, "a")
		expect(t, each, "a")
	}
	set(t, proxy, Faults{}, Faults{Cut: CutBlackhole})
	send(t, conn, "b")
	expectSilence(t, conn)
	during := dial(t, "tcp", proxy)
	expectSilence(t, during)
	proxy.Clear()
	expectReset(t, conn)   // its stream has lost bytes
	expectReset(t, during) // its handshake was lost
	send(t, idle, "c")     // nothing of it was lost
	expect(t, idle, "c")
}

func TestHeldBytesComeLateAndInOrder(t *testing.T) {
	proxy := newProxy(t)
	for _, network := range []string{"tcp", "udp"} {
		set(t, proxy, Faults{}, Faults{Hold: true})
		conn := dial(t, network, proxy)
		send(t, conn, "one")
		expectSilence(t, conn)
		send(t, conn, "two")
		proxy.Clear()
		expect(t, conn, "one")
		expect(t, conn, "two")
	}
}

func TestHalfOpenHidesTheEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	proxy, err := New("127.0.0.1:0", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = proxy.Close() }()
	set(t, proxy, Faults{}, Faults{HalfOpen: true})
	conn := dial(t, "tcp", proxy)
	upstream, err := listener.Accept()
	assert.NilError(t, err)
	// A reset that comes before the proxy's own dial returns would end the
	// handshake and not an open connection.
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

func TestUpstreamResetIsPassedOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	proxy, err := New("127.0.0.1:0", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = proxy.Close() }()
	conn := dial(t, "tcp", proxy)
	upstream, err := listener.Accept()
	assert.NilError(t, err)
	// A reset that comes before the proxy's own dial returns would end the
	// handshake and not an open connection.
	send(t, conn, "open")
	expect(t, upstream, "open")
	resetConn(upstream.(*net.TCPConn))
	expectReset(t, conn)
}

func TestTruncationLooksLikeAnOrderlyEnd(t *testing.T) {
	proxy := newProxy(t)
	set(t, proxy, Faults{}, Faults{TruncateAfter: 5})
	conn := dial(t, "tcp", proxy)
	send(t, conn, "abc")
	expect(t, conn, "abc")
	send(t, conn, "defgh")
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "de")
}

func TestBandwidthIsBounded(t *testing.T) {
	proxy := newProxy(t)
	set(t, proxy, Faults{BytesPerSecond: 100_000}, Faults{})
	conn := dial(t, "tcp", proxy)
	start := time.Now()
	text := strings.Repeat("x", 10_000)
	send(t, conn, text)
	expect(t, conn, text)
	assert.Assert(t, time.Since(start) >= 80*time.Millisecond)
}

func TestDatagramLossAndCuts(t *testing.T) {
	proxy := newProxy(t)
	conn := dial(t, "udp", proxy)
	for _, faults := range []Faults{{Loss: 1}, {Cut: CutBlackhole}, {Cut: CutReset}} {
		set(t, proxy, faults, Faults{})
		send(t, conn, "lost")
		expectSilence(t, conn)
		set(t, proxy, Faults{}, faults)
		send(t, conn, "answer lost")
		expectSilence(t, conn)
	}
	proxy.Clear()
	send(t, conn, "kept")
	expect(t, conn, "kept")

	set(t, proxy, Faults{Loss: 0.5}, Faults{})
	for range 400 {
		send(t, conn, "x")
		time.Sleep(50 * time.Microsecond)
	}
	arrived := 0
	for {
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(4*silence)))
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			break
		}
		arrived++
	}
	assert.Assert(t, arrived > 100 && arrived < 300, "%d of 400", arrived)
}

func TestClosedConnectionsAreForgotten(t *testing.T) {
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
