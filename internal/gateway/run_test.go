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

var fiveRetries = resource.Policy{Retry: "5"}

// unreachableTarget returns a target whose address refuses connections.
func unreachableTarget(t *testing.T) *fakeTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return &fakeTarget{address: listener.Addr().String()}
}

func TestRetries(t *testing.T) {
	spec := resource.Service{RefusalHeader: "Target-Shed"}
	key := header(callcontext.IdempotencyKeyHeader, "k")
	noKey := header("X", "1")
	for name, c := range map[string]struct {
		method  string
		option  option
		first   http.HandlerFunc
		retried bool
		status  int
	}{
		"GET, reset":                 {"GET", noKey, abortConnection, true, 200},
		"GET, truncated response":    {"GET", noKey, truncateResponse, true, 200},
		"GET, 503":                   {"GET", noKey, respondWith(503, ""), true, 200},
		"GET, 500":                   {"GET", noKey, respondWith(500, "error"), false, 500},
		"GET, keyed, reset":          {"GET", key, abortConnection, false, 502},
		"POST, reset":                {"POST", noKey, abortConnection, false, 502},
		"POST, truncated response":   {"POST", noKey, truncateResponse, false, 502},
		"POST, 503":                  {"POST", noKey, respondWith(503, ""), false, 503},
		"POST, refused":              {"POST", noKey, shedCall, true, 200},
		"POST, keyed, reset":         {"POST", key, abortConnection, false, 502},
		"POST, keyed, refused":       {"POST", key, shedCall, true, 200},
		"DELETE, truncated response": {"DELETE", noKey, truncateResponse, false, 502},
		"GET, Retry-After":           {"GET", noKey, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Retry-After", "9"); w.WriteHeader(503) }, false, 503},
	} {
		t.Run(name, func(t *testing.T) {
			handler := handlerSequence(c.first, respondWith(200, "ok"))
			first, second := newFakeTarget(t, handler), newFakeTarget(t, handler)
			f := singleNode(t, spec, fiveRetries, first, second)
			got := sendRequest(t, c.method, f.edge, "/a/x", "body", c.option)
			assert.Equal(t, got.status, c.status, got.body)
			if !c.retried {
				assert.Equal(t, len(first.calls())+len(second.calls()), 1)
				assert.Equal(t, f.observer.retried.Load(), int64(0))
				return
			}
			assert.Equal(t, len(first.calls()), 1, "the other target was not chosen")
			assert.Equal(t, len(second.calls()), 1, "the other target was not chosen")
			assert.Equal(t, contextOf(t, first.calls()[0]).RequestID, contextOf(t, second.calls()[0]).RequestID)
		})
	}
}

func TestUnreachableTargetIsRetriedElsewhere(t *testing.T) {
	target := newFakeTarget(t, respondWith(200, "ok"))
	f := singleNode(t, resource.Service{}, fiveRetries, unreachableTarget(t), target)
	for range 20 {
		sendRequest(t, "POST", f.edge, "/a/x", "body").assertEqual(t, 200, "ok")
	}
	assert.Equal(t, len(target.calls()), 20)
	assert.Assert(t, f.observer.retried.Load() > 0, "the unreachable target was never picked")
}

func TestPolicyLimitsRetries(t *testing.T) {
	for retries, wantCalls := range map[string]int{"0": 1, "1": 2, `call.repeatable ? 2 : 0`: 3, `outcome.executed == "no" ? 5 : 0`: 1} {
		target := newFakeTarget(t, abortConnection)
		f := singleNode(t, resource.Service{}, resource.Policy{Retry: retries}, target)
		sendRequest(t, "GET", f.edge, "/a/x", "").assertProblem(t, 502, problem.TargetFailed, problem.ExecutedUnknown)
		assert.Equal(t, len(target.calls()), wantCalls, retries)
	}
}

// exhaustedRatio is a RetryRatio that allows no retry.
type exhaustedRatio struct{}

func (exhaustedRatio) RecordSuccess() {}
func (exhaustedRatio) Allow() bool    { return false }

func TestExhaustedRetryRatio(t *testing.T) {
	target := newFakeTarget(t, abortConnection)
	f := singleNode(t, resource.Service{}, fiveRetries, target)
	f.retryRatio = exhaustedRatio{}
	sendRequest(t, "GET", f.edge, "/a/x", "").assertProblem(t, 502, problem.TargetFailed, problem.ExecutedUnknown)
	assert.Equal(t, len(target.calls()), 1)
	f = singleNode(t, resource.Service{}, fiveRetries, unreachableTarget(t))
	f.retryRatio = exhaustedRatio{}
	sendRequest(t, "GET", f.edge, "/a/x", "").assertProblem(t, 502, problem.TargetFailed, problem.ExecutedNo)
	assert.Assert(t, f.observer.retried.Load() > 0, "retries of calls that reached no target were charged to the ratio")
}

// The retry limit of a request applies to its whole call chain, not to each hop.
func TestRetryLimitAppliesToCallChain(t *testing.T) {
	for _, maxRetries := range []int{0, 1, 2, 4} {
		leaf := newFakeTarget(t, abortConnection)
		ingress, other := newFixture(t, "n-1", nil), newFixture(t, "n-2", nil)
		middle := newFakeTarget(t, func(w http.ResponseWriter, r *http.Request) {
			request, _ := http.NewRequestWithContext(r.Context(), "GET", "http://"+other.mesh+"/leaf/x", nil)
			request.Header[callcontext.BaggageHeader] = r.Header[callcontext.BaggageHeader]
			response, err := http.DefaultTransport.RoundTrip(request)
			if err == nil {
				_ = response.Body.Close()
			}
			w.WriteHeader(http.StatusBadGateway)
		})
		objects := singleService(resource.Service{MaxRetries: &maxRetries}, fiveRetries, middle).
			service("leaf", resource.Service{}).policy("leaf", fiveRetries).target("leaf-1", "leaf", leaf.address)
		ingress.configure(t, objects)
		other.configure(t, objects)
		assert.Equal(t, sendRequest(t, "GET", ingress.edge, "/a/x", "").status, 502)
		retries := ingress.observer.retried.Load() + other.observer.retried.Load()
		assert.Equal(t, retries, int64(maxRetries))
		assert.Equal(t, len(leaf.calls()), 1+maxRetries)
	}
}

func TestFinalProblemAccountsForEarlierAttempts(t *testing.T) {
	spec := resource.Service{RefusalHeader: "Target-Shed"}
	for name, c := range map[string]struct {
		handlers []http.HandlerFunc
		executed problem.Executed
	}{
		"reset, then refused": {[]http.HandlerFunc{abortConnection, shedCall}, problem.ExecutedUnknown},
		"503, then refused":   {[]http.HandlerFunc{respondWith(503, ""), shedCall}, problem.ExecutedUnknown},
		"always refused":      {[]http.HandlerFunc{shedCall}, problem.ExecutedNo},
	} {
		t.Run(name, func(t *testing.T) {
			f := singleNode(t, spec, resource.Policy{Retry: "2", Refuse: "11"}, newFakeTarget(t, handlerSequence(c.handlers...)))
			got := sendRequest(t, "GET", f.edge, "/a/x", "")
			got.assertProblem(t, 503, problem.Overloaded, c.executed)
			assert.Equal(t, got.header.Get("Retry-After"), "11")
		})
	}
}

func TestNoTarget(t *testing.T) {
	f := singleNode(t, resource.Service{}, resource.Policy{})
	document := sendRequest(t, "GET", f.edge, "/a/x", "").assertProblem(t, 503, problem.NoTarget, problem.ExecutedNo)
	assert.Assert(t, document.RetryAfterSeconds > 0)
}

func TestDeadlineCancelsCall(t *testing.T) {
	canceled := make(chan struct{})
	target := newFakeTarget(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); close(canceled) })
	f := singleNode(t, resource.Service{}, fiveRetries, target)
	sendRequest(t, "GET", f.edge, "/a/x", "", header(callcontext.TimeoutHeader, "100")).assertProblem(t, 504, problem.DeadlineExceeded, problem.ExecutedUnknown)
	<-canceled
	assert.Equal(t, len(target.calls()), 1)
}

func TestClaims(t *testing.T) {
	for name, c := range map[string]struct {
		key               string
		handler           http.HandlerFunc
		status            int
		claimed, released int64
	}{
		"no key":            {"", respondWith(200, ""), 200, 0, 0},
		"granted":           {"k", respondWith(200, ""), 200, 1, 0},
		"taken":             {"taken", respondWith(200, ""), 409, 0, 0},
		"certainly not run": {"k", shedCall, 503, 1, 1},
		"may have run":      {"k", abortConnection, 502, 1, 0},
		"run, and failed":   {"k", respondWith(503, ""), 503, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			target := newFakeTarget(t, c.handler)
			f := singleNode(t, resource.Service{RefusalHeader: "Target-Shed"}, resource.Policy{Retry: "0"}, target)
			var options []option
			if c.key != "" {
				options = append(options, header(callcontext.IdempotencyKeyHeader, c.key))
			}
			assert.Equal(t, sendRequest(t, "POST", f.edge, "/a/x", "body", options...).status, c.status)
			assert.Equal(t, f.claims.claimed.Load(), c.claimed)
			assert.Equal(t, f.claims.released.Load(), c.released)
			if c.status == 409 {
				assert.Equal(t, len(target.calls()), 0)
			}
		})
	}
}
