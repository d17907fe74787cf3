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

// TestAWatchIsNotAnsweredByChangesElsewhere tells of a count of calls that failed once in
// four on a busy machine.
//
// What was seen: two of eight nodes at rest watched the configuration each 0.3 s, 33 and
// 24 calls in 10 s where five were expected.
// Cause: this stand-in answered a watch without events 0.3 s after it came wherever the
// store's revision had moved beyond the watch's own. A node goes on from the last event,
// so that one which read the configuration before the last node wrote its record was
// answered early each time. The platform's store answers with events or at the end of the
// wait.
// Evidence: the two nodes' period is that pause; the order in which nodes start, which load
// changes, decides which nodes lie behind.
func TestAWatchIsNotAnsweredByChangesElsewhere(t *testing.T) {
	held := memory.New(time.Now)
	server := httptest.NewServer(NewStore(held).Handler())
	defer server.Close()
	revision, err := held.CompareAndSwap(context.Background(), "watched/a", 0, []byte("1"), store.NoLease)
	assert.NilError(t, err)
	_, err = held.CompareAndSwap(context.Background(), "elsewhere/a", 0, []byte("1"), store.NoLease)
	assert.NilError(t, err)
	const wait = 900 * time.Millisecond
	asked := time.Now()
	answer, err := http.Get(fmt.Sprintf("%s/kv-watch?path-prefix=watched/&after=%d&wait-ms=%d", server.URL, revision, wait.Milliseconds()))
	assert.NilError(t, err)
	defer answer.Body.Close()
	var watched watchAnswer
	assert.NilError(t, json.NewDecoder(answer.Body).Decode(&watched))
	assert.Equal(t, len(watched.Events), 0)
	assert.Assert(t, watched.At > int64(revision), "the answer tells how far the store is")
	assert.Assert(t, time.Since(asked) >= wait, "answered after %s", time.Since(asked))
}
