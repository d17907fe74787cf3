package home

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/transport"
)

const maxBuffered = 1000

func newManager(settings Settings) *Manager {
	settings.MaxBuffered = maxBuffered
	return NewManager(settings, time.Now)
}

// newTarget serves a target and counts the calls that it receives.
func newTarget(t *testing.T, slots int, handler http.HandlerFunc) (*catalog.Target, *atomic.Int64) {
	t.Helper()
	received := &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	return &catalog.Target{Name: "a-1", Target: resource.Target{
		Service: "a", Address: strings.TrimPrefix(server.URL, "http://"), Slots: slots, Connections: slots,
	}}, received
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status); _, _ = io.WriteString(w, body) }
}

func newCall() *Call {
	return &Call{
		Call: transport.Call{Method: http.MethodGet, RequestURI: "/x", Header: http.Header{}},
		Context: callcontext.Context{
			RequestID: callcontext.NewRequestID(),
			Deadline:  time.Now().Add(10 * time.Second),
			Rank:      criticality.Rank{Level: criticality.Critical},
		},
	}
}

var service = &catalog.Service{Name: "a"}

// eventually polls until the condition holds.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", description)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

func assertProblem(t *testing.T, failure *problem.Problem, reason problem.Reason, executed problem.Executed) {
	t.Helper()
	assert.Assert(t, failure != nil, "no problem")
	assert.Equal(t, failure.Reason, reason, "%v", failure)
	assert.Equal(t, failure.Executed, executed, "%v", failure)
}

func TestTargetResponse(t *testing.T) {
	target, _ := newTarget(t, 4, func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.Header.Get(callcontext.TimeoutHeader) != "")
		w.Header().Set("X-Own", "1")
		for _, name := range []string{problem.ExecutedHeader, LoadHeader, ResultHeader, "Keep-Alive"} {
			w.Header().Set(name, "forged")
		}
		_, _ = io.WriteString(w, "hello")
	})
	m := newManager(Settings{})
	reply, failure := m.Run(t.Context(), service, target, true, newCall())
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, string(reply.Body), "hello")
	assert.Equal(t, reply.Header.Get("X-Own"), "1")
	for _, name := range []string{problem.ExecutedHeader, LoadHeader, ResultHeader, "Keep-Alive"} {
		assert.Equal(t, reply.Header.Get(name), "", name)
	}
	assert.Equal(t, m.ActiveCalls(), 0)
	assert.Assert(t, reply.Load.Limit > 0 && reply.Load.Version > 0)
}

func TestDrainingTargetReceivesNoCalls(t *testing.T) {
	target, count := newTarget(t, 4, respondWith(200, ""))
	target.Draining = true
	_, failure := newManager(Settings{}).Run(t.Context(), service, target, true, newCall())
	assertProblem(t, failure, problem.Draining, problem.ExecutedNo)
	assert.Equal(t, count.Load(), int64(0))
}

func TestTargetRefusal(t *testing.T) {
	refusing := &catalog.Service{Name: "a", Spec: resource.Service{RefusalHeader: "Target-Shed"}}
	for name, c := range map[string]struct {
		service    *catalog.Service
		status     int
		header     string
		retryAfter string
		seconds    int
	}{
		"503":                            {refusing, 503, "Target-Shed", "7", 7},
		"429":                            {refusing, 429, "Target-Shed", "", 1},
		"invalid Retry-After":            {refusing, 503, "Target-Shed", "soon", 1},
		"without header":                 {refusing, 503, "X-Other", "7", 0},
		"500 may have run":               {refusing, 500, "Target-Shed", "7", 0},
		"success":                        {refusing, 200, "Target-Shed", "", 0},
		"service without refusal header": {service, 503, "Target-Shed", "7", 0},
	} {
		t.Run(name, func(t *testing.T) {
			target, _ := newTarget(t, 4, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(c.header, "true")
				w.Header().Set("Retry-After", c.retryAfter)
				w.WriteHeader(c.status)
			})
			reply, failure := newManager(Settings{}).Run(t.Context(), c.service, target, true, newCall())
			if c.seconds == 0 {
				assert.Assert(t, failure == nil, "%v", failure)
				assert.Equal(t, reply.Status, c.status)
				return
			}
			assertProblem(t, failure, problem.Overloaded, problem.ExecutedNo)
			assert.Equal(t, failure.RetryAfterSeconds, c.seconds)
		})
	}
}

// A target that passes on a problem document from a downstream service has run
// the call itself, so a document that says "executed: no" would be wrong.
func TestForwardedProblemMarkedUnknown(t *testing.T) {
	document := string(problem.New(problem.Overloaded, problem.ExecutedNo, "home", "b-1", "").Document())
	large := string(problem.New(problem.Overloaded, problem.ExecutedNo, "home", "b-1", strings.Repeat("x", 2*maxBuffered)).Document())
	for name, c := range map[string]struct{ contentType, body string }{
		"exact type":             {problem.ContentType, document},
		"with parameter":         {problem.ContentType + "; charset=utf-8", document},
		"other letter case":      {"Application/Problem+JSON", document},
		"additional white space": {problem.ContentType, " " + document + "\n"},
		"large":                  {problem.ContentType, large},
	} {
		t.Run(name, func(t *testing.T) {
			target, _ := newTarget(t, 4, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", c.contentType)
				w.Header().Set(problem.ExecutedHeader, "no")
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, c.body)
			})
			reply, failure := newManager(Settings{}).Run(t.Context(), service, target, true, newCall())
			assert.Assert(t, failure == nil, "%v", failure)
			recorder := httptest.NewRecorder()
			reply.WriteTo(recorder, time.Time{})
			reply.Close()
			var parsed problem.Problem
			assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &parsed))
			assert.Equal(t, parsed.Executed, problem.ExecutedUnknown)
			assert.Equal(t, recorder.Header().Get(problem.ExecutedHeader), "")
			assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
		})
	}
}

func TestTargetFailures(t *testing.T) {
	truncate := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for name, c := range map[string]struct {
		handler  http.HandlerFunc
		reason   problem.Reason
		executed problem.Executed
	}{
		"cut":      {truncate, problem.IncompleteAnswer, problem.ExecutedUnknown},
		"reset":    {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, problem.TargetFailed, problem.ExecutedUnknown},
		"too late": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, problem.DeadlineExceeded, problem.ExecutedUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			target, _ := newTarget(t, 4, c.handler)
			m := newManager(Settings{})
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, failure := m.Run(ctx, service, target, true, newCall())
			assertProblem(t, failure, c.reason, c.executed)
			assert.Equal(t, m.ActiveCalls(), 0, "the permit was not released")
		})
	}
	t.Run("refused connection", func(t *testing.T) {
		target := &catalog.Target{Name: "a-1", Target: resource.Target{Address: "127.0.0.1:1", Slots: 1, Connections: 1}}
		_, failure := newManager(Settings{}).Run(t.Context(), service, target, true, newCall())
		assertProblem(t, failure, problem.TargetFailed, problem.ExecutedNo)
	})
}
