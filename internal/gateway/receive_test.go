package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/shed"
)

func TestEdgeDropsForgedContexts(t *testing.T) {
	target := newFakeTarget(t, respondWith(200, "ok"))
	f := singleNode(t, resource.Service{}, resource.Policy{}, target)
	forged := newTestContext("127.0.0.1:1")
	forged.Deadline = time.Now().Add(time.Hour)
	value, err := forged.Encode()
	assert.NilError(t, err)
	sendRequest(t, "GET", f.edge, "/a/x", "", header(callcontext.BaggageHeader, "own=1,lugspur="+value), header(callcontext.CallerHeader, "grower-2"),
		header(callcontext.RequestIDHeader, forged.RequestID.String())).assertEqual(t, 200, "ok")
	got := contextOf(t, target.calls()[0])
	assert.Assert(t, got.RequestID != forged.RequestID)
	assert.Equal(t, got.Ingress.String(), f.peer)
	assert.Equal(t, got.Rank.Level, criticality.SheddablePlus)
	assert.Equal(t, got.Hops, uint8(0))
	assert.Equal(t, got.Caller, "grower-2")
	assert.Assert(t, time.Until(got.Deadline) <= 5*time.Second)
	assert.Equal(t, target.calls()[0].Get(callcontext.RequestIDHeader), got.RequestID.String())
	assert.Assert(t, strings.HasSuffix(target.calls()[0].Get(callcontext.BaggageHeader), ",own=1"))
}

func TestMeshTrustsContexts(t *testing.T) {
	target := newFakeTarget(t, respondWith(200, "ok"))
	f := singleNode(t, resource.Service{}, resource.Policy{}, target)
	sent := newTestContext("127.0.0.1:1")
	sendRequest(t, "GET", f.mesh, "/a/x", "", withContext(t, sent), header(callcontext.CallerHeader, "other")).assertEqual(t, 200, "ok")
	got := contextOf(t, target.calls()[0])
	assert.Assert(t, got.Deadline.Equal(sent.Deadline))
	got.Deadline = sent.Deadline
	sent.Hops++
	assert.Assert(t, got.Span != sent.Span, "each attempt must have its own span")
	got.Span = sent.Span
	assert.Equal(t, got, sent)
}

func TestMeshRejectsInvalidContexts(t *testing.T) {
	target := newFakeTarget(t, respondWith(200, "ok"))
	f := singleNode(t, resource.Service{}, resource.Policy{}, target)
	tooManyHops, expired := newTestContext("127.0.0.1:1"), newTestContext("127.0.0.1:1")
	tooManyHops.Hops = callcontext.MaxHops
	expired.Deadline = time.Now().Add(-time.Second)
	sendRequest(t, "GET", f.mesh, "/a/x", "", header(callcontext.BaggageHeader, "lugspur=nonsense")).assertProblem(t, 400, problem.BadContext, problem.ExecutedNo)
	sendRequest(t, "GET", f.mesh, "/a/x", "", withContext(t, tooManyHops)).assertProblem(t, 508, problem.TooManyHops, problem.ExecutedNo)
	sendRequest(t, "GET", f.mesh, "/a/x", "", withContext(t, expired)).assertProblem(t, 504, problem.DeadlineExceeded, problem.ExecutedNo)
	assert.Equal(t, len(target.calls()), 0)
}

func TestMeshCallsWithoutContextGetLowestRankAndNoRetry(t *testing.T) {
	target := newFakeTarget(t, abortConnection)
	f := singleNode(t, resource.Service{}, resource.Policy{Rank: `"critical-plus"`, Retry: "3"}, target)
	sendRequest(t, "GET", f.mesh, "/a/x", "").assertProblem(t, 502, problem.TargetFailed, problem.ExecutedUnknown)
	assert.Equal(t, len(target.calls()), 1)
	assert.Equal(t, contextOf(t, target.calls()[0]).Rank, criticality.Lowest)
}

func TestRefusalsBeforeExecution(t *testing.T) {
	target := newFakeTarget(t, respondWith(200, "ok"))
	f := singleNode(t, resource.Service{}, resource.Policy{Admit: `call.caller != "banned"`}, target)
	large := strings.Repeat("x", 1001)
	unsized := func(r *http.Request) { r.ContentLength = -1; r.Body = io.NopCloser(strings.NewReader(large)) }
	for name, c := range map[string]struct {
		path, body string
		option     option
		status     int
		reason     problem.Reason
	}{
		"unknown service":  {"/b/x", "", header("X", "1"), 404, problem.UnknownService},
		"policy":           {"/a/x", "", header(callcontext.CallerHeader, "banned"), 403, problem.NotAdmitted},
		"body":             {"/a/x", large, header("X", "1"), 413, problem.BodyTooLarge},
		"body, no length":  {"/a/x", "", unsized, 413, problem.BodyTooLarge},
		"timeout, no text": {"/a/x", "", header(callcontext.TimeoutHeader, "soon"), 400, problem.BadRequest},
		"timeout 0":        {"/a/x", "", header(callcontext.TimeoutHeader, "0"), 400, problem.BadRequest},
		"timeout too long": {"/a/x", "", header(callcontext.TimeoutHeader, "99999999999"), 400, problem.BadRequest},
		"key too long":     {"/a/x", "", header(callcontext.IdempotencyKeyHeader, strings.Repeat("k", 257)), 400, problem.BadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			document := sendRequest(t, "POST", f.edge, c.path, c.body, c.option).assertProblem(t, c.status, c.reason, problem.ExecutedNo)
			assert.Equal(t, document.RetryAfterSeconds, 0, "a retry can't succeed, so there must be no Retry-After")
		})
	}
	assert.Equal(t, len(target.calls()), 0)
	assert.Equal(t, f.InFlight(), int64(0))
}

func TestNotReadyNodeRefusesCalls(t *testing.T) {
	f := newFixture(t, "n-1", nil)
	document := sendRequest(t, "GET", f.edge, "/a/x", "").assertProblem(t, 503, problem.NotReady, problem.ExecutedNo)
	assert.Assert(t, document.RetryAfterSeconds > 0)
}

func TestConcurrencyLimit(t *testing.T) {
	target := newFakeTarget(t, blockUntilCanceled)
	f := newFixture(t, "n-1", func(s *Settings) { s.MaxConcurrent = 1 }).configure(t, singleService(resource.Service{}, resource.Policy{}, target))
	go func() { _ = f.getWithTimeout(f.edge) }()
	eventually(t, "the call to reach the target", func() bool { return len(target.calls()) == 1 })
	document := sendRequest(t, "GET", f.edge, "/a/x", "").assertProblem(t, 503, problem.Overloaded, problem.ExecutedNo)
	assert.Assert(t, document.RetryAfterSeconds > 0)
}

// getWithTimeout sends a call with a timeout of 300 ms.
func (f *fixture) getWithTimeout(address string) error {
	request, err := http.NewRequest("GET", "http://"+address+"/a/x", nil)
	if err != nil {
		return err
	}
	request.Header.Set(callcontext.TimeoutHeader, "300")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func TestShedCallsGetRetryAfterOfPolicy(t *testing.T) {
	target := newFakeTarget(t, respondWith(200, "ok"))
	spec := resource.Service{Calls: []string{"deep"}}
	policy := resource.Policy{Rank: `call.caller == "vip" ? "critical" : "sheddable"`, Refuse: `load.shed_level == "sheddable" ? 7 : 9`}
	f := newFixture(t, "n-1", nil).configure(t, singleService(spec, policy, target).service("deep", resource.Service{}).target("deep-1", "deep", target.address))
	f.shed.Update(shed.Entry{
		Service: "deep", Target: "deep-1", Origin: "n-2", Weight: 8, Version: 1,
		Threshold: criticality.Rank{Level: criticality.Sheddable}.Key(),
	}, time.Now())
	refused := sendRequest(t, "GET", f.edge, "/a/x", "")
	refused.assertProblem(t, 503, problem.Overloaded, problem.ExecutedNo)
	assert.Equal(t, refused.header.Get("Retry-After"), "7")
	assert.Equal(t, len(target.calls()), 0)
	sendRequest(t, "GET", f.edge, "/a/x", "", header(callcontext.CallerHeader, "vip")).assertEqual(t, 200, "ok")
}

func TestDeadlinePropagation(t *testing.T) {
	target := newFakeTarget(t, respondWith(200, "ok"))
	f := singleNode(t, resource.Service{TimeoutMillis: 4000}, resource.Policy{}, target)
	for requested, limit := range map[string]int{"700": 700, "60000": 10_000, "": 4000} {
		var options []option
		if requested != "" {
			options = append(options, header(callcontext.TimeoutHeader, requested))
		}
		sendRequest(t, "GET", f.edge, "/a/x", "", options...).assertEqual(t, 200, "ok")
		calls := target.calls()
		millis, err := strconv.Atoi(calls[len(calls)-1].Get(callcontext.TimeoutHeader))
		assert.NilError(t, err)
		assert.Assert(t, millis <= limit && millis > limit-500, "%q gave %d", requested, millis)
		left := time.Until(contextOf(t, calls[len(calls)-1]).Deadline)
		assert.Assert(t, left <= time.Duration(limit)*time.Millisecond)
	}
}

// sendPartial writes the text, which may be an incomplete request, to a new connection
// and keeps it open.
func sendPartial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_, err = io.WriteString(connection, text)
	assert.NilError(t, err)
	assert.NilError(t, connection.SetReadDeadline(time.Now().Add(3*time.Second)))
	return connection
}

// A caller that never completes its request body must get a response, and its
// connection must be closed, whatever the reason for the refusal.
func TestSlowBodiesTimeOut(t *testing.T) {
	target := newFakeTarget(t, respondWith(200, "ok"))
	f := singleNode(t, resource.Service{}, resource.Policy{Admit: `call.caller != "banned"`}, target)
	for name, c := range map[string]struct {
		address, path, headers string
		status                 int
	}{
		"admitted":         {f.edge, "/a/x", "Content-Length: 100", 400},
		"chunked":          {f.edge, "/a/x", "Transfer-Encoding: chunked", 400},
		"mesh":             {f.mesh, "/a/x", "Content-Length: 100", 400},
		"unknown service":  {f.edge, "/b/x", "Content-Length: 100", 404},
		"by the policy":    {f.edge, "/a/x", "Lugspur-Caller: banned\r\nContent-Length: 100", 403},
		"too large a body": {f.edge, "/a/x", "Content-Length: 1001", 413},
		"malformed":        {f.mesh, "/a/x", "Baggage: lugspur=x\r\nContent-Length: 100", 400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			connection := sendPartial(t, c.address, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", c.path, c.headers))
			reader := bufio.NewReader(connection)
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err, "no response")
			assert.Equal(t, response.StatusCode, c.status)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			_, err = reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF, "the connection was not closed")
		})
	}
}

// Every path must yield either the target's response or a problem document, never a
// redirect.
func TestUnusualPaths(t *testing.T) {
	target := newFakeTarget(t, respondWith(200, "ok"))
	f := singleNode(t, resource.Service{}, resource.Policy{}, target)
	for path, targetURI := range map[string]string{
		"/a/":          "/",
		"/a/x?q=1%20":  "/x?q=1%20",
		"/a/x%2Fy/":    "/x%2Fy/",
		"/a//x":        "//x",
		"/a/x/../y":    "/x/../y",
		"/a/./x":       "/./x",
		"/a":           "/",
		"/":            "",
		"//a/x":        "",
		"/..":          "",
		"/a/%2e%2e/%":  "",
		"/a/x%20y;z=1": "/x%20y;z=1",
	} {
		t.Run(path, func(t *testing.T) {
			before := len(target.calls())
			connection := sendPartial(t, f.edge, "GET "+path+" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			if response.StatusCode == 200 {
				assert.DeepEqual(t, target.receivedURIs()[before:], []string{targetURI})
				return
			}
			if strings.HasSuffix(path, "%") { // net/http itself responds to invalid URLs
				assert.Equal(t, response.StatusCode, 400)
				return
			}
			_, err = problem.Parse(body)
			assert.NilError(t, err, "%d: %s", response.StatusCode, body)
		})
	}
}
