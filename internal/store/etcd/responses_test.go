package etcd_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd"
)

// Responses in the format that the etcd documentation gives.
const (
	documentedHeader = `{"cluster_id":"12585971608760269493","member_id":"13847567121247652255","revision":"3","raft_term":"3"}`
	documentedRange  = `{"header":` + documentedHeader + `,"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"3","version":"2","value":"YmFy"}],"count":"1"}`
	documentedTxn    = `{"header":` + documentedHeader + `,"succeeded":true,"responses":[{"response_put":{"header":{"revision":"3"}}}]}`
	documentedWatch  = `{"result":{"header":` + documentedHeader + `,"created":true}}
{"result":{"header":` + documentedHeader + `,"events":[{"kv":{"key":"Zm9v","create_revision":"2","mod_revision":"3","version":"2","value":"YmFy"}},{"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"4"}}]}}
{"result":{"header":{"revision":"9"}}}
{"result":{"header":{"revision":"9"},"canceled":true,"compact_revision":"12"}}
`
)

// TestDocumentedFormat compares requests and responses with the API's documented format.
func TestDocumentedFormat(t *testing.T) {
	ctx := testContext(t)
	var path, body, response string
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		path, body = r.Method+" "+r.URL.Path, string(content)
		_, err = io.WriteString(w, response)
		assert.Check(t, err)
	}))
	client := newClient(t, etcd.Config{Endpoints: []string{address}})

	response = documentedRange
	entry, err := client.Get(ctx, "foo")
	assert.NilError(t, err)
	assert.DeepEqual(t, entry, store.Entry{Key: "foo", Value: []byte("bar"), Revision: 3})
	assert.Equal(t, path, "POST /v3/kv/range")
	assert.Equal(t, body, `{"key":"Zm9v"}`)

	snapshot, err := client.List(ctx, "foo")
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Revision, store.Revision(3))
	assert.Equal(t, body, `{"key":"Zm9v","range_end":"Zm9w","limit":"500"}`)

	response = documentedTxn
	revision, err := client.CompareAndSwap(ctx, "foo", 2, []byte("bar"), store.LeaseID{Number: 7})
	assert.NilError(t, err)
	assert.Equal(t, revision, store.Revision(3))
	assert.Equal(t, path, "POST /v3/kv/txn")
	assert.Equal(t, body, `{"compare":[{"result":"EQUAL","target":"MOD","key":"Zm9v","mod_revision":"2"}],"success":[{"request_put":{"key":"Zm9v","value":"YmFy","lease":"7"}}]}`)
	_, err = client.CompareAndSwap(ctx, "foo", 0, []byte("bar"), store.NoLease)
	assert.NilError(t, err)
	assert.Equal(t, body, `{"compare":[{"result":"EQUAL","target":"CREATE","key":"Zm9v","create_revision":"0"}],"success":[{"request_put":{"key":"Zm9v","value":"YmFy"}}]}`)
	_, err = client.CompareAndDelete(ctx, "foo", 2)
	assert.NilError(t, err)
	assert.Equal(t, body, `{"compare":[{"result":"EQUAL","target":"MOD","key":"Zm9v","mod_revision":"2"}],"success":[{"request_delete_range":{"key":"Zm9v"}}]}`)

	response = documentedWatch
	var entries []store.Entry
	var progress []store.Revision
	err = client.Watch(ctx, "foo", 2, func(batch []store.Entry, revision store.Revision) {
		entries = append(entries, batch...)
		progress = append(progress, revision)
	})
	assert.ErrorIs(t, err, store.ErrCompacted)
	assert.Equal(t, path, "POST /v3/watch")
	assert.Equal(t, body, `{"create_request":{"key":"Zm9v","range_end":"Zm9w","start_revision":"3","progress_notify":true}}`)
	assert.DeepEqual(t, entries, []store.Entry{
		{Key: "foo", Value: []byte("bar"), Revision: 3},
		{Key: "foo", Revision: 4, Deleted: true},
	})
	assert.DeepEqual(t, progress, []store.Revision{4, 9})
}

// TestResponses checks the outcome of a read and of a write for each kind of response,
// and that a write is never sent twice.
func TestResponses(t *testing.T) {
	unavailable, unknown := store.ErrUnavailable, store.ErrUnknownOutcome
	cases := []struct {
		name        string
		status      int
		body        string
		read, write error
	}{
		{"no leader", 503, `{"code":14,"message":"etcdserver: no leader"}`, unavailable, unavailable},
		{"internal timeout", 503, `{"code":14,"message":"etcdserver: request timed out"}`, unavailable, unknown},
		{"proxy error", 503, `busy`, unavailable, unknown},
		{"gateway timeout", 504, ``, unavailable, unknown},
		{"internal error", 500, `{"code":13,"message":"x"}`, unavailable, unknown},
		{"request timeout", 408, ``, unavailable, unknown},
		{"rate limit", 429, `{"code":8,"message":"etcdserver: too many requests"}`, store.ErrRateLimited, store.ErrRateLimited},
		{"full", 429, `{"code":8,"message":"etcdserver: mvcc: database space exceeded"}`, unavailable, unavailable},
		{"compacted", 400, `{"code":11,"message":"etcdserver: mvcc: required revision has been compacted"}`, store.ErrCompacted, store.ErrCompacted},
		{"lease not found", 404, `{"code":5,"message":"etcdserver: requested lease not found"}`, store.ErrLeaseLost, store.ErrLeaseLost},
		{"redirect", 307, ``, unavailable, unknown},
		{"not JSON", 200, `<html>`, unavailable, unknown},
		{"truncated JSON", 200, `{"header":{"revision":"3"},"succ`, unavailable, unknown},
		{"no revision", 200, `{}`, unavailable, unknown},
		{"number out of range", 200, `{"header":{"revision":"99999999999999999999"}}`, unavailable, unknown},
		{"too large", 200, documentedTxn + strings.Repeat(" ", 5000), unavailable, unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var requests atomic.Int32
			address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				requests.Add(1)
				w.Header().Set("Retry-After", "0")
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(c.status)
				_, err := io.WriteString(w, c.body)
				assert.Check(t, err)
			}))
			client := newClient(t, etcd.Config{Endpoints: []string{address, address}, MaxResponseBytes: 4096})
			_, err := client.CompareAndSwap(testContext(t), "a", 0, nil, store.NoLease)
			assert.ErrorIs(t, err, c.write)
			assert.Equal(t, requests.Load(), int32(1), "a write must be sent once")
			_, err = client.Get(testContext(t), "a")
			assert.ErrorIs(t, err, c.read)
		})
	}
}

// TestRequestErrors checks that the rejection of an invalid request is not reported
// as a failure of the store.
func TestRequestErrors(t *testing.T) {
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadRequest)
		_, err := io.WriteString(w, `{"code":3,"message":"etcdserver: request is too large"}`)
		assert.Check(t, err)
	}))
	client := newClient(t, etcd.Config{Endpoints: []string{address}})
	_, err := client.CompareAndSwap(testContext(t), "a", 0, bytes.Repeat([]byte("x"), 10), store.NoLease)
	assert.ErrorContains(t, err, "request is too large")
	for _, outcome := range []error{store.ErrUnavailable, store.ErrUnknownOutcome, store.ErrConflict} {
		assert.Assert(t, !errors.Is(err, outcome), "%v", err)
	}
}

// TestWatchBoundsMessages checks that a message larger than the limit ends the watch.
func TestWatchBoundsMessages(t *testing.T) {
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, `{"result":{"header":{"revision":"3"},"cancel_reason":"`+strings.Repeat("x", 5000)+`"}}`+"\n")
		assert.Check(t, err)
	}))
	client := newClient(t, etcd.Config{Endpoints: []string{address}, MaxResponseBytes: 4096})
	err := client.Watch(testContext(t), "a", 0, func([]store.Entry, store.Revision) {
		t.Error("the message must not be delivered")
	})
	assert.ErrorIs(t, err, store.ErrUnavailable)
}
