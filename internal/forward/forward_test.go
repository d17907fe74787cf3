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

func TestARequestIsAnswered(t *testing.T) {
	f := newFixture(t, answered)
	answer := f.do("GET", "/read/x?y=1", "a", "")
	assert.Equal(t, answer.Code, 200)
	assert.Equal(t, answer.Body.String(), "ok")
	assert.Equal(t, answer.Header().Get("X-Signature"), "s")
	assert.Equal(t, answer.Header().Get("X-Id"), "a", "the answer names the request")
	sent := f.homes[0].calls[0]
	assert.Equal(t, len(sent.Header), 0, "what the home sets itself is not sent: %v", sent.Header)
	assert.Equal(t, sent.URI, "/read/x?y=1")
	assert.Equal(t, sent.Host, "a.example")
	assert.Equal(t, sent.Caller, "caller")
	assert.Assert(t, sent.Remaining <= testTimeout, "the route's timeout is shorter than the caller's deadline")
	assert.Equal(t, sent.MaxWait, 200*time.Millisecond)
}

func TestWhatTheNodeAnswersItself(t *testing.T) {
	f := newFixture(t, answered)
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

func TestARefusalGoesToAnotherHome(t *testing.T) {
	for _, path := range []string{"/read/x", "/once/x"} {
		f := newFixture(t, refusing(peering.QueueFull), answered)
		assert.Equal(t, f.do("GET", path, "a", "").Code, 200)
	}
}

func TestARefusalByAllTellsWhenToComeBack(t *testing.T) {
	f := newFixture(t, refusing(peering.QueueFull), refusing(peering.Waited))
	answer := f.do("GET", "/once/x", "a", "")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	assert.Equal(t, answer.Header().Get("Retry-After"), "0.300")
	assert.Equal(t, f.calls(), 2)
}

func TestWhatMayHaveRunIsRepeatedOnlyWhereAllowed(t *testing.T) {
	once := newFixture(t, failing, failing)
	assert.Equal(t, once.do("POST", "/once/x", "a", "").Code, http.StatusBadGateway)
	assert.Equal(t, once.calls(), 1, "a request that must not run twice")
	read := newFixture(t, failing, failing, failing)
	assert.Equal(t, read.do("GET", "/read/x", "a", "").Code, http.StatusBadGateway)
	assert.Equal(t, read.calls(), 2, "the route's attempts")
}

// TestAFailurePassedOnStands has targets fail after calls of theirs had failed: the
// failure comes back as the target gave it, and the request runs once.
func TestAFailurePassedOnStands(t *testing.T) {
	for _, path := range []string{"/read/x", "/once/x"} {
		f := newFixture(t, erring, erring)
		answer := f.do("GET", path, "a", "")
		assert.Equal(t, answer.Code, http.StatusInternalServerError)
		assert.Equal(t, answer.Header().Get("X-Signature"), "s")
		assert.Equal(t, f.calls(), 1)
	}
}

// TestAnErrorAnswerStandsIfNobodyElseAnswers has the request go on after a
// target's own failure and find no other target.
func TestAnErrorAnswerStandsIfNobodyElseAnswers(t *testing.T) {
	f := newFixture(t, refusing(peering.QueueFull))
	kept := erring(t.Context(), nil)
	route := f.forwarder.routes.Current().Match("a.example", "/read/x")
	q := &request{id: "a", route: route, service: "s", errorAnswer: kept, attempts: 1, deadline: time.Now().Add(time.Second), call: &peering.Call{}}
	reply, failure := f.forwarder.run(t.Context(), q)
	assert.Assert(t, failure == nil)
	assert.Equal(t, reply, kept)
}

// TestAFailureIsNotToldAsNotRun has one home fail and the other refuse: the
// request may have run, whatever the second home says.
func TestAFailureIsNotToldAsNotRun(t *testing.T) {
	for range 8 {
		f := newFixture(t, failing, refusing(peering.QueueFull))
		answer := f.do("GET", "/read/x", "a", "")
		assert.Equal(t, answer.Code, http.StatusBadGateway)
	}
}

func TestTheRetryBudgetBoundsRepetitions(t *testing.T) {
	f := newFixture(t, failing, failing)
	const requests = 50
	for i := range requests {
		f.do("GET", "/read/x", strconv.Itoa(i), "")
	}
	repeated := f.calls() - requests
	assert.Assert(t, repeated >= 1 && repeated <= 1+requests/10+1, "%d repetitions of %d requests", repeated, requests)
}

func TestADeadHomeIsPassedOver(t *testing.T) {
	f := newFixture(t, answered)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	dead := listener.Addr().String()
	assert.NilError(t, listener.Close())
	live := f.forwarder.directory.Homes("s")[0].Address
	f.forwarder = newForwarder(t, f, []string{dead, live})
	for i := range 20 {
		assert.Equal(t, f.do("POST", "/once/x", strconv.Itoa(i), "").Code, 200, "an unreached home has not run it")
	}
}

func TestASilentHomeIsGivenUpForRepeatableRequests(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	f := newFixture(t, answered)
	live := f.forwarder.directory.Homes("s")[0].Address
	f.forwarder = newForwarder(t, f, []string{listener.Addr().String(), live})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.forwarder.Run(ctx)
	// The silent home takes connections and never answers.
	state := f.forwarder.homes.state(listener.Addr().String())
	suspected := func() bool {
		state.mutex.Lock()
		defer state.mutex.Unlock()
		return state.suspicion.pause > 0
	}
	const enough = 100
	for i := 0; i < enough && !suspected(); i++ {
		assert.Equal(t, f.do("GET", "/read/x", strconv.Itoa(i), "").Code, 200)
	}
	assert.Assert(t, suspected(), "the silent home was chosen and passed over")
}

func TestARequestIsAnsweredAtItsRoutesTimeout(t *testing.T) {
	f := newFixture(t, func(ctx context.Context, call *peering.Call) *peering.Reply {
		<-ctx.Done()
		return failing(ctx, call)
	})
	started := time.Now()
	answer := f.do("GET", "/brief/x", "a", "")
	assert.Equal(t, answer.Code, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(started) < testTimeout)
}

func TestACallersEndWithdrawsTheCall(t *testing.T) {
	withdrawn := make(chan struct{})
	f := newFixture(t, func(ctx context.Context, call *peering.Call) *peering.Reply {
		<-ctx.Done()
		close(withdrawn)
		return failing(ctx, call)
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
	case <-withdrawn:
	case <-time.After(10 * time.Second):
		t.Fatal("the home was not told")
	}
}

// TestCallsOfAnAbandonedRequestEnd tells of a target that works on after its caller
// has left, whose connection was closed: each call that it made went on through the
// chain, though nobody would ever see the answer.
func TestCallsOfAnAbandonedRequestEnd(t *testing.T) {
	t.Run("a new one is refused", func(t *testing.T) {
		f := newFixture(t, answered)
		answer := f.do("GET", "/read/x", "abandoned.b", "")
		assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
		assert.Assert(t, answer.Header().Get("Retry-After") != "")
		assert.Equal(t, f.calls(), 0)
	})
	t.Run("one on its way is withdrawn", func(t *testing.T) {
		withdrawn := make(chan struct{})
		f := newFixture(t, func(ctx context.Context, _ *peering.Call) *peering.Reply {
			<-ctx.Done()
			close(withdrawn)
			return &peering.Reply{Outcome: peering.Failed, Reason: peering.CallerLeft}
		})
		wanted, abandon := context.WithCancel(t.Context())
		began := time.Now()
		f.forwarder.local.(*fakeHome).parentWanted = wanted
		go func() {
			for f.calls() == 0 {
				time.Sleep(time.Millisecond)
			}
			abandon()
		}()
		answer := f.do("GET", "/read/x", "running.b", "")
		assert.Assert(t, answer.Code >= http.StatusInternalServerError)
		select {
		case <-withdrawn:
			assert.Assert(t, time.Since(began) < testTimeout/2, "only its deadline ended it")
		case <-time.After(10 * time.Second):
			t.Fatal("the home was not told")
		}
	})
}

// TestAFullChainIsRefusedWhereRequestsBegin reports a threshold that refuses
// less important requests, and finds that these are refused here and that a
// call of a running request and a more important request are not.
func TestAFullChainIsRefusedWhereRequestsBegin(t *testing.T) {
	f := newFixture(t, answered)
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
	assert.Assert(t, inner.Inner)
	assert.Equal(t, inner.MaxWait, 600*time.Millisecond)
	assert.Equal(t, f.levels.Downstream("parent").Threshold, shed.None, "the reply's own threshold is the newest")
}

// TestALeavingHomesThresholdIsForgotten has a home that told that it has room say
// that its target leaves: the full one's threshold must hold.
func TestALeavingHomesThresholdIsForgotten(t *testing.T) {
	f := newFixture(t, refusing(peering.TargetLeaving))
	leaving := f.forwarder.directory.Homes("s")[0].Address
	f.levels.Report("once", leaving, pressure.Level{Threshold: shed.None}, 10)
	f.levels.Report("once", "full", pressure.Level{Threshold: 300}, 10)
	assert.Assert(t, f.levels.Threshold("once") == shed.None)
	f.do("POST", "/once/x", "a", "")
	assert.Equal(t, f.levels.Threshold("once"), uint16(300))
}

// TestBeforeItsEndANodeTakesWhatIsSureToEnd has a node end soon. Requests that may
// take longer are told at once that they have not run.
func TestBeforeItsEndANodeTakesWhatIsSureToEnd(t *testing.T) {
	f := newFixture(t, answered)
	f.forwarder.SetShutdownDeadline(time.Now().Add(testTimeout / 2))
	answer := f.do("POST", "/once/x", "a", "")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable, "nothing is known of the route")
	assert.Assert(t, answer.Header().Get("Retry-After") != "")
	f.forwarder.homes.setLatency("once", time.Millisecond)
	assert.Equal(t, f.do("POST", "/once/x", "a", "").Code, 200)
	f.forwarder.homes.setLatency("once", testTimeout/4)
	assert.Equal(t, f.do("POST", "/once/x", "a", "").Code, http.StatusServiceUnavailable)
	assert.Equal(t, f.calls(), 1)
}

// TestWhatDoesNotFitIntoAPartIsNotMoved has one part of a route's weighted services
// refuse everything: its share of the requests is refused, and the other part gets
// no more than its own.
func TestWhatDoesNotFitIntoAPartIsNotMoved(t *testing.T) {
	const requests, weightOff = 300, 0.1
	f := newFixture(t, answered, refusing(peering.QueueFull))
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
	assert.Assert(t, share > 0.7-weightOff && share < 0.7+weightOff, "%.2f", share)
}

func TestAStoppingNodeAsksCallersToClose(t *testing.T) {
	f := newFixture(t, answered)
	f.forwarder.Stop()
	answer := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, answer.Code, 200)
	assert.Equal(t, answer.Header().Get("Connection"), "close")
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
}

// servePeerAt has a home that answers listen at the address.
func servePeerAt(t *testing.T, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	server := &http.Server{Handler: peering.Handler(peering.Services{Home: &fakeHome{answer: answered}, Spread: replica.NewSpread(replica.SpreadConfig{Now: time.Now}), Codec: testCodec, MaxBytes: 1 << 20, Process: testProcess})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// TestNothingIsSentAfterASuspensionThatPassedTheDeadline has the machine be suspended while
// the first home refuses: the request's time is over, though no timer has run out.
func TestNothingIsSentAfterASuspensionThatPassedTheDeadline(t *testing.T) {
	var suspended atomic.Int64
	refuse := func(ctx context.Context, call *peering.Call) *peering.Reply {
		suspended.Store(int64(2 * testTimeout))
		return refusing(peering.QueueFull)(ctx, call)
	}
	f := newFixture(t, refuse, refuse)
	f.forwarder.now = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	answer := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, f.calls(), 1, "the second home must not get it")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable, "it has not run")
}
