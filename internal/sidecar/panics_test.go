package sidecar

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/platform"
)

// lineWriter passes on written log lines.
type lineWriter chan string

func (l lineWriter) Write(content []byte) (int, error) {
	for line := range strings.Lines(string(content)) {
		l <- line
	}
	return len(content), nil
}

// TestPanicOfHandlerIsSilent guards against a handler's panic that closes the connection without an
// answer or a log line, or answers with headers of another response.
func TestPanicOfHandlerIsSilent(t *testing.T) {
	headers := platform.Headers()
	cases := []struct {
		name    string
		handle  http.HandlerFunc
		logged  bool
		answers bool
	}{
		{"before the response", func(http.ResponseWriter, *http.Request) { panic("trouble") }, true, true},
		{"after an interim response", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusProcessing)
			panic("trouble")
		}, true, true},
		{"with an invalid status", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headers.Signature, "signature")
			w.WriteHeader(7)
		}, true, true},
		{"within the response", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("part"))
			panic("trouble")
		}, true, false},
		{"on purpose", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			lines := make(lineWriter, 8)
			n, err := New(Settings{Name: "n", Zone: "z", Service: "s", Target: "127.0.0.1:1", Store: "127.0.0.1:1"}, lines)
			assert.NilError(t, err)
			go n.log.Run(t.Context())
			server := httptest.NewServer(n.recoverPanics("address", c.handle))
			defer server.Close()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader("body"))
			assert.NilError(t, err)
			request.Header.Set(headers.RequestID, "a")
			response, err := http.DefaultClient.Do(request)
			var body []byte
			if err == nil {
				body, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			assert.Equal(t, err == nil, c.answers, "%v", err)
			if c.answers {
				assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
				assert.Equal(t, response.Header.Get(headers.Signature), "")
				assert.Equal(t, response.Header.Get(headers.RequestID), "a")
				document, err := problem.Parse(body)
				assert.NilError(t, err)
				assert.Equal(t, document.Executed, problem.ExecutedUnknown)
			}
			if !c.logged {
				return
			}
			var line map[string]any
			select {
			case text := <-lines:
				assert.NilError(t, json.Unmarshal([]byte(text), &line))
			case <-time.After(5 * time.Second):
				t.Fatal("no log line")
			}
			assert.Equal(t, line["msg"], "handler-panicked")
			assert.Equal(t, line["request"], "a")
			assert.Assert(t, strings.Contains(line["reason"].(string), "panics_test.go"), "%v", line["reason"])
		})
	}
}

// TestServerErrorIsLoggedAsEvent guards against errors of an HTTP server that are not in the log.
func TestServerErrorIsLoggedAsEvent(t *testing.T) {
	lines := make(lineWriter, 8)
	n, err := New(Settings{Name: "n", Zone: "z", Service: "s", Target: "127.0.0.1:1", Store: "127.0.0.1:1"}, lines)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go n.log.Run(ctx)
	n.serverLog("address").Print("http: Accept error: too many open files")
	assert.Assert(t, strings.Contains(<-lines, `"msg":"server-error"`))
}
