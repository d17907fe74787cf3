package platformstub

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
)

// TestWatchIgnoresChangesOutsidePrefix guards against a stub that ends watches early:
// it responded without events after 0.3 s whenever the store's revision was newer than the
// watch's, where the platform's store responds with events or at the end of the wait. A node
// continues from the last event, so nodes that had read the configuration before the last
// node wrote its record polled every 0.3 s: two of eight idle nodes made 33 and 24 calls in
// 10 s instead of five. Which nodes are behind depends on the order in which they start, so a
// test of the call count failed one time in four on a busy machine.
func TestWatchIgnoresChangesOutsidePrefix(t *testing.T) {
	backend := memory.New(time.Now)
	server := httptest.NewServer(NewStore(backend).Handler())
	defer server.Close()
	revision, err := backend.CompareAndSwap(context.Background(), "watched/a", 0, []byte("1"), store.NoLease)
	assert.NilError(t, err)
	_, err = backend.CompareAndSwap(context.Background(), "elsewhere/a", 0, []byte("1"), store.NoLease)
	assert.NilError(t, err)
	const wait = 900 * time.Millisecond
	start := time.Now()
	response, err := http.Get(fmt.Sprintf("%s/kv-watch?path-prefix=watched/&after=%d&wait-ms=%d", server.URL, revision, wait.Milliseconds()))
	assert.NilError(t, err)
	defer response.Body.Close()
	var result watchResponse
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&result))
	assert.Equal(t, len(result.Events), 0)
	assert.Assert(t, result.At > int64(revision), "the response must include the current revision")
	assert.Assert(t, time.Since(start) >= wait, "responded after %s", time.Since(start))
}
