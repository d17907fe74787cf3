package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// fakeTarget is a target that records the headers and request URIs of the calls that
// it receives.
type fakeTarget struct {
	address     string
	mutex       sync.Mutex
	headers     []http.Header
	requestURIs []string
}

func newFakeTarget(t *testing.T, handler http.HandlerFunc) *fakeTarget {
	t.Helper()
	target := &fakeTarget{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		target.mutex.Lock()
		target.headers = append(target.headers, r.Header.Clone())
		target.requestURIs = append(target.requestURIs, r.RequestURI)
		target.mutex.Unlock()
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	target.address = strings.TrimPrefix(server.URL, "http://")
	return target
}

func (f *fakeTarget) calls() []http.Header {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.headers)
}

func (f *fakeTarget) receivedURIs() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.requestURIs)
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status); _, _ = io.WriteString(w, body) }
}

// handlerSequence returns a handler that uses the handlers in order, one per call, and
// the last one for all further calls.
func handlerSequence(handlers ...http.HandlerFunc) http.HandlerFunc {
	var count atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		handlers[min(int(count.Add(1)), len(handlers))-1](w, r)
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncateResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "part")
	panic(http.ErrAbortHandler)
}

func shedCall(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Target-Shed", "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func blockUntilCanceled(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
