package configuration

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

type emptyMembership struct{}

func (emptyMembership) Members() []Member { return nil }

func newIdleSyncer() (*Syncer, *http.ServeMux) {
	syncer := NewSyncer(Options{Membership: emptyMembership{}, Log: discardLog()}, NewReplica(time.Now))
	mux := http.NewServeMux()
	syncer.Register(mux)
	return syncer, mux
}

func postBody(mux *http.ServeMux, path string, body []byte) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
	return recorder
}

func encode(t testing.TB, message any) []byte {
	t.Helper()
	encoded, err := cbor.Marshal(message)
	assert.NilError(t, err)
	return encoded
}

func TestInvalidPushesAreRejected(t *testing.T) {
	invalid := version("a", 3, false)
	invalid.Service = nil
	encodedInvalid := encode(t, invalid.Envelope)
	valid, err := version("b", 4, false).Encode()
	assert.NilError(t, err)
	cases := map[string][]byte{
		"no message":        []byte("hello"),
		"truncated":         encode(t, pushMessage{Entries: []wireEntry{{Revision: 4, Envelope: valid}}})[:20],
		"invalid envelope":  encode(t, pushMessage{Entries: []wireEntry{{Revision: 4, Envelope: valid}, {Revision: 3, Envelope: encodedInvalid}}}),
		"zero revision":     encode(t, pushMessage{Entries: []wireEntry{{Envelope: valid}}}),
		"negative revision": encode(t, pushMessage{Entries: []wireEntry{{Revision: -1, Envelope: valid}}}),
		"too long":          make([]byte, MaxMessageSize+1),
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			syncer, mux := newIdleSyncer()
			assert.Equal(t, postBody(mux, PathPush, body).Code, http.StatusBadRequest)
			assert.Equal(t, syncer.Digest(), Digest{})
		})
	}
}

func TestPullsAboveLimitAreRejected(t *testing.T) {
	syncer, mux := newIdleSyncer()
	for range maxConcurrentPulls {
		syncer.pullSlots <- struct{}{}
	}
	assert.Equal(t, postBody(mux, PathPull, encode(t, pullRequest{})).Code, http.StatusServiceUnavailable)
	<-syncer.pullSlots
	assert.Equal(t, postBody(mux, PathPull, encode(t, pullRequest{})).Code, http.StatusOK)
}

func TestPageSizeIsLimited(t *testing.T) {
	var versions []resource.Versioned
	for i := range 40 {
		large := version("a", store.Revision(i+1), false)
		large.History = []resource.Change{{ID: string(make([]byte, 30<<10))}}
		versions = append(versions, large)
	}
	entries, count, err := encodeVersions(versions)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), count)
	assert.Assert(t, count > 1 && count < len(versions))
	size := len(encode(t, pushMessage{Entries: entries}))
	assert.Assert(t, size < MaxMessageSize, "%d bytes", size)
}

func TestPushStopsAfterMaxHops(t *testing.T) {
	encoded, err := version("a", 1, false).Encode()
	assert.NilError(t, err)
	for hops, forwarded := range map[int]bool{0: true, maxHops - 2: true, maxHops - 1: false, maxHops: false} {
		syncer, mux := newIdleSyncer()
		message := pushMessage{Entries: []wireEntry{{Revision: 1, Envelope: encoded}}, Hops: hops}
		assert.Equal(t, postBody(mux, PathPush, encode(t, message)).Code, http.StatusNoContent)
		assert.Equal(t, len(syncer.pushQueue.takeBatch().versions) == 1, forwarded, "after %d hops", hops)
		assert.Equal(t, postBody(mux, PathPush, encode(t, message)).Code, http.StatusNoContent)
		assert.Equal(t, len(syncer.pushQueue.takeBatch().versions), 0, "repeated push is not forwarded")
	}
}

func FuzzPeerMessages(f *testing.F) {
	encoded, err := version("a", 7, false).Encode()
	assert.NilError(f, err)
	drains := []wireDrain{{Name: "target.a", Expiry: time.Now().UnixMilli()}}
	f.Add(encode(f, pushMessage{Entries: []wireEntry{{Revision: 7, Envelope: encoded}}, Hops: 1, Drains: drains}))
	f.Add(encode(f, pullRequest{Floor: 3, After: 4, AfterKey: "k", Full: true, Max: 2, Drains: drains}))
	f.Add(encode(f, pullResponse{Entries: []wireEntry{{Revision: 7, Envelope: encoded}}, More: true}))
	f.Fuzz(func(t *testing.T, body []byte) {
		syncer, mux := newIdleSyncer()
		before := version("a", 5, false)
		syncer.replica.ApplyComplete([]resource.Versioned{before}, 5)
		pushRecorder := postBody(mux, PathPush, body)
		pullRecorder := postBody(mux, PathPull, body)
		assert.Assert(t, pushRecorder.Code == http.StatusNoContent || pushRecorder.Code == http.StatusBadRequest)
		assert.Assert(t, pullRecorder.Code == http.StatusOK || pullRecorder.Code == http.StatusBadRequest)
		current, known := syncer.replica.Get(before.ID)
		assert.Assert(t, known && current.Revision >= 5)
		assert.Equal(t, syncer.replica.Floor(), store.Revision(5), "messages must not raise the floor")
		var response pullResponse
		if _, err := decodeMessage(bytes.NewReader(body), &response); err == nil {
			var result pullResult
			_ = result.add(response)
		}
	})
}
