package home

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/problem"
)

var sampleLoad = Load{InFlight: 1, Limit: 8, Queued: 2, QueueDelay: 3 * time.Millisecond, Threshold: 300, Version: 1_780_000_000_000}

func TestLoadRoundTrip(t *testing.T) {
	for _, want := range []Load{{}, sampleLoad} {
		got, err := parseLoad(want.String())
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	for _, text := range []string{"", "1 2 3", "1 2 3 4 5 6 7", "1 2 3 4 5 x", "-1 2 3 4 5 6", "1 2 3 4 5 99999999999999999999"} {
		_, err := parseLoad(text)
		assert.Check(t, err != nil, "%q was parsed", text)
	}
	clamped, err := parseLoad("0 1 0 0 70000 0")
	assert.NilError(t, err)
	assert.Equal(t, clamped.Threshold, uint16(criticality.RankCount))
}

// newPeer serves the handler as the peer listener of a home.
func newPeer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestForwardedCall(t *testing.T) {
	target, _ := newTarget(t, 2, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Path", r.RequestURI)
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "hello")
	})
	m := newManager(Settings{})
	call := newCall()
	peer := newPeer(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.RequestURI == PathPrefix+"a-1/x?q=1")
		got, err := callcontext.FromHeader(r.Header)
		assert.Check(t, err == nil && got.RequestID == call.Context.RequestID)
		received := newCall()
		reply, _ := m.Run(r.Context(), service, target, true, received)
		WriteReply(w, reply, time.Time{})
	})
	call.RequestURI = "/x?q=1"
	reply, failure := NewClient(maxBuffered).Run(t.Context(), peer, "a-1", call)
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, reply.Status, http.StatusTeapot)
	assert.Equal(t, string(reply.Body), "hello")
	assert.Equal(t, reply.Load.Limit, m.LoadOf("a-1").Limit)
	assert.Equal(t, reply.Header.Get(LoadHeader)+reply.Header.Get(ResultHeader), "")
}

func TestHomeProblems(t *testing.T) {
	refusal := problem.New(problem.Overloaded, problem.ExecutedNo, Step, "a-1", "queue-full").WithRetryAfter(3 * time.Second)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodHead} {
		t.Run(method, func(t *testing.T) {
			peer := newPeer(t, func(w http.ResponseWriter, _ *http.Request) { WriteProblem(w, sampleLoad, refusal) })
			call := newCall()
			call.Method = method
			reply, failure := NewClient(maxBuffered).Run(t.Context(), peer, "a-1", call)
			assertProblem(t, failure, problem.Overloaded, problem.ExecutedNo)
			assert.Equal(t, failure.RetryAfterSeconds, 3)
			assert.Equal(t, reply.Load, sampleLoad)
		})
	}
}

func TestResponsesNotSentByHome(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"not a home":     respondWith(200, "hello"),
		"not found":      http.NotFound,
		"malformed load": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(LoadHeader, "1 2") },
		"no result":      func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(LoadHeader, sampleLoad.String()) },
		"cut":            func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"problem not sent by a home": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(503)
			_, _ = io.WriteString(w, `{"executed":"no"}`)
		},
		"problem in the body only": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(LoadHeader, sampleLoad.String())
			w.Header().Set(ResultHeader, resultProblem)
			_, _ = io.WriteString(w, `{"type":"urn:lugspur:problem:overloaded","status":0,"executed":"no"}`)
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, failure := NewClient(maxBuffered).Run(t.Context(), newPeer(t, handler), "a-1", newCall())
			assertProblem(t, failure, problem.TargetFailed, problem.ExecutedUnknown)
		})
	}
}

func TestUnreachableHome(t *testing.T) {
	_, failure := NewClient(maxBuffered).Run(t.Context(), "127.0.0.1:1", "a-1", newCall())
	assertProblem(t, failure, problem.NoTarget, problem.ExecutedNo)
	assert.Equal(t, failure.Peer, "127.0.0.1:1")
}

func TestCanceledForwardedCall(t *testing.T) {
	canceled, started := make(chan struct{}), make(chan struct{})
	peer := newPeer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(canceled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-started; cancel() }()
	_, failure := NewClient(maxBuffered).Run(ctx, peer, "a-1", newCall())
	assertProblem(t, failure, problem.CallerGone, problem.ExecutedUnknown)
	<-canceled
}

func TestTruncatedLargeForwardedResponse(t *testing.T) {
	target, _ := newTarget(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100000")
		_, _ = io.WriteString(w, strings.Repeat("x", 5*maxBuffered))
		panic(http.ErrAbortHandler)
	})
	m := newManager(Settings{})
	peer := newPeer(t, func(w http.ResponseWriter, r *http.Request) {
		reply, _ := m.Run(r.Context(), service, target, true, newCall())
		WriteReply(w, reply, time.Time{})
	})
	reply, failure := NewClient(maxBuffered).Run(t.Context(), peer, "a-1", newCall())
	assert.Assert(t, failure == nil, "%v", failure)
	_, err := io.Copy(io.Discard, reply.Remainder)
	reply.Close()
	assert.Assert(t, err != nil, "the truncated response was read without an error")
	eventually(t, "permit released", func() bool { return m.ActiveCalls() == 0 })
}

func TestRetainClosesOtherPools(t *testing.T) {
	peer := newPeer(t, func(w http.ResponseWriter, _ *http.Request) {
		WriteProblem(w, sampleLoad, problem.New(problem.NoTarget, problem.ExecutedNo, "", "", ""))
	})
	client := NewClient(maxBuffered)
	_, _ = client.Run(t.Context(), peer, "a-1", newCall())
	client.Retain(map[string]bool{peer: true})
	assert.Equal(t, len(client.pools), 1)
	client.Retain(nil)
	assert.Equal(t, len(client.pools), 0)
}

func TestStripHopHeaders(t *testing.T) {
	header := http.Header{"Connection": {"X-One, keep-alive"}, "X-One": {"1"}, "X-Two": {"2"}, "Te": {"trailers"}}
	for _, name := range strippedHeaders {
		header.Set(name, header.Get(name)+"x")
	}
	header["Connection"] = []string{"X-One, keep-alive"}
	StripHopHeaders(header)
	assert.DeepEqual(t, header, http.Header{"X-Two": {"2"}})
}
