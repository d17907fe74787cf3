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
	f := newFixture(t, answerOK)
	answer := f.do("GET", "/read/x?y=1", "a", "")
	assert.Equal(t, answer.Code, 200)
	assert.Equal(t, answer.Body.String(), "ok")
	assert.Equal(t, answer.Header().Get("X-Signature"), "s")
	assert.Equal(t, answer.Header().Get("X-Id"), "a", "the answer names the request")
	sent := f.homes[0].calls[0]
	assert.Equal(t, len(sent.Header), 0, "headers that the home sets itself are not sent: %v", sent.Header)
	assert.Equal(t, sent.URI, "/read/x?y=1")
	assert.Equal(t, sent.Host, "a.example")
	assert.Equal(t, sent.Caller, "caller")
	assert.Assert(t, sent.Remaining <= testTimeout, "the route's timeout is shorter than the caller's deadline")
	assert.Equal(t, sent.MaxWait, 200*time.Millisecond)
}

func TestInvalidRequestsAreRejectedLocally(t *testing.T) {
	f := newFixture(t, answerOK)
	assert.Equal(t, f.do("GET", "/none/", "a", "").Code, http.StatusNotFound)
	assert.Equal(t, f.do("GET", "/read/", "", "").Code, http.StatusBadRequest)
	assert.Equal(t, f.do("POST", "/read/", "a", strings.Repeat("x", 101)).Code, http.StatusRequestEntityTooLarge)
	assert.Equal(t, f.do("GET", "/read/"+strings.Repeat("x", 1000), "a", "").Code, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, f.calls(), 0)
	f.forwarder.routes = &routetable.Holder{}
	answer := f.do("GET", "/read/", "a", "")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable, "a node without configuration")
	assert.Assert(t, answer.Header().Get("Retry-After") != "")
}

func TestRefusedRequestGoesToAnotherHome(t *testing.T) {
	for _, path := range []string{"/read/x", "/once/x"} {
		f := newFixture(t, refuseWith(peering.QueueFull), answerOK)
		assert.Equal(t, f.do("GET", path, "a", "").Code, 200)
	}
}

func TestRefusalByAllHomesHasRetryAfter(t *testing.T) {
	f := newFixture(t, refuseWith(peering.QueueFull), refuseWith(peering.QueueTimeout))
	answer := f.do("GET", "/once/x", "a", "")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	assert.Equal(t, answer.Header().Get("Retry-After"), "0.300")
	assert.Equal(t, f.calls(), 2)
}

func TestFailedCallIsRetriedOnlyIfRepeatable(t *testing.T) {
	once := newFixture(t, failCall, failCall)
	assert.Equal(t, once.do("POST", "/once/x", "a", "").Code, http.StatusBadGateway)
	assert.Equal(t, once.calls(), 1, "a request that must not run twice")
	read := newFixture(t, failCall, failCall, failCall)
	assert.Equal(t, read.do("GET", "/read/x", "a", "").Code, http.StatusBadGateway)
	assert.Equal(t, read.calls(), 2, "the route's attempts")
}

// TestDownstreamFailureIsNotRetried has targets fail after calls that they made had
// failed: the caller gets the target's answer, and the request runs once.
func TestDownstreamFailureIsNotRetried(t *testing.T) {
	for _, path := range []string{"/read/x", "/once/x"} {
		f := newFixture(t, answerError, answerError)
		answer := f.do("GET", path, "a", "")
		assert.Equal(t, answer.Code, http.StatusInternalServerError)
		assert.Equal(t, answer.Header().Get("X-Signature"), "s")
		assert.Equal(t, f.calls(), 1)
	}
}

// TestErrorAnswerIsReturnedIfNoOtherTargetAnswers retries a request after a target's own
// failure while no other target is available.
func TestErrorAnswerIsReturnedIfNoOtherTargetAnswers(t *testing.T) {
	f := newFixture(t, refuseWith(peering.QueueFull))
	previous := answerError(t.Context(), nil)
	route := f.forwarder.routes.Current().Match("a.example", "/read/x")
	q := &request{id: "a", route: route, service: "s", errorReply: previous, attempts: 1, deadline: time.Now().Add(time.Second), call: &peering.Call{}}
	reply, failure := f.forwarder.run(t.Context(), q)
	assert.Assert(t, failure == nil)
	assert.Equal(t, reply, previous)
}

// TestFailureThenRefusalIsNotReportedAsNotExecuted has one home fail and the other
// refuse: the request may have been executed, whatever the second home reports.
func TestFailureThenRefusalIsNotReportedAsNotExecuted(t *testing.T) {
	for range 8 {
		f := newFixture(t, failCall, refuseWith(peering.QueueFull))
		answer := f.do("GET", "/read/x", "a", "")
		assert.Equal(t, answer.Code, http.StatusBadGateway)
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	f := newFixture(t, failCall, failCall)
	const requests = 50
	for i := range requests {
		f.do("GET", "/read/x", strconv.Itoa(i), "")
	}
	retries := f.calls() - requests
	assert.Assert(t, retries >= 1 && retries <= 1+requests/10+1, "%d retries of %d requests", retries, requests)
}

func TestUnreachableHomeIsSkipped(t *testing.T) {
	f := newFixture(t, answerOK)
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
	f := newFixture(t, answerOK)
	live := f.forwarder.directory.Homes("s")[0].Address
	f.forwarder = newForwarder(t, f, []string{listener.Addr().String(), live})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.forwarder.Run(ctx)
	// The silent home accepts connections and never answers.
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
		return failCall(ctx, call)
	})
	started := time.Now()
	answer := f.do("GET", "/brief/x", "a", "")
	assert.Equal(t, answer.Code, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(started) < testTimeout)
}

func TestCallerDisconnectCancelsCall(t *testing.T) {
	cancelled := make(chan struct{})
	f := newFixture(t, func(ctx context.Context, call *peering.Call) *peering.Reply {
		<-ctx.Done()
		close(cancelled)
		return failCall(ctx, call)
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
	case <-cancelled:
	case <-time.After(10 * time.Second):
		t.Fatal("the call at the home was not cancelled")
	}
}

// TestInnerCallsOfAbandonedRequestEnd guards against wasted work for abandoned requests.
// A target may go on working after its caller disconnected and its connection was closed;
// its calls used to continue through the call chain although no caller waited for the
// answer.
func TestInnerCallsOfAbandonedRequestEnd(t *testing.T) {
	t.Run("a new one is refused", func(t *testing.T) {
		f := newFixture(t, answerOK)
		answer := f.do("GET", "/read/x", "abandoned.b", "")
		assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
		assert.Assert(t, answer.Header().Get("Retry-After") != "")
		assert.Equal(t, f.calls(), 0)
	})
	t.Run("one in flight is cancelled", func(t *testing.T) {
		cancelled := make(chan struct{})
		f := newFixture(t, func(ctx context.Context, _ *peering.Call) *peering.Reply {
			<-ctx.Done()
			close(cancelled)
			return &peering.Reply{Outcome: peering.Failed, Reason: peering.CallerLeft}
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
		answer := f.do("GET", "/read/x", "running.b", "")
		assert.Assert(t, answer.Code >= http.StatusInternalServerError)
		select {
		case <-cancelled:
			assert.Assert(t, time.Since(started) < testTimeout/2, "the call ended only at its deadline")
		case <-time.After(10 * time.Second):
			t.Fatal("the call at the home was not cancelled")
		}
	})
}

// TestShedThresholdIsAppliedAtEntryNode reports a threshold that sheds less important
// requests. They must be refused at the node where they enter, while more important
// requests and calls of running requests go ahead.
func TestShedThresholdIsAppliedAtEntryNode(t *testing.T) {
	f := newFixture(t, answerOK)
	address := f.forwarder.directory.Homes("s")[0].Address
	for _, route := range []string{"read", "once"} {
		f.levels.Report(route, address, pressure.Level{Threshold: criticality.CohortCount}, 10)
	}
	answer := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	assert.Assert(t, answer.Header().Get("Retry-After") != "")
	assert.Equal(t, f.calls(), 0)
	assert.Equal(t, f.do("POST", "/once/x", "a", "").Code, 200)
	assert.Equal(t, f.do("GET", "/read/x", "running.b", "").Code, 200)
	inner := f.homes[0].calls[1]
	assert.Equal(t, inner.Rank, uint16(7), "a call has the rank of the request that made it")
	assert.Assert(t, inner.Nested)
	assert.Equal(t, inner.MaxWait, 600*time.Millisecond)
	assert.Equal(t, f.levels.Downstream("parent").Threshold, shed.None, "the threshold in the reply replaces the reported one")
}

// TestThresholdOfLeavingHomeIsRemoved has a home that reported room say that its target
// is leaving: the threshold of the full home must apply then.
func TestThresholdOfLeavingHomeIsRemoved(t *testing.T) {
	f := newFixture(t, refuseWith(peering.TargetLeaving))
	leaving := f.forwarder.directory.Homes("s")[0].Address
	f.levels.Report("once", leaving, pressure.Level{Threshold: shed.None}, 10)
	f.levels.Report("once", "full", pressure.Level{Threshold: 300}, 10)
	assert.Assert(t, f.levels.Threshold("once") == shed.None)
	f.do("POST", "/once/x", "a", "")
	assert.Equal(t, f.levels.Threshold("once"), uint16(300))
}

// TestShutdownDeadlineRefusesLongRequests gives a node a near shutdown deadline. Requests
// that may take longer must be refused at once as not executed.
func TestShutdownDeadlineRefusesLongRequests(t *testing.T) {
	f := newFixture(t, answerOK)
	f.forwarder.SetShutdownDeadline(time.Now().Add(testTimeout / 2))
	answer := f.do("POST", "/once/x", "a", "")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable, "the latency of the route is unknown")
	assert.Assert(t, answer.Header().Get("Retry-After") != "")
	f.forwarder.homes.setLatency("once", time.Millisecond)
	assert.Equal(t, f.do("POST", "/once/x", "a", "").Code, 200)
	f.forwarder.homes.setLatency("once", testTimeout/4)
	assert.Equal(t, f.do("POST", "/once/x", "a", "").Code, http.StatusServiceUnavailable)
	assert.Equal(t, f.calls(), 1)
}

// TestWeightedServiceOverflowIsNotMoved has one of a route's weighted services refuse
// everything: its share of the requests is refused, and the other service gets no more
// than its own share.
func TestWeightedServiceOverflowIsNotMoved(t *testing.T) {
	const requests, tolerance = 300, 0.1
	f := newFixture(t, answerOK, refuseWith(peering.QueueFull))
	full := f.addresses[1]
	record, err := cbor.Marshal(registry.Record{Instance: "i-full", Service: "full", Zone: "z", Address: full, Slots: 10, State: registry.Ready})
	assert.NilError(t, err)
	f.forwarder.directory.ApplyChanges([]store.Entry{{Key: "homes/" + full, Value: record, Revision: 100}}, "store")
	f.forwarder.routes.Update(&routetable.Configuration{Version: 5, Routes: []routetable.Route{{Name: "split", Host: "a.example", Prefix: "/split/", Kind: routetable.Once,
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
	f := newFixture(t, answerOK)
	f.forwarder.Stop()
	answer := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, answer.Code, 200)
	assert.Equal(t, answer.Header().Get("Connection"), "close")
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
}

// servePeerAt starts a home at the address that answers all calls.
func servePeerAt(t *testing.T, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	server := &http.Server{Handler: peering.Handler(peering.Services{Home: &fakeHome{answer: answerOK}, AntiEntropy: replica.NewAntiEntropy(replica.AntiEntropyConfig{Now: time.Now}), Codec: testCodec, MaxBytes: 1 << 20, Process: testProcess})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// TestNoOfferAfterSuspendPastDeadline suspends the machine while the first home refuses:
// the request's deadline has passed although no timer has fired.
func TestNoOfferAfterSuspendPastDeadline(t *testing.T) {
	var suspended atomic.Int64
	refuse := func(ctx context.Context, call *peering.Call) *peering.Reply {
		suspended.Store(int64(2 * testTimeout))
		return refuseWith(peering.QueueFull)(ctx, call)
	}
	f := newFixture(t, refuse, refuse)
	f.forwarder.now = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	answer := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, f.calls(), 1, "the request must not be offered to the second home")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable, "the request was not executed")
}
