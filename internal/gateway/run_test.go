package gateway

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/resource"
)

var generous = resource.Policy{Retry: "5"}

// closedPort is the address of a target that is not there.
func closedPort(t *testing.T) *backEnd {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return &backEnd{address: listener.Addr().String()}
}

func TestRetries(t *testing.T) {
	spec := resource.Service{RefusalHeader: "Target-Shed"}
	key := header(callcontext.IdempotencyKeyHeader, "k")
	none := header("X", "1")
	for name, c := range map[string]struct {
		method  string
		option  option
		first   http.HandlerFunc
		retried bool
		status  int
	}{
		"GET, reset":             {"GET", none, reset, true, 200},
		"GET, cut answer":        {"GET", none, cutShort, true, 200},
		"GET, 503":               {"GET", none, saying(503, ""), true, 200},
		"GET, 500":               {"GET", none, saying(500, "error"), false, 500},
		"GET, keyed, reset":      {"GET", key, reset, false, 502},
		"POST, reset":            {"POST", none, reset, false, 502},
		"POST, cut answer":       {"POST", none, cutShort, false, 502},
		"POST, 503":              {"POST", none, saying(503, ""), false, 503},
		"POST, refused":          {"POST", none, shedding, true, 200},
		"POST, keyed, reset":     {"POST", key, reset, false, 502},
		"POST, keyed, refused":   {"POST", key, shedding, true, 200},
		"DELETE, cut":            {"DELETE", none, cutShort, false, 502},
		"GET, wait is asked for": {"GET", none, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Retry-After", "9"); w.WriteHeader(503) }, false, 503},
	} {
		t.Run(name, func(t *testing.T) {
			handler := inTurn(c.first, saying(200, "ok"))
			one, two := newBackEnd(t, handler), newBackEnd(t, handler)
			f := alone(t, spec, generous, one, two)
			got := do(t, c.method, f.edge, "/a/x", "body", c.option)
			assert.Equal(t, got.status, c.status, got.body)
			if !c.retried {
				assert.Equal(t, len(one.calls())+len(two.calls()), 1)
				assert.Equal(t, f.observed.retried.Load(), int64(0))
				return
			}
			assert.Equal(t, len(one.calls()), 1, "the other target was not chosen")
			assert.Equal(t, len(two.calls()), 1, "the other target was not chosen")
			assert.Equal(t, contextOf(t, one.calls()[0]).RequestID, contextOf(t, two.calls()[0]).RequestID)
		})
	}
}

func TestUnreachableTargetsAreLeftForOthers(t *testing.T) {
	target := newBackEnd(t, saying(200, "ok"))
	f := alone(t, resource.Service{}, generous, closedPort(t), target)
	for range 20 {
		do(t, "POST", f.edge, "/a/x", "body").is(t, 200, "ok")
	}
	assert.Equal(t, len(target.calls()), 20)
	assert.Assert(t, f.observed.retried.Load() > 0, "the unreachable target was never chosen")
}

func TestPolicyBoundsRetries(t *testing.T) {
	for retries, want := range map[string]int{"0": 1, "1": 2, `call.repeatable ? 2 : 0`: 3, `outcome.executed == "no" ? 5 : 0`: 1} {
		target := newBackEnd(t, reset)
		f := alone(t, resource.Service{}, resource.Policy{Retry: retries}, target)
		do(t, "GET", f.edge, "/a/x", "").refusedWith(t, 502, problem.TargetFailed, problem.ExecutedUnknown)
		assert.Equal(t, len(target.calls()), want, retries)
	}
}

type noRetries struct{}

func (noRetries) Success()    {}
func (noRetries) Allow() bool { return false }

func TestNodesShareOfRetriesIsSpent(t *testing.T) {
	target := newBackEnd(t, reset)
	f := alone(t, resource.Service{}, generous, target)
	f.ratio = noRetries{}
	do(t, "GET", f.edge, "/a/x", "").refusedWith(t, 502, problem.TargetFailed, problem.ExecutedUnknown)
	assert.Equal(t, len(target.calls()), 1)
	f = alone(t, resource.Service{}, generous, closedPort(t))
	f.ratio = noRetries{}
	do(t, "GET", f.edge, "/a/x", "").refusedWith(t, 502, problem.TargetFailed, problem.ExecutedNo)
	assert.Assert(t, f.observed.retried.Load() > 0, "retries that no target saw count as load")
}

// All retries of a request count together, at whatever hop of its chain.
func TestRetriesOfAChainAreBounded(t *testing.T) {
	for _, bound := range []int{0, 1, 2, 4} {
		leaf := newBackEnd(t, reset)
		ingress, other := newFixture(t, "n-1", nil), newFixture(t, "n-2", nil)
		middle := newBackEnd(t, func(w http.ResponseWriter, r *http.Request) {
			request, _ := http.NewRequestWithContext(r.Context(), "GET", "http://"+other.mesh+"/leaf/x", nil)
			request.Header[callcontext.BaggageHeader] = r.Header[callcontext.BaggageHeader]
			response, err := http.DefaultTransport.RoundTrip(request)
			if err == nil {
				_ = response.Body.Close()
			}
			w.WriteHeader(http.StatusBadGateway)
		})
		objects := oneService(resource.Service{MaxRetries: &bound}, generous, middle).
			service("leaf", resource.Service{}).policy("leaf", generous).target("leaf-1", "leaf", leaf.address)
		ingress.knows(t, objects)
		other.knows(t, objects)
		assert.Equal(t, do(t, "GET", ingress.edge, "/a/x", "").status, 502)
		retries := ingress.observed.retried.Load() + other.observed.retried.Load()
		assert.Equal(t, retries, int64(bound))
		assert.Equal(t, len(leaf.calls()), 1+bound)
	}
}

func TestFinalProblemTellsOfEarlierAttempts(t *testing.T) {
	spec := resource.Service{RefusalHeader: "Target-Shed"}
	for name, c := range map[string]struct {
		handlers []http.HandlerFunc
		executed problem.Executed
	}{
		"reset, then refused":  {[]http.HandlerFunc{reset, shedding}, problem.ExecutedUnknown},
		"503, then refused":    {[]http.HandlerFunc{saying(503, ""), shedding}, problem.ExecutedUnknown},
		"refused all the time": {[]http.HandlerFunc{shedding}, problem.ExecutedNo},
	} {
		t.Run(name, func(t *testing.T) {
			f := alone(t, spec, resource.Policy{Retry: "2", Refuse: "11"}, newBackEnd(t, inTurn(c.handlers...)))
			got := do(t, "GET", f.edge, "/a/x", "")
			got.refusedWith(t, 503, problem.Overloaded, c.executed)
			assert.Equal(t, got.header.Get("Retry-After"), "11")
		})
	}
}

func TestNoTarget(t *testing.T) {
	f := alone(t, resource.Service{}, resource.Policy{})
	told := do(t, "GET", f.edge, "/a/x", "").refusedWith(t, 503, problem.NoTarget, problem.ExecutedNo)
	assert.Assert(t, told.RetryAfterSeconds > 0)
}

func TestDeadlineEndsTheCall(t *testing.T) {
	left := make(chan struct{})
	target := newBackEnd(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); close(left) })
	f := alone(t, resource.Service{}, generous, target)
	do(t, "GET", f.edge, "/a/x", "", header(callcontext.TimeoutHeader, "100")).refusedWith(t, 504, problem.DeadlineExceeded, problem.ExecutedUnknown)
	<-left
	assert.Equal(t, len(target.calls()), 1)
}

// cluster returns a node that is not the home of target a-1 if there are more
// than one.
func TestClaims(t *testing.T) {
	for name, c := range map[string]struct {
		key               string
		handler           http.HandlerFunc
		status            int
		claimed, released int64
	}{
		"no key":          {"", saying(200, ""), 200, 0, 0},
		"granted":         {"k", saying(200, ""), 200, 1, 0},
		"taken":           {"taken", saying(200, ""), 409, 0, 0},
		"surely not run":  {"k", shedding, 503, 1, 1},
		"may have run":    {"k", reset, 502, 1, 0},
		"run, and failed": {"k", saying(503, ""), 503, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			target := newBackEnd(t, c.handler)
			f := alone(t, resource.Service{RefusalHeader: "Target-Shed"}, resource.Policy{Retry: "0"}, target)
			var options []option
			if c.key != "" {
				options = append(options, header(callcontext.IdempotencyKeyHeader, c.key))
			}
			assert.Equal(t, do(t, "POST", f.edge, "/a/x", "body", options...).status, c.status)
			assert.Equal(t, f.claims.claimed.Load(), c.claimed)
			assert.Equal(t, f.claims.released.Load(), c.released)
			if c.status == 409 {
				assert.Equal(t, len(target.calls()), 0)
			}
		})
	}
}

// A caller that doesn't read must not hold a target's slot past its deadline.
// Small answers that pile up behind a caller who does not read must not stay
// in the node either.
// The bound on one answer must not hold for the next one on the connection.
