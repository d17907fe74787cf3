package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/replica"
)

// benchmarkFixture returns a forwarder with one home on a real socket.
func benchmarkFixture(b *testing.B) *fixture {
	b.Helper()
	f := &fixture{levels: pressure.New(time.Now), quarantine: quarantine.New(quarantine.Config{Now: time.Now})}
	home := &nonRecordingHome{}
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
