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
	target := newBackEnd(t, saying(200, "ok"))
	f := alone(t, resource.Service{}, resource.Policy{}, target)
	forged := someContext("127.0.0.1:1")
	forged.Deadline = time.Now().Add(time.Hour)
	value, err := forged.Encode()
	assert.NilError(t, err)
	do(t, "GET", f.edge, "/a/x", "", header(callcontext.BaggageHeader, "own=1,lugspur="+value), header(callcontext.CallerHeader, "grower-2"),
		header(callcontext.RequestIDHeader, forged.RequestID.String())).is(t, 200, "ok")
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

func TestMeshBelievesContexts(t *testing.T) {
	target := newBackEnd(t, saying(200, "ok"))
	f := alone(t, resource.Service{}, resource.Policy{}, target)
	sent := someContext("127.0.0.1:1")
	do(t, "GET", f.mesh, "/a/x", "", withContext(t, sent), header(callcontext.CallerHeader, "other")).is(t, 200, "ok")
	got := contextOf(t, target.calls()[0])
	assert.Assert(t, got.Deadline.Equal(sent.Deadline))
	got.Deadline = sent.Deadline
	sent.Hops++
	assert.Assert(t, got.Span != sent.Span, "every sending has a span of its own")
	got.Span = sent.Span
	assert.Equal(t, got, sent)
}

func TestContextsOfTheMesh(t *testing.T) {
	target := newBackEnd(t, saying(200, "ok"))
	f := alone(t, resource.Service{}, resource.Policy{}, target)
	lastHop, late := someContext("127.0.0.1:1"), someContext("127.0.0.1:1")
	lastHop.Hops = callcontext.MaxHops
	late.Deadline = time.Now().Add(-time.Second)
	do(t, "GET", f.mesh, "/a/x", "", header(callcontext.BaggageHeader, "lugspur=nonsense")).refusedWith(t, 400, problem.BadContext, problem.ExecutedNo)
	do(t, "GET", f.mesh, "/a/x", "", withContext(t, lastHop)).refusedWith(t, 508, problem.TooManyHops, problem.ExecutedNo)
	do(t, "GET", f.mesh, "/a/x", "", withContext(t, late)).refusedWith(t, 504, problem.DeadlineExceeded, problem.ExecutedNo)
	assert.Equal(t, len(target.calls()), 0)
}

func TestOrphansGetTheLowestRankAndNoRetry(t *testing.T) {
	target := newBackEnd(t, reset)
	f := alone(t, resource.Service{}, resource.Policy{Rank: `"critical-plus"`, Retry: "3"}, target)
	do(t, "GET", f.mesh, "/a/x", "").refusedWith(t, 502, problem.TargetFailed, problem.ExecutedUnknown)
	assert.Equal(t, len(target.calls()), 1)
	assert.Equal(t, contextOf(t, target.calls()[0]).Rank, criticality.Lowest)
}

func TestRefusalsBeforeAnythingRuns(t *testing.T) {
	target := newBackEnd(t, saying(200, "ok"))
	f := alone(t, resource.Service{}, resource.Policy{Admit: `call.caller != "banned"`}, target)
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
			told := do(t, "POST", f.edge, c.path, c.body, c.option).refusedWith(t, c.status, c.reason, problem.ExecutedNo)
			assert.Equal(t, told.RetryAfterSeconds, 0, "coming back is of no use")
		})
	}
	assert.Equal(t, len(target.calls()), 0)
	assert.Equal(t, f.InFlight(), int64(0))
}

func TestNodeThatIsNotReady(t *testing.T) {
	f := newFixture(t, "n-1", nil)
	told := do(t, "GET", f.edge, "/a/x", "").refusedWith(t, 503, problem.NotReady, problem.ExecutedNo)
	assert.Assert(t, told.RetryAfterSeconds > 0)
}

func TestTooManyCallsInTheNode(t *testing.T) {
	target := newBackEnd(t, untilGone)
	f := newFixture(t, "n-1", func(s *Settings) { s.MaxConcurrent = 1 }).knows(t, oneService(resource.Service{}, resource.Policy{}, target))
	go func() { _ = f.call(f.edge) }()
	eventually(t, "call at the target", func() bool { return len(target.calls()) == 1 })
	told := do(t, "GET", f.edge, "/a/x", "").refusedWith(t, 503, problem.Overloaded, problem.ExecutedNo)
	assert.Assert(t, told.RetryAfterSeconds > 0)
}

// call makes a call that the target answers when its time is up.
func (f *fixture) call(address string) error {
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

func TestShedLevelRefusesWithThePolicysRetryAfter(t *testing.T) {
	target := newBackEnd(t, saying(200, "ok"))
	spec := resource.Service{Calls: []string{"deep"}}
	policy := resource.Policy{Rank: `call.caller == "vip" ? "critical" : "sheddable"`, Refuse: `load.shed_level == "sheddable" ? 7 : 9`}
	f := newFixture(t, "n-1", nil).knows(t, oneService(spec, policy, target).service("deep", resource.Service{}).target("deep-1", "deep", target.address))
	f.shed.Update(shed.Entry{
		Service: "deep", Target: "deep-1", Origin: "n-2", Weight: 8, Version: 1,
		Threshold: criticality.Rank{Level: criticality.Sheddable}.Key(),
	}, time.Now())
	refused := do(t, "GET", f.edge, "/a/x", "")
	refused.refusedWith(t, 503, problem.Overloaded, problem.ExecutedNo)
	assert.Equal(t, refused.header.Get("Retry-After"), "7")
	assert.Equal(t, len(target.calls()), 0)
	do(t, "GET", f.edge, "/a/x", "", header(callcontext.CallerHeader, "vip")).is(t, 200, "ok")
}

func TestDeadlinePassesDown(t *testing.T) {
	target := newBackEnd(t, saying(200, "ok"))
	f := alone(t, resource.Service{TimeoutMillis: 4000}, resource.Policy{}, target)
	for asked, most := range map[string]int{"700": 700, "60000": 10_000, "": 4000} {
		var options []option
		if asked != "" {
			options = append(options, header(callcontext.TimeoutHeader, asked))
		}
		do(t, "GET", f.edge, "/a/x", "", options...).is(t, 200, "ok")
		calls := target.calls()
		millis, err := strconv.Atoi(calls[len(calls)-1].Get(callcontext.TimeoutHeader))
		assert.NilError(t, err)
		assert.Assert(t, millis <= most && millis > most-500, "%q gave %d", asked, millis)
		left := time.Until(contextOf(t, calls[len(calls)-1]).Deadline)
		assert.Assert(t, left <= time.Duration(most)*time.Millisecond)
	}
}

// sendSlowly writes the text and keeps the connection open.
func sendSlowly(t *testing.T, address, text string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_, err = io.WriteString(connection, text)
	assert.NilError(t, err)
	assert.NilError(t, connection.SetReadDeadline(time.Now().Add(3*time.Second)))
	return connection
}

// A sender that never ends its body must get its answer and be cut off,
// whatever the call is refused for.
func TestSlowBodiesAreCutOff(t *testing.T) {
	target := newBackEnd(t, saying(200, "ok"))
	f := alone(t, resource.Service{}, resource.Policy{Admit: `call.caller != "banned"`}, target)
	for name, c := range map[string]struct {
		address, path, more string
		status              int
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
			connection := sendSlowly(t, c.address, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", c.path, c.more))
			reader := bufio.NewReader(connection)
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err, "no answer")
			assert.Equal(t, response.StatusCode, c.status)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			_, err = reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF, "the connection was not closed")
		})
	}
}

// What the path looks like, the caller gets the target's answer or a problem.
func TestEveryPathIsAnsweredOrRefused(t *testing.T) {
	target := newBackEnd(t, saying(200, "ok"))
	f := alone(t, resource.Service{}, resource.Policy{}, target)
	for path, seen := range map[string]string{
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
			connection := sendSlowly(t, f.edge, "GET "+path+" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			if response.StatusCode == 200 {
				assert.DeepEqual(t, target.uris()[before:], []string{seen})
				return
			}
			if strings.HasSuffix(path, "%") { // net/http itself answers what is no URL
				assert.Equal(t, response.StatusCode, 400)
				return
			}
			_, err = problem.Parse(body)
			assert.NilError(t, err, "%d: %s", response.StatusCode, body)
		})
	}
}
