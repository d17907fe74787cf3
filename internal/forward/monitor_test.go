package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/peering"
)

// TestHomeSendingInterimResponsesIsNotPinged guards against unnecessary pings during calls
// that last longer than maxSilence. With 24 nodes and calls of 400 to 600 ms, homes were
// pinged 756 times over new connections in 10 s, for 4,851 requests, although interim
// responses arrived on the connections of the calls.
func TestHomeSendingInterimResponsesIsNotPinged(t *testing.T) {
	f := newFixture(t, func(ctx context.Context, call *peering.Call) *peering.Reply {
		time.Sleep(4 * maxSilence)
		return replyOK(ctx, call)
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.forwarder.Run(ctx)
	assert.Equal(t, f.do(http.MethodGet, "/read/x", "1", "").Code, http.StatusOK)
	assert.Equal(t, f.pings.Load(), int64(0))
}
