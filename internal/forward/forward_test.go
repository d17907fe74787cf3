package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/store"
)

func TestRequestIsAnswered(t *testing.T) {
	f := newFixture(t, replyOK)
	response := f.do("GET", "/read/x?y=1", "a", "")
	assert.Equal(t, response.Code, 200)
	assert.Equal(t, response.Body.String(), "ok")
	assert.Equal(t, response.Header().Get("X-Signature"), "s")
	assert.Equal(t, response.Header().Get("X-Id"), "a", "the response has the request ID")
	sent := f.homes[0].calls[0]
	assert.Equal(t, len(sent.Header), 0, "headers that the home sets itself are not sent: %v", sent.Header)
	assert.Equal(t, sent.URI, "/read/x?y=1")
	assert.Equal(t, sent.Host, "a.example")
	assert.Equal(t, sent.Caller, "caller")
	assert.Assert(t, sent.Remaining <= testTimeout, "the route's timeout is shorter than the caller's deadline")
	assert.Equal(t, sent.MaxWait, 200*time.Millisecond)
}

func TestInvalidRequestsAreRejectedLocally(t *testing.T) {
	f := newFixture(t, replyOK)
	assert.Equal(t, f.do("GET", "/none/", "a", "").Code, http.StatusNotFound)
	assert.Equal(t, f.do("GET", "/read/", "", "").Code, http.StatusBadRequest)
	assert.Equal(t, f.do("POST", "/read/", "a", strings.Repeat("x", 101)).Code, http.StatusRequestEntityTooLarge)
	assert.Equal(t, f.do("GET", "/read/"+strings.Repeat("x", 1000), "a", "").Code, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, f.calls(), 0)
	f.forwarder.routes = &routetable.Holder{}
	response := f.do("GET", "/read/", "a", "")
	assert.Equal(t, response.Code, http.StatusServiceUnavailable, "a node without configuration")
	assert.Assert(t, response.Header().Get("Retry-After") != "")
}

func TestRefusedRequestGoesToAnotherHome(t *testing.T) {
	for _, path := range []string{"/read/x", "/once/x"} {
		f := newFixture(t, replyRefused(peering.QueueFull), replyOK)
		assert.Equal(t, f.do("GET", path, "a", "").Code, 200)
	}
}

func TestRefusalByAllHomesHasRetryAfter(t *testing.T) {
	f := newFixture(t, replyRefused(peering.QueueFull), replyRefused(peering.QueueTimeout))
	response := f.do("GET", "/once/x", "a", "")
	assert.Equal(t, response.Code, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header().Get("Retry-After"), "0.300")
	assert.Equal(t, f.calls(), 2)
}

func TestFailedCallIsRetriedOnlyIfRepeatable(t *testing.T) {
	once := newFixture(t, replyFailed, replyFailed)
	assert.Equal(t, once.do("POST", "/once/x", "a", "").Code, http.StatusBadGateway)
	assert.Equal(t, once.calls(), 1, "a request that must not run twice")
	read := newFixture(t, replyFailed, replyFailed, replyFailed)
	assert.Equal(t, read.do("GET", "/read/x", "a", "").Code, http.StatusBadGateway)
	assert.Equal(t, read.calls(), 2, "the route's attempts")
}

// TestDownstreamFailureIsNotRetried uses targets that return errors because their downstream
// calls failed. The caller must get the target's response, and the request must run once.
func TestDownstreamFailureIsNotRetried(t *testing.T) {
	for _, path := range []string{"/read/x", "/once/x"} {
		f := newFixture(t, replyDownstreamError, replyDownstreamError)
		response := f.do("GET", path, "a", "")
		assert.Equal(t, response.Code, http.StatusInternalServerError)
		assert.Equal(t, response.Header().Get("X-Signature"), "s")
		assert.Equal(t, f.calls(), 1)
	}
}

// TestErrorResponseIsReturnedIfNoOtherTargetAnswers retries a request after an error of the
// target itself while no other target is available.
func TestErrorResponseIsReturnedIfNoOtherTargetAnswers(t *testing.T) {
	f := newFixture(t, replyRefused(peering.QueueFull))
	previous := replyDownstreamError(t.Context(), nil)
	route := f.forwarder.routes.Current().Match("a.example", "/read/x")
	q := &request{id: "a", route: route, service: "s", errorReply: previous, attempts: 1, deadline: time.Now().Add(time.Second), call: &peering.Call{}}
	reply, failure := f.forwarder.run(t.Context(), q)
	assert.Assert(t, failure == nil)
	assert.Equal(t, reply, previous)
}

// TestFailureThenRefusalIsNotReportedAsNotExecuted uses one home that fails and one that
// refuses: the request may have been executed, whatever the second home reports.
func TestFailureThenRefusalIsNotReportedAsNotExecuted(t *testing.T) {
	for range 8 {
		f := newFixture(t, replyFailed, replyRefused(peering.QueueFull))
		response := f.do("GET", "/read/x", "a", "")
		assert.Equal(t, response.Code, http.StatusBadGateway)
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	f := newFixture(t, replyFailed, replyFailed)
	const requests = 50
	for i := range requests {
		f.do("GET", "/read/x", strconv.Itoa(i), "")
	}
	retries := f.calls() - requests
	assert.Assert(t, retries >= 1 && retries <= 1+requests/10+1, "%d retries of %d requests", retries, requests)
}

func TestUnreachableHomeIsSkipped(t *testing.T) {
	f := newFixture(t, replyOK)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	dead := listener.Addr().String()
	assert.NilError(t, listener.Close())
	live := f.forwarder.directory.Homes("s")[0].Address
	f.forwarder = newForwarder(t, f, []string{dead, live})
	for i := range 20 {
		assert.Equal(t, f.do("POST", "/once/x", strconv.Itoa(i), "").Code, 200, "a home that was not reached has not executed the request")
	}
}

func TestRepeatableRequestsLeaveSilentHome(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	f := newFixture(t, replyOK)
	live := f.forwarder.directory.Homes("s")[0].Address
	f.forwarder = newForwarder(t, f, []string{listener.Addr().String(), live})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.forwarder.Run(ctx)
	// The silent home accepts connections and never responds.
	state := f.forwarder.homes.state(listener.Addr().String())
	suspected := func() bool {
		state.mutex.Lock()
		defer state.mutex.Unlock()
		return state.suspicion.backoff > 0
	}
	const maxRequests = 100
	for i := 0; i < maxRequests && !suspected(); i++ {
		assert.Equal(t, f.do("GET", "/read/x", strconv.Itoa(i), "").Code, 200)
	}
	assert.Assert(t, suspected(), "the silent home was chosen and then suspected")
}

func TestRouteTimeoutEndsRequest(t *testing.T) {
	f := newFixture(t, func(ctx context.Context, call *peering.Call) *peering.Reply {
		<-ctx.Done()
		return replyFailed(ctx, call)
	})
	started := time.Now()
	response := f.do("GET", "/brief/x", "a", "")
	assert.Equal(t, response.Code, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(started) < testTimeout)
}

func TestCallerDisconnectCancelsCall(t *testing.T) {
	canceled := make(chan struct{})
	f := newFixture(t, func(ctx context.Context, call *peering.Call) *peering.Reply {
		<-ctx.Done()
		close(canceled)
		return replyFailed(ctx, call)
	})
	server := httptest.NewServer(f.forwarder)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, "GET", server.URL+"/read/x", nil)
	assert.NilError(t, err)
	request.Host = "a.example"
	request.Header.Set("X-Id", "a")
	go func() {
		for f.calls() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = http.DefaultClient.Do(request)
	assert.Assert(t, errors.Is(err, context.Canceled))
	select {
	case <-canceled:
	case <-time.After(10 * time.Second):
		t.Fatal("the call at the home was not canceled")
	}
}

// TestNestedCallsOfAbandonedRequestEnd guards against wasted work for abandoned requests. A
// target may continue to execute a request after the caller has disconnected and the target's
// connection was closed. Its calls used to continue through the call chain although no caller
// waited for the response.
func TestNestedCallsOfAbandonedRequestEnd(t *testing.T) {
	t.Run("a new one is refused", func(t *testing.T) {
		f := newFixture(t, replyOK)
		response := f.do("GET", "/read/x", "abandoned.b", "")
		assert.Equal(t, response.Code, http.StatusServiceUnavailable)
		assert.Assert(t, response.Header().Get("Retry-After") != "")
		assert.Equal(t, f.calls(), 0)
	})
	t.Run("one in flight is canceled", func(t *testing.T) {
		canceled := make(chan struct{})
		f := newFixture(t, func(ctx context.Context, _ *peering.Call) *peering.Reply {
			<-ctx.Done()
			close(canceled)
			return &peering.Reply{Outcome: peering.Failed, Reason: peering.CallCanceled}
		})
		parentContext, abandon := context.WithCancel(t.Context())
		started := time.Now()
		f.forwarder.local.(*fakeHome).parentContext = parentContext
		go func() {
			for f.calls() == 0 {
				time.Sleep(time.Millisecond)
			}
			abandon()
		}()
		response := f.do("GET", "/read/x", "running.b", "")
		assert.Assert(t, response.Code >= http.StatusInternalServerError)
		select {
		case <-canceled:
			assert.Assert(t, time.Since(started) < testTimeout/2, "the call ended only at its deadline")
		case <-time.After(10 * time.Second):
			t.Fatal("the call at the home was not canceled")
		}
	})
}

// TestShedThresholdIsAppliedAtEntryNode reports a threshold that sheds less important
// requests. They must be refused at the entry node, while more important requests and nested
// calls are admitted.
func TestShedThresholdIsAppliedAtEntryNode(t *testing.T) {
	f := newFixture(t, replyOK)
	address := f.forwarder.directory.Homes("s")[0].Address
	for _, route := range []string{"read", "once"} {
		f.levels.Report(route, address, pressure.Level{Threshold: criticality.CohortCount}, 10)
	}
	response := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, response.Code, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header().Get("Retry-After") != "")
	assert.Equal(t, f.calls(), 0)
	assert.Equal(t, f.do("POST", "/once/x", "a", "").Code, 200)
	assert.Equal(t, f.do("GET", "/read/x", "running.b", "").Code, 200)
	nestedCall := f.homes[0].calls[1]
	assert.Equal(t, nestedCall.Rank, uint16(7), "a call has the rank of the request that made it")
	assert.Assert(t, nestedCall.Nested)
	assert.Equal(t, nestedCall.MaxWait, 600*time.Millisecond)
	assert.Equal(t, f.levels.Downstream("parent").Threshold, shed.None, "the threshold in the reply replaces the reported one")
}

// TestThresholdOfLeavingHomeIsRemoved uses a home that has reported spare capacity and then
// refuses a call because its target is leaving. From then on only the threshold of the other,
// full home must apply.
func TestThresholdOfLeavingHomeIsRemoved(t *testing.T) {
	f := newFixture(t, replyRefused(peering.TargetLeaving))
	leaving := f.forwarder.directory.Homes("s")[0].Address
	f.levels.Report("once", leaving, pressure.Level{Threshold: shed.None}, 10)
	f.levels.Report("once", "full", pressure.Level{Threshold: 300}, 10)
	assert.Assert(t, f.levels.Threshold("once") == shed.None)
	f.do("POST", "/once/x", "a", "")
	assert.Equal(t, f.levels.Threshold("once"), uint16(300))
}

// TestShutdownDeadlineRefusesLongRequests sets a shutdown deadline in the near future.
// Requests that may take longer must be refused immediately as not executed.
func TestShutdownDeadlineRefusesLongRequests(t *testing.T) {
	f := newFixture(t, replyOK)
	f.forwarder.SetShutdownDeadline(time.Now().Add(testTimeout / 2))
	response := f.do("POST", "/once/x", "a", "")
	assert.Equal(t, response.Code, http.StatusServiceUnavailable, "the latency of the route is unknown")
	assert.Assert(t, response.Header().Get("Retry-After") != "")
	f.forwarder.homes.setLatency("once", time.Millisecond)
	assert.Equal(t, f.do("POST", "/once/x", "a", "").Code, 200)
	f.forwarder.homes.setLatency("once", testTimeout/4)
	assert.Equal(t, f.do("POST", "/once/x", "a", "").Code, http.StatusServiceUnavailable)
	assert.Equal(t, f.calls(), 1)
}

// TestWeightedServiceOverflowIsNotMoved uses a route with two weighted services, one of which
// refuses all requests. Its share of the requests must be refused, and the other service must
// get no more than its own share.
func TestWeightedServiceOverflowIsNotMoved(t *testing.T) {
	const requests, tolerance = 300, 0.1
	f := newFixture(t, replyOK, replyRefused(peering.QueueFull))
	full := f.addresses[1]
	record, err := cbor.Marshal(registry.Record{Instance: "i-full", Service: "full", Zone: "z", Address: full, Slots: 10, State: registry.Ready})
	assert.NilError(t, err)
	f.forwarder.directory.ApplyChanges([]store.Entry{{Key: "homes/" + full, Value: record, Revision: 100}}, "store")
	f.forwarder.routes.Update(&routetable.Configuration{Version: 5, Routes: []routetable.Route{{Name: "split", Host: "a.example", Prefix: "/split/", Kind: routetable.AtMostOnce,
		Timeout: testTimeout, Objective: time.Second, Services: []routetable.WeightedService{{Name: "s", Weight: 70}, {Name: "full", Weight: 30}}}}})
	answered, refused := 0, 0
	for i := range requests {
		switch f.do("POST", "/split/x", strconv.Itoa(i), "").Code {
		case http.StatusOK:
			answered++
		case http.StatusServiceUnavailable:
			refused++
		}
	}
	assert.Equal(t, answered+refused, requests)
	share := float64(answered) / requests
	assert.Assert(t, share > 0.7-tolerance && share < 0.7+tolerance, "%.2f", share)
}

func TestStoppingNodeClosesConnections(t *testing.T) {
	f := newFixture(t, replyOK)
	f.forwarder.Stop()
	response := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, response.Code, 200)
	assert.Equal(t, response.Header().Get("Connection"), "close")
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
}

// servePeerAt starts a home at the address. It answers all calls.
func servePeerAt(t *testing.T, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	server := &http.Server{Handler: peering.Handler(peering.ServerConfig{Home: &fakeHome{reply: replyOK}, AntiEntropy: replica.NewAntiEntropy(replica.AntiEntropyConfig{Now: time.Now}), Codec: testCodec, MaxMessageBytes: 1 << 20, Process: testProcess})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// TestNoOfferAfterSuspendPastDeadline simulates a machine that is suspended while the first
// home refuses the request: the deadline has passed although no timer has fired.
func TestNoOfferAfterSuspendPastDeadline(t *testing.T) {
	var suspended atomic.Int64
	refuse := func(ctx context.Context, call *peering.Call) *peering.Reply {
		suspended.Store(int64(2 * testTimeout))
		return replyRefused(peering.QueueFull)(ctx, call)
	}
	f := newFixture(t, refuse, refuse)
	f.forwarder.now = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	response := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, f.calls(), 1, "the request must not be offered to the second home")
	assert.Equal(t, response.Code, http.StatusServiceUnavailable, "the request was not executed")
}
