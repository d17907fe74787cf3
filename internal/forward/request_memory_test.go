package forward

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/memorybudget"
	"github.com/lugspur/lugspur/internal/peering"
)

// TestManySmallRequestsStayInMemory guards against requests without large messages whose headers and
// connections take the process over its memory.
func TestManySmallRequestsStayInMemory(t *testing.T) {
	const places = 4
	started, finish := make(chan struct{}, places), make(chan struct{})
	f := newFixture(t, func(ctx context.Context, call *peering.Call) *peering.Reply {
		started <- struct{}{}
		<-finish
		return replyOK(ctx, call)
	})
	f.forwarder.memory = memorybudget.New(memorybudget.Limits{Total: places*requestBytes + requestBytes/2}, time.Now, nil)
	var running sync.WaitGroup
	for range places {
		running.Go(func() { assert.Check(t, f.do("GET", "/read/x", "a", "").Code == http.StatusOK) })
		<-started
	}
	refused := f.do("GET", "/read/x", "b", "")
	assert.Equal(t, refused.Code, http.StatusServiceUnavailable)
	assert.Assert(t, refused.Header().Get("Retry-After") != "")
	close(finish)
	running.Wait()
	assert.Equal(t, f.do("GET", "/read/x", "c", "").Code, http.StatusOK)
	assert.Equal(t, f.forwarder.memory.Held(memorybudget.Request), int64(0))
}
