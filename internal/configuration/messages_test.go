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

type noMembers struct{}

func (noMembers) Members() []Member { return nil }

func newIdleSpreader() (*Syncer, *http.ServeMux) {
	spreader := NewSyncer(Options{Membership: noMembers{}, Log: quietLog()}, NewReplica(time.Now))
	mux := http.NewServeMux()
	spreader.Register(mux)
	return spreader, mux
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

func TestInvalidPushesChangeNothing(t *testing.T) {
	invalid := version("a", 3, false)
	invalid.Service = nil
	encodedInvalid := encode(t, invalid.Envelope)
	valid, err := version("b", 4, false).Encode()
	assert.NilError(t, err)
	cases := map[string][]byte{
		"no message":        []byte("hello"),
		"truncated":         encode(t, pushMessage{Entries: []entry{{Revision: 4, Envelope: valid}}})[:20],
		"invalid envelope":  encode(t, pushMessage{Entries: []entry{{Revision: 4, Envelope: valid}, {Revision: 3, Envelope: encodedInvalid}}}),
		"zero revision":     encode(t, pushMessage{Entries: []entry{{Envelope: valid}}}),
		"negative revision": encode(t, pushMessage{Entries: []entry{{Revision: -1, Envelope: valid}}}),
		"too long":          make([]byte, MaxMessageSize+1),
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			spreader, mux := newIdleSpreader()
			assert.Equal(t, postBody(mux, PathPush, body).Code, http.StatusBadRequest)
			assert.Equal(t, spreader.Digest(), Digest{})
		})
	}
}

func TestPullsBeyondBoundAreRefused(t *testing.T) {
	spreader, mux := newIdleSpreader()
	for range maxServing {
		spreader.serving <- struct{}{}
	}
	assert.Equal(t, postBody(mux, PathSince, encode(t, sinceRequest{})).Code, http.StatusServiceUnavailable)
	<-spreader.serving
	assert.Equal(t, postBody(mux, PathSince, encode(t, sinceRequest{})).Code, http.StatusOK)
}

func TestPagesAreBounded(t *testing.T) {
	var versions []resource.Versioned
	for number := range 40 {
		large := version("a", store.Revision(number+1), false)
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

func TestNewsStopsAfterMaxHops(t *testing.T) {
	encoded, err := version("a", 1, false).Encode()
	assert.NilError(t, err)
	for hops, passedOn := range map[int]bool{0: true, maxHops - 2: true, maxHops - 1: false, maxHops: false} {
		spreader, mux := newIdleSpreader()
		message := pushMessage{Entries: []entry{{Revision: 1, Envelope: encoded}}, Hops: hops}
		assert.Equal(t, postBody(mux, PathPush, encode(t, message)).Code, http.StatusNoContent)
		assert.Equal(t, len(spreader.news.take().versions) == 1, passedOn, "after %d hops", hops)
		assert.Equal(t, postBody(mux, PathPush, encode(t, message)).Code, http.StatusNoContent)
		assert.Equal(t, len(spreader.news.take().versions), 0, "no news the second time")
	}
}

func FuzzPeerMessages(f *testing.F) {
	encoded, err := version("a", 7, false).Encode()
	assert.NilError(f, err)
	drains := []mark{{Name: "target.a", Expiry: time.Now().UnixMilli()}}
	f.Add(encode(f, pushMessage{Entries: []entry{{Revision: 7, Envelope: encoded}}, Hops: 1, Drains: drains}))
	f.Add(encode(f, sinceRequest{Floor: 3, After: 4, AfterKey: "k", Full: true, Max: 2, Drains: drains}))
	f.Add(encode(f, sinceResponse{Entries: []entry{{Revision: 7, Envelope: encoded}}, More: true}))
	f.Fuzz(func(t *testing.T, body []byte) {
		spreader, mux := newIdleSpreader()
		before := version("a", 5, false)
		spreader.replica.ApplyComplete([]resource.Versioned{before}, 5)
		push := postBody(mux, PathPush, body)
		since := postBody(mux, PathSince, body)
		assert.Assert(t, push.Code == http.StatusNoContent || push.Code == http.StatusBadRequest)
		assert.Assert(t, since.Code == http.StatusOK || since.Code == http.StatusBadRequest)
		held, known := spreader.replica.Get(before.ID)
		assert.Assert(t, known && held.Revision >= 5)
		assert.Equal(t, spreader.replica.Floor(), store.Revision(5), "messages do not raise the floor")
		var answer sinceResponse
		if _, err := decodeMessage(bytes.NewReader(body), &answer); err == nil {
			var result pulled
			_ = result.add(answer)
		}
	})
}
