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

type backEnd struct {
	address string
	mutex   sync.Mutex
	headers []http.Header
	paths   []string
}

func newBackEnd(t *testing.T, handler http.HandlerFunc) *backEnd {
	t.Helper()
	b := &backEnd{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mutex.Lock()
		b.headers = append(b.headers, r.Header.Clone())
		b.paths = append(b.paths, r.RequestURI)
		b.mutex.Unlock()
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	b.address = strings.TrimPrefix(server.URL, "http://")
	return b
}

func (b *backEnd) calls() []http.Header {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.Clone(b.headers)
}

func (b *backEnd) uris() []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.Clone(b.paths)
}

func saying(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status); _, _ = io.WriteString(w, body) }
}

func inTurn(handlers ...http.HandlerFunc) http.HandlerFunc {
	var count atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		handlers[min(int(count.Add(1)), len(handlers))-1](w, r)
	}
}

func reset(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func cutShort(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "part")
	panic(http.ErrAbortHandler)
}

func shedding(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Target-Shed", "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func untilGone(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
