package guard

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/internal/callheader"
	"github.com/lugspur/lugspur/internal/ending"
	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/scheduler"
	"github.com/lugspur/lugspur/internal/shed"
)

var headerNames = callheader.Names{RequestID: "X-Id", DeadlineMillis: "X-Deadline", Caller: "X-Caller", ExpectInstance: "X-Expect",
	Instance: "X-Instance", Signature: "X-Signature", NotExecuted: "X-Not-Executed", Load: "X-Load",
	RateLimit: "X-Rate-Limit", Leaving: "X-Leaving"}

// startRawTarget starts a target that calls a function for each request, which writes the raw
// bytes of the response to the connection. It returns the target's address.
func startRawTarget(t *testing.T, respond func(connection net.Conn, request *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				reader := bufio.NewReader(connection)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					respond(connection, request)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func newTestGuard(address string) *Guard {
	g := New(Config{
		Service:        "s",
		Address:        address,
		Headers:        headerNames,
		SlotShare:      1,
		MaxQueue:       16,
		MaxBuffered:    1 << 20,
		MaxConnections: func() int { return 100 },
		Downstream:     func(string) pressure.Level { return pressure.Level{Threshold: shed.None} },
		Quarantine:     quarantine.New(quarantine.Config{Now: time.Now}),
	}, nil, time.Now)
	g.SetTarget(newTarget(registry.Ready, 2))
	return g
}

func newTarget(state registry.State, slots int) registry.Target {
	return registry.Target{ID: "i-1", Service: "s", Slots: slots, State: state}
}

func newCall(id string) *peering.Call {
	return &peering.Call{Service: "s", RequestID: id, Method: "GET", URI: "/p/x?y", Host: "a.example", Header: http.Header{"X-Kept": {"1"}},
		Remaining: 5 * time.Second, Caller: "caller", Route: "r", MaxWait: 5 * time.Second}
}

const okResponse = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: sig\r\nContent-Length: 2\r\n\r\nok"

func TestResponseIsReturnedComplete(t *testing.T) {
	address := startRawTarget(t, func(connection net.Conn, request *http.Request) {
		assert.Equal(t, request.Host, "a.example")
		assert.Equal(t, request.RequestURI, "/p/x?y")
		assert.Equal(t, request.Header.Get("X-Expect"), "i-1")
		assert.Equal(t, request.Header.Get("X-Caller"), "caller")
		assert.Equal(t, request.Header.Get("X-Kept"), "1")
		assert.Assert(t, request.Header.Get("X-Deadline") != "")
		fmt.Fprintf(connection, okResponse, request.Header.Get("X-Id"))
	})
	reply := newTestGuard(address).Run(context.Background(), newCall("a"))
	assert.Equal(t, reply.Outcome, peering.Answered)
	assert.Equal(t, string(reply.Body), "ok")
	assert.Equal(t, reply.Load.Limit, 2)
}

// TestOutcomeOfTargetResponses checks the outcome of a call for each kind of response. A
// call with an invalid response may have been executed, unless the target reports otherwise.
func TestOutcomeOfTargetResponses(t *testing.T) {
	cases := []struct {
		name, response string
		outcome        peering.Outcome
		reason         peering.Reason
	}{
		{"target error", "HTTP/1.1 500 Oops\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n", peering.Answered, ""},
		{"full", "HTTP/1.1 503 Full\r\nX-Id: a\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", peering.Refused, peering.TargetFull},
		{"another target", "HTTP/1.1 421 Other\r\nX-Id: a\r\nX-Instance: i-2\r\nContent-Length: 0\r\n\r\n", peering.Refused, peering.Misdirected},
		{"no signature", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok", peering.Failed, peering.InvalidResponse},
		{"no id", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok", peering.Failed, peering.InvalidResponse},
		{"encoded", "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", peering.Failed, peering.InvalidResponse},
		{"not HTTP", "hello\r\n\r\n", peering.Failed, peering.ExchangeBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := startRawTarget(t, func(connection net.Conn, _ *http.Request) { fmt.Fprint(connection, c.response) })
			reply := newTestGuard(address).Run(context.Background(), newCall("a"))
			assert.Equal(t, reply.Outcome, c.outcome)
			assert.Equal(t, reply.Reason, c.reason)
		})
	}
}

func TestTruncatedResponseFails(t *testing.T) {
	address := startRawTarget(t, func(connection net.Conn, _ *http.Request) {
		fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\nhalf")
		_ = connection.Close()
	})
	assert.Equal(t, newTestGuard(address).Run(context.Background(), newCall("a")).Outcome, peering.Failed)
}

func TestResponseWithoutLengthEndsWithConnection(t *testing.T) {
	address := startRawTarget(t, func(connection net.Conn, _ *http.Request) {
		fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\n\r\nwhole")
		_ = connection.Close()
	})
	reply := newTestGuard(address).Run(context.Background(), newCall("a"))
	assert.Equal(t, reply.Outcome, peering.Answered)
	assert.Equal(t, string(reply.Body), "whole")
}

// TestDuplicateResponseIsSkipped sends a second response to the first call on the
// connection before the response to the second call.
func TestDuplicateResponseIsSkipped(t *testing.T) {
	var requests atomic.Int32
	signedResponse := strings.Replace(okResponse, "sig", "signature of %s", 1)
	address := startRawTarget(t, func(connection net.Conn, request *http.Request) {
		if requests.Add(1) == 2 {
			fmt.Fprintf(connection, signedResponse, "first", "first")
		}
		id := request.Header.Get("X-Id")
		fmt.Fprintf(connection, signedResponse, id, id)
	})
	g := newTestGuard(address)
	assert.Equal(t, g.Run(context.Background(), newCall("first")).Outcome, peering.Answered)
	reply := g.Run(context.Background(), newCall("second"))
	assert.Equal(t, reply.Outcome, peering.Answered)
	assert.Equal(t, reply.Header.Get("X-Signature"), "signature of second")
	assert.Equal(t, reply.Header.Get("X-Id"), "", "the entry node restores the request ID")
}

func TestDrainRefusesQueuedCallsAndFinishesRunningOnes(t *testing.T) {
	release := make(chan struct{})
	address := startRawTarget(t, func(connection net.Conn, request *http.Request) {
		<-release
		fmt.Fprintf(connection, okResponse, request.Header.Get("X-Id"))
	})
	g := newTestGuard(address)
	g.SetTarget(newTarget(registry.Ready, 1))
	running, waiting := make(chan *peering.Reply, 1), make(chan *peering.Reply, 1)
	go func() { running <- g.Run(context.Background(), newCall("a")) }()
	awaitLoad(t, g, func(load peering.Load) bool { return load.InFlight == 1 })
	go func() { waiting <- g.Run(context.Background(), newCall("b")) }()
	awaitLoad(t, g, func(load peering.Load) bool { return load.Queued == 1 })
	g.SetTarget(newTarget(registry.Draining, 1))
	reply := <-waiting
	assert.Equal(t, reply.Outcome, peering.Refused)
	assert.Equal(t, reply.Reason, peering.TargetLeaving)
	assert.Equal(t, g.Run(context.Background(), newCall("c")).Reason, peering.TargetLeaving)
	close(release)
	assert.Equal(t, (<-running).Outcome, peering.Answered)
}

func awaitLoad(t *testing.T, g *Guard, accept func(peering.Load) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if accept(g.Load("r")) {
			return poll.Success()
		}
		return poll.Continue("load is %+v", g.Load("r"))
	}, poll.WithDelay(2*time.Millisecond))
}

func TestCanceledCallClosesTargetConnection(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer connection.Close()
		reader := bufio.NewReader(connection)
		_, _ = http.ReadRequest(reader)
		close(arrived)
		_, _ = reader.ReadByte()
		close(closed)
	}()
	g := newTestGuard(listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan *peering.Reply, 1)
	go func() { done <- g.Run(ctx, newCall("a")) }()
	// A call that is canceled before it is sent never reaches the target.
	<-arrived
	cancel()
	reply := <-done
	assert.Equal(t, reply.Reason, peering.CallCanceled)
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the target's connection stayed open")
	}
}

func TestRefusalsWithoutTarget(t *testing.T) {
	g := newTestGuard("127.0.0.1:1")
	other := newCall("a")
	other.Service = "another"
	assert.Equal(t, g.Run(context.Background(), other).Reason, peering.NoTarget)
	reply := g.Run(context.Background(), newCall("a"))
	assert.Equal(t, reply.Outcome, peering.Refused)
	assert.Equal(t, reply.Reason, peering.ConnectFailed)
	g.MarkStopping()
	reply = g.Run(context.Background(), newCall("a"))
	assert.Equal(t, reply.Reason, peering.ConnectFailed, "calls are still sent to the target, as this may be the last home")
	assert.Assert(t, reply.Load.Stopping)
	g.Close()
	assert.Equal(t, g.Run(context.Background(), newCall("b")).Reason, peering.Stopping)
}

// TestShutdownDeadlineAdmitsOnlyCallsThatFinishInTime sets a shutdown deadline by which
// calls of a route with a high latency may not have finished.
func TestShutdownDeadlineAdmitsOnlyCallsThatFinishInTime(t *testing.T) {
	address := startRawTarget(t, func(connection net.Conn, request *http.Request) {
		fmt.Fprintf(connection, okResponse, request.Header.Get("X-Id"))
	})
	g := newTestGuard(address)
	for range 10 {
		g.current.Load().stats.recordEnd("slow", &peering.Reply{Outcome: peering.Answered}, time.Second, time.Now())
	}
	run := func(route string) peering.Reason {
		call := newCall("a")
		call.Route = route
		return g.Run(context.Background(), call).Reason
	}
	g.SetShutdownDeadline(time.Now().Add(5 * time.Second))
	assert.Equal(t, run("quick"), peering.Reason(""))
	assert.Equal(t, run("slow"), peering.Stopping)
	g.SetShutdownDeadline(time.Now().Add(ending.SafeDuration(0) / 2))
	assert.Equal(t, run("quick"), peering.Stopping)
}

func TestRunningRequestsAreFoundByID(t *testing.T) {
	release := make(chan struct{})
	address := startRawTarget(t, func(connection net.Conn, request *http.Request) {
		<-release
		fmt.Fprintf(connection, okResponse, request.Header.Get("X-Id"))
	})
	g := newTestGuard(address)
	done := make(chan struct{})
	call := newCall("a")
	call.Rank = 300
	go func() {
		defer close(done)
		g.Run(context.Background(), call)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		running, found := g.Running("a")
		if !found {
			return poll.Continue("not running")
		}
		assert.Equal(t, running.Rank.Key(), uint16(300))
		assert.Equal(t, running.Route, "r")
		return poll.Success()
	}, poll.WithDelay(2*time.Millisecond))
	close(release)
	<-done
	_, found := g.Running("a")
	assert.Assert(t, !found)
	assert.Assert(t, !g.Abandoned("a"), "it was answered")
}

// TestRequestWithoutResponseIsAbandoned cancels a call while the target executes it.
func TestRequestWithoutResponseIsAbandoned(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address := startRawTarget(t, func(net.Conn, *http.Request) { <-release })
	g := newTestGuard(address)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx, newCall("a"))
	}()
	var requestContext context.Context
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		running, found := g.Running("a")
		if !found {
			return poll.Continue("not running")
		}
		requestContext = running.Context
		return poll.Success()
	}, poll.WithDelay(2*time.Millisecond))
	assert.NilError(t, requestContext.Err())
	assert.Assert(t, !g.Abandoned("a"))
	cancel()
	<-done
	assert.ErrorIs(t, requestContext.Err(), context.Canceled)
	assert.Assert(t, g.Abandoned("a"))
	assert.Assert(t, !g.Abandoned("b"))
}

func TestAbandonedRequestsExpire(t *testing.T) {
	var s abandonedSet
	now := time.Unix(1000, 0)
	s.add("a", now)
	s.add("b", now.Add(abandonedGeneration))
	assert.Assert(t, s.contains("a") && s.contains("b"))
	s.remove("a")
	assert.Assert(t, !s.contains("a"))
	s.add("c", now.Add(2*abandonedGeneration))
	s.add("d", now.Add(3*abandonedGeneration))
	assert.Assert(t, !s.contains("b"))
	for i := range 3 * maxAbandoned {
		s.add(strconv.Itoa(i), now)
	}
	assert.Assert(t, len(s.current)+len(s.previous) <= 2*maxAbandoned)
}

// TestCallIsNotSentAfterSuspensionPastDeadline simulates a machine that is suspended until
// after the deadline of a queued call. The target must not receive the call afterwards.
func TestCallIsNotSentAfterSuspensionPastDeadline(t *testing.T) {
	crashing := startCrashingTarget(t)
	g := newTestGuard(crashing.address())
	var suspended atomic.Int64
	g.now = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	g.SetTarget(newTarget(registry.Draining, 1))
	next := newTarget(registry.Ready, 1)
	next.ID = "i-2"
	g.SetTarget(next)
	first := runAll(g, newCallTo("a", "/a"))
	crashing.awaitArrivals(t, 1)
	second := runAll(g, newCallTo("b", "/b"))
	awaitLoad(t, g, func(load peering.Load) bool { return load.Queued == 1 })
	suspended.Store(int64(time.Minute))
	crashing.respond <- struct{}{}
	assert.Equal(t, (<-first).Outcome, peering.Answered)
	reply := <-second
	assert.Equal(t, reply.Outcome, peering.Refused)
	assert.Equal(t, reply.Reason, peering.WouldMissDeadline)
	assert.Equal(t, crashing.arrived.Load(), int32(1))
}

// TestQueuedCallIsGivenBackAtCurrentPace guards against a call that stays in the queue of a target
// that has become slow, or whose return counts as a failure of the home.
func TestQueuedCallIsGivenBackAtCurrentPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGuard("")
		inc := g.current.Load()
		inc.stats.recordEnd("r", &peering.Reply{Outcome: peering.Answered, Status: 200}, 40*time.Millisecond, time.Now())
		for range 2 {
			_, err := inc.scheduler.Acquire(t.Context(), scheduler.Request{})
			assert.NilError(t, err)
		}
		started := time.Now()
		time.AfterFunc(50*time.Millisecond, func() {
			inc.announcements.pace.Observe(pace.Report{Kind: pace.WithPace, Percent: 500}, time.Now())
			g.updateThreshold(0)
		})
		call := newCall("a")
		call.Alternative = 60 * time.Millisecond
		reply := g.Run(t.Context(), call)
		assert.Equal(t, reply.Reason, peering.EarlierElsewhere)
		assert.Equal(t, time.Since(started), 50*time.Millisecond)
		assert.Equal(t, reply.Outcome, peering.Refused)
		assert.Equal(t, reply.RetryAfter, time.Duration(0))
		assert.Equal(t, reply.Load.FailurePercent, 0)
	})
}
