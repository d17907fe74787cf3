package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/resource"
)

func TestLargeResponses(t *testing.T) {
	body := strings.Repeat("0123456789", 10_000)
	complete := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }
	truncated := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body)
		panic(http.ErrAbortHandler)
	}
	for _, nodes := range []int{1, 2} {
		f := newCluster(t, nodes, singleService(resource.Service{}, fiveRetries, newFakeTarget(t, complete)))
		sendRequest(t, "GET", f.edge, "/a/x", "").assertEqual(t, 200, body)
		f = newCluster(t, nodes, singleService(resource.Service{}, fiveRetries, newFakeTarget(t, truncated)))
		assert.Assert(t, sendRequest(t, "GET", f.edge, "/a/x", "").err != nil, "a truncated response was received as complete")
		eventually(t, "the permit to be released", func() bool { return f.homes.ActiveCalls() == 0 })
	}
}

// A caller that does not read its response must not occupy a target's slot after the
// call's deadline.
func TestSlowReaderReleasesSlotAtDeadline(t *testing.T) {
	endless := func(w http.ResponseWriter, _ *http.Request) {
		for chunk := make([]byte, 1<<20); ; {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}
	for _, nodes := range []int{1, 2} {
		f := newCluster(t, nodes, singleService(resource.Service{}, fiveRetries, newFakeTarget(t, endless)))
		connection := sendPartial(t, f.edge, "GET /a/x HTTP/1.1\r\nHost: h\r\nLugspur-Timeout-Ms: 300\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 200)
		eventually(t, "the call to end", func() bool { return f.InFlight() == 0 && f.homes.ActiveCalls() == 0 })
	}
}

// If a caller pipelines calls without reading the responses, the responses fill the
// connection's buffers and the next write blocks. The blocked call must end at its
// deadline.
func TestUnreadSmallResponsesTimeOut(t *testing.T) {
	const calls = 4000
	target := newFakeTarget(t, respondWith(200, strings.Repeat("x", 9000)))
	f := singleNode(t, resource.Service{}, fiveRetries, target)
	connection := sendPartial(t, f.edge, "")
	go func() {
		_, _ = io.WriteString(connection, strings.Repeat("GET /a/x HTTP/1.1\r\nHost: h\r\nLugspur-Timeout-Ms: 500\r\n\r\n", calls))
	}()
	last, since := 0, time.Now()
	eventually(t, "the writes to block", func() bool {
		if count := len(target.calls()); count != last {
			last, since = count, time.Now()
		}
		return last > 0 && time.Since(since) > 300*time.Millisecond
	})
	assert.Assert(t, last < calls, "all responses fitted into the buffers, so no write blocked")
	eventually(t, "the call to end", func() bool { return f.InFlight() == 0 })
}

// The write deadline of one response must not apply to the next response on the same
// connection.
func TestConnectionIsReusableAfterResponseDeadline(t *testing.T) {
	body := strings.Repeat("0123456789", 10_000)
	f := singleNode(t, resource.Service{}, fiveRetries, newFakeTarget(t, respondWith(200, body)))
	connection := sendPartial(t, f.edge, "")
	reader := bufio.NewReader(connection)
	for _, timeout := range []string{"100", "5000"} {
		_, err := io.WriteString(connection, "GET /a/x HTTP/1.1\r\nHost: h\r\nLugspur-Timeout-Ms: "+timeout+"\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		got, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(got), body)
		time.Sleep(150 * time.Millisecond)
	}
}

func TestHeadAndNoContentResponses(t *testing.T) {
	for _, nodes := range []int{1, 2} {
		f := newCluster(t, nodes, singleService(resource.Service{}, fiveRetries, newFakeTarget(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodHead {
				w.Header().Set("Content-Length", "12345")
				return
			}
			w.WriteHeader(http.StatusNoContent)
		})))
		got := sendRequest(t, "HEAD", f.edge, "/a/x", "")
		got.assertEqual(t, 200, "")
		assert.Equal(t, got.header.Get("Content-Length"), "12345")
		sendRequest(t, "GET", f.edge, "/a/x", "").assertEqual(t, 204, "")
	}
}

func TestResponsesHaveRequestID(t *testing.T) {
	target := newFakeTarget(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(callcontext.RequestIDHeader, "forged") })
	f := singleNode(t, resource.Service{}, resource.Policy{}, target)
	got := sendRequest(t, "GET", f.edge, "/a/x", "")
	assert.Equal(t, got.header.Get(callcontext.RequestIDHeader), contextOf(t, target.calls()[0]).RequestID.String())
}

func TestClosingNodeClosesConnections(t *testing.T) {
	f := singleNode(t, resource.Service{}, resource.Policy{}, newFakeTarget(t, respondWith(200, "ok")))
	f.SetClosing()
	response, err := http.Get("http://" + f.edge + "/a/x")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, 200)
	assert.Assert(t, response.Close)
}
