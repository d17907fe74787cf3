package forward

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/callheader"
	"github.com/lugspur/lugspur/internal/guard"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/shed"
)

// benchmarkFixture returns a forwarder with one home on a real socket.
func benchmarkFixture(b *testing.B) *fixture {
	b.Helper()
	return benchmarkFixtureOf(b, &nonRecordingHome{})
}

// benchmarkFixtureOf returns a forwarder with the given home on a real socket.
func benchmarkFixtureOf(b *testing.B, home peering.Home) *fixture {
	b.Helper()
	f := &fixture{levels: pressure.New(time.Now), quarantine: quarantine.New(quarantine.Config{Now: time.Now})}
	server := httptest.NewServer(peering.Handler(peering.ServerConfig{Home: home, AntiEntropy: replica.NewAntiEntropy(replica.AntiEntropyConfig{Now: time.Now}), Codec: testCodec, MaxMessageBytes: 1 << 20, Process: testProcess}))
	b.Cleanup(server.Close)
	f.addresses = []string{server.Listener.Addr().String()}
	f.forwarder = newForwarder(b, f, f.addresses)
	return f
}

// nonRecordingHome answers calls without recording them.
type nonRecordingHome struct{ fakeHome }

func (h *nonRecordingHome) Run(ctx context.Context, call *peering.Call) *peering.Reply {
	return replyOK(ctx, call)
}

// BenchmarkRequest measures sequential requests: the work of the entry node and both sides of
// the exchange with the home, without the target.
func BenchmarkRequest(b *testing.B) {
	f := benchmarkFixture(b)
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequest(http.MethodGet, "http://a.example/read/x", nil)
		request.RequestURI = "/read/x"
		request.Header = http.Header{"X-Id": {"9c41d07be2a35f68"}, "X-Deadline": {"5000"}, "User-Agent": {"caller"}, "Accept": {"*/*"}}
		response := httptest.NewRecorder()
		f.forwarder.ServeHTTP(response, request)
		assert.Equal(b, response.Code, http.StatusOK)
	}
}

// discardWriter is a http.ResponseWriter that keeps only the status and reuses its header.
type discardWriter struct {
	header http.Header
	status int
}

// Header returns the header of the response.
func (w *discardWriter) Header() http.Header { return w.header }

// WriteHeader stores the status.
func (w *discardWriter) WriteHeader(status int) { w.status = status }

// Write drops the content.
func (w *discardWriter) Write(content []byte) (int, error) { return len(content), nil }

// BenchmarkHandler measures the same work as BenchmarkRequest with a request and a response
// writer that are reused, so that they hardly add to the figures.
func BenchmarkHandler(b *testing.B) {
	f := benchmarkFixture(b)
	template := httptest.NewRequest(http.MethodGet, "http://a.example/read/x", nil)
	template.RequestURI = "/read/x"
	template.Header = make(http.Header)
	header := http.Header{"X-Id": {"9c41d07be2a35f68"}, "X-Deadline": {"5000"}, "User-Agent": {"caller"}, "Accept": {"*/*"}}
	response := &discardWriter{header: make(http.Header)}
	b.ReportAllocs()
	for b.Loop() {
		clear(template.Header)
		maps.Copy(template.Header, header)
		clear(response.header)
		f.forwarder.ServeHTTP(response, template)
		if response.status != http.StatusOK {
			b.Fatalf("status %d", response.status)
		}
	}
}

const (
	benchmarkTargetResponse = "HTTP/1.1 200 OK\r\nX-Id: 9c41d07be2a35f68\r\nX-Signature: s\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"
	benchmarkCallerRequest  = "GET /read/x HTTP/1.1\r\nHost: a.example\r\nX-Id: 9c41d07be2a35f68\r\nX-Deadline: 5000\r\nUser-Agent: caller\r\nAccept: */*\r\n\r\n"
)

// startBenchmarkTarget starts a target that answers each message it reads with a constant
// response, and returns its address.
func startBenchmarkTarget(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerMessages(connection)
		}
	}()
	return listener.Addr().String()
}

// answerMessages answers each message on the connection until it is closed. It takes each
// read for one message, which holds for small messages on the loopback interface.
func answerMessages(connection net.Conn) {
	defer connection.Close()
	buffer := make([]byte, 4<<10)
	for {
		if _, err := connection.Read(buffer); err != nil {
			return
		}
		if _, err := io.WriteString(connection, benchmarkTargetResponse); err != nil {
			return
		}
	}
}

// benchmarkGuard returns the guard of a home with the target at the address.
func benchmarkGuard(address string) *guard.Guard {
	g := guard.New(guard.Config{
		Service:        "s",
		Address:        address,
		Headers:        callheader.Names{RequestID: "X-Id", DeadlineMillis: "X-Deadline", Caller: "X-Caller", ExpectInstance: "X-Expect", Signature: "X-Signature", NotExecuted: "X-Not-Executed", Load: "X-Load", RateLimit: "X-Rate-Limit", Leaving: "X-Leaving"},
		SlotShare:      1,
		MaxQueue:       16,
		MaxBuffered:    1 << 20,
		MaxConnections: func() int { return 100 },
		Downstream:     func(string) pressure.Level { return pressure.Level{Threshold: shed.None} },
		Quarantine:     quarantine.New(quarantine.Config{Now: time.Now}),
	}, nil, time.Now)
	g.SetTarget(registry.Target{ID: "i-1", Service: "s", Slots: 10, State: registry.Ready})
	return g
}

// BenchmarkWholePath measures sequential requests over sockets: from the caller to the entry
// node, from there to the home, and from there to the target.
func BenchmarkWholePath(b *testing.B) {
	f := benchmarkFixtureOf(b, benchmarkGuard(startBenchmarkTarget(b)))
	entry := httptest.NewServer(f.forwarder)
	b.Cleanup(entry.Close)
	caller, err := net.Dial("tcp", entry.Listener.Addr().String())
	assert.NilError(b, err)
	b.Cleanup(func() { _ = caller.Close() })
	buffer := make([]byte, 4<<10)
	b.ReportAllocs()
	for b.Loop() {
		_, err := io.WriteString(caller, benchmarkCallerRequest)
		assert.NilError(b, err)
		length, err := caller.Read(buffer)
		if err != nil || !bytes.HasPrefix(buffer[:length], []byte("HTTP/1.1 200 ")) {
			b.Fatalf("response %q, error %v", buffer[:length], err)
		}
	}
}
