package grant

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/callcontext"
)

// testLedger is a Ledger with one budget for all requests. It spends one retry per
// token.
type testLedger struct {
	mutex  sync.Mutex
	left   int
	tokens map[Token]bool
}

func newTestLedger(left int) *testLedger { return &testLedger{left: left, tokens: map[Token]bool{}} }

func (l *testLedger) Grant(_ callcontext.RequestID, token Token) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.tokens[token] {
		return true
	}
	if l.left == 0 {
		return false
	}
	l.left--
	l.tokens[token] = true
	return true
}

func (l *testLedger) remaining() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.left
}

// serve starts a server for the ledger. wrap may corrupt its responses.
func serve(t *testing.T, ledger Ledger, wrap func(http.Handler) http.Handler) netip.AddrPort {
	t.Helper()
	mux := http.NewServeMux()
	Register(mux, ledger)
	server := httptest.NewServer(wrap(mux))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func unmodified(next http.Handler) http.Handler { return next }

var selfAddress = netip.MustParseAddrPort("127.0.0.1:1")

func TestRequestRetryFromIngress(t *testing.T) {
	ledger, ownLedger := newTestLedger(2), newTestLedger(5)
	ingress := serve(t, ledger, unmodified)
	client := NewClient(selfAddress, ownLedger, http.DefaultClient)
	for _, want := range []bool{true, true, false} {
		granted, err := client.RequestRetry(t.Context(), ingress, callcontext.NewRequestID())
		assert.NilError(t, err)
		assert.Equal(t, granted, want)
	}
	assert.Equal(t, ownLedger.remaining(), 5, "retries were spent from the node's own budget")
}

func TestRequestRetryFromOwnLedger(t *testing.T) {
	ownLedger := newTestLedger(1)
	client := NewClient(selfAddress, ownLedger, &http.Client{Transport: noNetwork{t}})
	for _, want := range []bool{true, false} {
		granted, err := client.RequestRetry(t.Context(), selfAddress, callcontext.NewRequestID())
		assert.NilError(t, err)
		assert.Equal(t, granted, want)
	}
}

type noNetwork struct{ t *testing.T }

func (n noNetwork) RoundTrip(*http.Request) (*http.Response, error) {
	n.t.Error("a message was sent to the node itself")
	return nil, http.ErrServerClosed
}

func TestNoGrantWithoutValidResponse(t *testing.T) {
	corruptResponses := func(corrupt func(http.ResponseWriter, *httptest.ResponseRecorder, *http.Request)) func(http.Handler) http.Handler {
		return func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				recorder := httptest.NewRecorder()
				next.ServeHTTP(recorder, r)
				corrupt(w, recorder, r)
			})
		}
	}
	for name, corrupt := range map[string]func(http.ResponseWriter, *httptest.ResponseRecorder, *http.Request){
		"connection aborted": func(http.ResponseWriter, *httptest.ResponseRecorder, *http.Request) { panic(http.ErrAbortHandler) },
		"no answer":          func(_ http.ResponseWriter, _ *httptest.ResponseRecorder, r *http.Request) { <-r.Context().Done() },
		"status": func(w http.ResponseWriter, r *httptest.ResponseRecorder, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write(r.Body.Bytes())
		},
		"nonsense": func(w http.ResponseWriter, _ *httptest.ResponseRecorder, _ *http.Request) {
			_, _ = w.Write([]byte("yes"))
		},
		"empty": func(http.ResponseWriter, *httptest.ResponseRecorder, *http.Request) {},
		"cut": func(w http.ResponseWriter, r *httptest.ResponseRecorder, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write(r.Body.Bytes())
		},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := newTestLedger(1)
			ingress := serve(t, ledger, corruptResponses(corrupt))
			client := NewClient(selfAddress, newTestLedger(1), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
			granted, err := client.RequestRetry(t.Context(), ingress, callcontext.NewRequestID())
			assert.Assert(t, err != nil && !granted)
			assert.ErrorContains(t, err, ingress.String())
			assert.Equal(t, ledger.remaining(), 0, "the lost grant was not counted as spent")
		})
	}
}

func TestUnreachableIngress(t *testing.T) {
	granted, err := NewClient(selfAddress, newTestLedger(1), http.DefaultClient).
		RequestRetry(t.Context(), netip.MustParseAddrPort("127.0.0.1:9"), callcontext.NewRequestID())
	assert.Assert(t, err != nil && !granted)
}

func TestCanceledContextEndsRequest(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	granted, err := NewClient(selfAddress, newTestLedger(1), http.DefaultClient).RequestRetry(ctx, serve(t, newTestLedger(1), unmodified), callcontext.NewRequestID())
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, !granted)
}

func post(ledger Ledger, body []byte) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	Register(mux, ledger)
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, Path, bytes.NewReader(body)))
	return recorder
}

func TestHandlerRejectsMalformedMessages(t *testing.T) {
	valid, err := cbor.Marshal(grantRequest{Request: callcontext.NewRequestID(), Token: NewToken()})
	assert.NilError(t, err)
	shortToken, err := cbor.Marshal([]any{make([]byte, 16), make([]byte, 3)})
	assert.NilError(t, err)
	for name, body := range map[string][]byte{
		"empty":         nil,
		"cut":           valid[:len(valid)-1],
		"trailing byte": append(bytes.Clone(valid), 0),
		"too large":     append(bytes.Clone(valid), make([]byte, maxMessageBytes)...),
		"text":          []byte("please"),
		"null":          {0xf6},
		"short token":   shortToken,
	} {
		t.Run(name, func(t *testing.T) {
			ledger := newTestLedger(1)
			assert.Equal(t, post(ledger, body).Code, http.StatusBadRequest)
			assert.Equal(t, ledger.remaining(), 1, "a malformed message spent a retry")
		})
	}
}

func TestRepeatedMessageSpendsOneRetry(t *testing.T) {
	message, err := cbor.Marshal(grantRequest{Request: callcontext.NewRequestID(), Token: NewToken()})
	assert.NilError(t, err)
	ledger := newTestLedger(2)
	first, second := post(ledger, message), post(ledger, message)
	assert.DeepEqual(t, first.Body.Bytes(), second.Body.Bytes())
	assert.Equal(t, ledger.remaining(), 1)
}

func FuzzHandler(f *testing.F) {
	valid, err := cbor.Marshal(grantRequest{Request: callcontext.NewRequestID(), Token: NewToken()})
	assert.NilError(f, err)
	f.Add(valid)
	f.Add([]byte{0x82, 0x40, 0x40})
	f.Fuzz(func(t *testing.T, body []byte) {
		recorder := post(newTestLedger(1), body)
		if recorder.Code == http.StatusBadRequest {
			return
		}
		var response grantResponse
		assert.Equal(t, recorder.Code, http.StatusOK)
		assert.NilError(t, cbor.Unmarshal(recorder.Body.Bytes(), &response))
	})
}
