package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/returnplace"
)

// BenchmarkRefusal measures requests that the entry node refuses because their rank is shed down
// the call chain, with return places and a log that drops most events.
func BenchmarkRefusal(b *testing.B) {
	f := benchmarkFixture(b)
	f.forwarder.places = returnplace.New(time.Now())
	f.forwarder.log = eventlog.New(eventlog.Config{}, "node", io.Discard, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go f.forwarder.log.Run(ctx)
	request := httptest.NewRequest(http.MethodGet, "http://a.example/read/x", nil)
	response := &discardWriter{header: make(http.Header)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		// The report expires. A repeated request would return to the place of the earlier one.
		if i%1000 == 0 {
			f.levels.Report("read", f.addresses[0], pressure.Level{Threshold: 0}, 10)
		}
		id := strconv.FormatUint(0x9c41d07be2a35f68+uint64(i), 16)
		request.RequestURI = "/read/" + id
		request.Header = http.Header{"X-Id": {id}, "X-Deadline": {"5000"}, "User-Agent": {"caller"}, "Accept": {"*/*"}}
		clear(response.header)
		f.forwarder.ServeHTTP(response, request)
		if response.status != http.StatusServiceUnavailable {
			b.Fatalf("status %d", response.status)
		}
	}
}
