package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/resource"
)

func TestCallerDisconnectCancelsTargetRequest(t *testing.T) {
	for _, nodes := range []int{1, 2} {
		started, canceled := make(chan struct{}), make(chan struct{})
		target := newFakeTarget(t, func(_ http.ResponseWriter, r *http.Request) { close(started); <-r.Context().Done(); close(canceled) })
		f := newCluster(t, nodes, singleService(resource.Service{}, fiveRetries, target))
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			request, _ := http.NewRequestWithContext(ctx, "GET", "http://"+f.edge+"/a/x", nil)
			request.Header.Set(callcontext.TimeoutHeader, "10000") // longer than the test's own timeout
			_, _ = http.DefaultTransport.RoundTrip(request)        // canceled below
		}()
		<-started
		cancel()
		select {
		case <-canceled:
		case <-time.After(5 * time.Second):
			t.Fatal("the target's request was not canceled after its caller left")
		}
		eventually(t, "the call to end", func() bool { return f.InFlight() == 0 })
	}
}

// newCluster returns a node of a cluster with one or two nodes. In a cluster with two
// nodes it is the one that is not the home of target a-1.
func newCluster(t *testing.T, nodes int, objects configuration) *fixture {
	first := newFixture(t, "n-1", nil)
	if nodes == 1 {
		return first.configure(t, objects)
	}
	second := newFixture(t, "n-2", nil)
	first.configure(t, objects, second)
	second.configure(t, objects, first)
	if first.router.Placement().Owns("n-1", "a-1") {
		return second
	}
	return first
}

func TestForwardedCalls(t *testing.T) {
	forwardedProblem := string(problem.New(problem.Overloaded, problem.ExecutedNo, "home", "b-1", "").Document())
	respondWithProblem := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", problem.ContentType)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, forwardedProblem)
	}
	spec := resource.Service{RefusalHeader: "Target-Shed"}
	for name, c := range map[string]struct {
		handler  http.HandlerFunc
		status   int
		executed problem.Executed
	}{
		"answer":             {respondWith(418, "tea"), 418, ""},
		"refused":            {shedCall, 503, problem.ExecutedNo},
		"reset":              {abortConnection, 502, problem.ExecutedUnknown},
		"truncated response": {truncateResponse, 502, problem.ExecutedUnknown},
		"forwarded problem":  {respondWithProblem, 503, problem.ExecutedUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			target := newFakeTarget(t, c.handler)
			f := newCluster(t, 2, singleService(spec, resource.Policy{Retry: "0"}, target))
			got := sendRequest(t, "POST", f.edge, "/a/x?q=%2F", "body", header("X-Own", "1"))
			assert.Equal(t, got.status, c.status, got.body)
			assert.DeepEqual(t, target.receivedURIs(), []string{"/x?q=%2F"})
			assert.Equal(t, target.calls()[0].Get("X-Own"), "1")
			if c.executed == "" {
				assert.Equal(t, got.body, "tea")
				return
			}
			document, err := problem.Parse([]byte(got.body))
			assert.NilError(t, err, got.body)
			assert.Equal(t, document.Executed, c.executed)
		})
	}
}

func TestHomeWithoutTargetRefusesCall(t *testing.T) {
	target := newFakeTarget(t, respondWith(200, "ok"))
	objects := singleService(resource.Service{}, resource.Policy{Retry: "0"}, target)
	first, second := newFixture(t, "n-1", nil), newFixture(t, "n-2", nil)
	first.configure(t, objects, second)
	second.configure(t, objects, first)
	if first.router.Placement().Owns("n-1", "a-1") {
		first, second = second, first
	}
	second.configure(t, configuration{}, first)
	sendRequest(t, "POST", first.edge, "/a/x", "body").assertProblem(t, 503, problem.NoTarget, problem.ExecutedNo)
	assert.Equal(t, len(target.calls()), 0)
}

func TestFallbackReplacesUnreachableHome(t *testing.T) {
	target := newFakeTarget(t, respondWith(200, "ok"))
	unreachableNode := newFixture(t, "lost", nil)
	unreachableNode.peer = unreachableTarget(t).address
	f := newFixture(t, "n-1", nil)
	objects := singleService(resource.Service{}, fiveRetries, target)
	for i := range 10 { // enough targets that the unreachable node is the home of some
		objects.target("b-"+string(rune('0'+i)), "a", target.address)
	}
	f.configure(t, objects, unreachableNode)
	now := time.Now()
	f.router.now = func() time.Time { return now } // unreachablePeriod never ends
	for range 20 {
		sendRequest(t, "POST", f.edge, "/a/x", "body").assertEqual(t, 200, "ok")
	}
	assert.Equal(t, f.observer.retried.Load(), int64(1), "a home was tried again after it had been unreachable")
}
