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

func TestCallerThatLeavesStopsTheTarget(t *testing.T) {
	for _, nodes := range []int{1, 2} {
		began, left := make(chan struct{}), make(chan struct{})
		target := newBackEnd(t, func(_ http.ResponseWriter, r *http.Request) { close(began); <-r.Context().Done(); close(left) })
		f := cluster(t, nodes, oneService(resource.Service{}, generous, target))
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			request, _ := http.NewRequestWithContext(ctx, "GET", "http://"+f.edge+"/a/x", nil)
			request.Header.Set(callcontext.TimeoutHeader, "10000") // longer than the test waits
			_, _ = http.DefaultTransport.RoundTrip(request)        // it is cancelled
		}()
		<-began
		cancel()
		select {
		case <-left:
		case <-time.After(5 * time.Second):
			t.Fatal("the target goes on although nobody waits")
		}
		eventually(t, "call out of the node", func() bool { return f.InFlight() == 0 })
	}
}

func cluster(t *testing.T, nodes int, objects configuration) *fixture {
	first := newFixture(t, "n-1", nil)
	if nodes == 1 {
		return first.knows(t, objects)
	}
	second := newFixture(t, "n-2", nil)
	first.knows(t, objects, second)
	second.knows(t, objects, first)
	if first.router.Placement().Owns("n-1", "a-1") {
		return second
	}
	return first
}

func TestForwardedCalls(t *testing.T) {
	document := string(problem.New(problem.Overloaded, problem.ExecutedNo, "home", "b-1", "").Document())
	passedOn := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", problem.ContentType)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, document)
	}
	spec := resource.Service{RefusalHeader: "Target-Shed"}
	for name, c := range map[string]struct {
		handler  http.HandlerFunc
		status   int
		executed problem.Executed
	}{
		"answer":            {saying(418, "tea"), 418, ""},
		"refused":           {shedding, 503, problem.ExecutedNo},
		"reset":             {reset, 502, problem.ExecutedUnknown},
		"cut answer":        {cutShort, 502, problem.ExecutedUnknown},
		"passed on problem": {passedOn, 503, problem.ExecutedUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			target := newBackEnd(t, c.handler)
			f := cluster(t, 2, oneService(spec, resource.Policy{Retry: "0"}, target))
			got := do(t, "POST", f.edge, "/a/x?q=%2F", "body", header("X-Own", "1"))
			assert.Equal(t, got.status, c.status, got.body)
			assert.DeepEqual(t, target.uris(), []string{"/x?q=%2F"})
			assert.Equal(t, target.calls()[0].Get("X-Own"), "1")
			if c.executed == "" {
				assert.Equal(t, got.body, "tea")
				return
			}
			told, err := problem.Parse([]byte(got.body))
			assert.NilError(t, err, got.body)
			assert.Equal(t, told.Executed, c.executed)
		})
	}
}

func TestHomeThatDoesNotKnowTheTarget(t *testing.T) {
	target := newBackEnd(t, saying(200, "ok"))
	objects := oneService(resource.Service{}, resource.Policy{Retry: "0"}, target)
	first, second := newFixture(t, "n-1", nil), newFixture(t, "n-2", nil)
	first.knows(t, objects, second)
	second.knows(t, objects, first)
	if first.router.Placement().Owns("n-1", "a-1") {
		first, second = second, first
	}
	second.knows(t, configuration{}, first)
	do(t, "POST", first.edge, "/a/x", "body").refusedWith(t, 503, problem.NoTarget, problem.ExecutedNo)
	assert.Equal(t, len(target.calls()), 0)
}

func TestNextInLineTakesOverFromALostHome(t *testing.T) {
	target := newBackEnd(t, saying(200, "ok"))
	lost := newFixture(t, "lost", nil)
	lost.peer = closedPort(t).address
	f := newFixture(t, "n-1", nil)
	objects := oneService(resource.Service{}, generous, target)
	for i := range 10 { // some target has its home at the lost node
		objects.target("b-"+string(rune('0'+i)), "a", target.address)
	}
	f.knows(t, objects, lost)
	now := time.Now()
	f.router.now = func() time.Time { return now } // the suspicion stays
	for range 20 {
		do(t, "POST", f.edge, "/a/x", "body").is(t, 200, "ok")
	}
	assert.Equal(t, f.observed.retried.Load(), int64(1), "a home that can't be reached is asked again and again")
}
