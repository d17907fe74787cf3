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
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/internal/callheader"
	"github.com/lugspur/lugspur/internal/ending"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/shed"
)

var names = callheader.Names{RequestID: "X-Id", DeadlineMillis: "X-Deadline", Caller: "X-Caller", ExpectInstance: "X-Expect",
	Instance: "X-Instance", Signature: "X-Signature", NotExecuted: "X-Not-Executed", Load: "X-Load"}

// rawTarget answers each request by a function that writes bytes.
func rawTarget(t *testing.T, answer func(connection net.Conn, request *http.Request)) string {
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
					answer(connection, request)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func guardOf(address string) *Guard {
	g := New(Config{
		Service:        "s",
		Address:        address,
		Headers:        names,
		SlotShare:      1,
		MaxQueue:       16,
		MaxBuffered:    1 << 20,
		MaxConnections: func() int { return 100 },
		Downstream:     func(string) pressure.Level { return pressure.Level{Threshold: shed.None} },
		Quarantine:     quarantine.New(quarantine.Config{Now: time.Now}),
	}, nil, time.Now)
	g.SetTarget(target(registry.Ready, 2))
	return g
}

func target(state registry.State, slots int) registry.Target {
	return registry.Target{ID: "i-1", Service: "s", Slots: slots, State: state}
}

func call(id string) *peering.Call {
	return &peering.Call{Service: "s", RequestID: id, Method: "GET", URI: "/p/x?y", Host: "a.example", Header: http.Header{"X-Kept": {"1"}},
		Remaining: 5 * time.Second, Caller: "caller", Route: "r", MaxWait: 5 * time.Second}
}

const good = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: sig\r\nContent-Length: 2\r\n\r\nok"

func TestAnAnswerComesBackWhole(t *testing.T) {
	address := rawTarget(t, func(connection net.Conn, request *http.Request) {
		assert.Equal(t, request.Host, "a.example")
		assert.Equal(t, request.RequestURI, "/p/x?y")
		assert.Equal(t, request.Header.Get("X-Expect"), "i-1")
		assert.Equal(t, request.Header.Get("X-Caller"), "caller")
		assert.Equal(t, request.Header.Get("X-Kept"), "1")
		assert.Assert(t, request.Header.Get("X-Deadline") != "")
		fmt.Fprintf(connection, good, request.Header.Get("X-Id"))
	})
	reply := guardOf(address).Run(context.Background(), call("a"))
	assert.Equal(t, reply.Outcome, peering.Answered)
	assert.Equal(t, string(reply.Body), "ok")
	assert.Equal(t, reply.Load.Limit, 2)
}

// TestAnswersOfTargets states for each answer of a target what the call's
// outcome is: an answer that may not be passed on has run, or may have, unless
// the target itself says otherwise.
func TestAnswersOfTargets(t *testing.T) {
	cases := []struct {
		name, answer string
		outcome      peering.Outcome
		reason       peering.Reason
	}{
		{"own failure", "HTTP/1.1 500 Oops\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n", peering.Answered, ""},
		{"full", "HTTP/1.1 503 Full\r\nX-Id: a\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", peering.Refused, peering.TargetFull},
		{"another target", "HTTP/1.1 421 Other\r\nX-Id: a\r\nX-Instance: i-2\r\nContent-Length: 0\r\n\r\n", peering.Refused, peering.Misdirected},
		{"no signature", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok", peering.Failed, peering.InvalidResponse},
		{"no id", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok", peering.Failed, peering.InvalidResponse},
		{"encoded", "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", peering.Failed, peering.InvalidResponse},
		{"not HTTP", "hello\r\n\r\n", peering.Failed, peering.ExchangeBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := rawTarget(t, func(connection net.Conn, _ *http.Request) { fmt.Fprint(connection, c.answer) })
			reply := guardOf(address).Run(context.Background(), call("a"))
			assert.Equal(t, reply.Outcome, c.outcome)
			assert.Equal(t, reply.Reason, c.reason)
		})
	}
}

func TestACutAnswerIsNotComplete(t *testing.T) {
	address := rawTarget(t, func(connection net.Conn, _ *http.Request) {
		fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\nhalf")
		_ = connection.Close()
	})
	assert.Equal(t, guardOf(address).Run(context.Background(), call("a")).Outcome, peering.Failed)
}

func TestAnAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	address := rawTarget(t, func(connection net.Conn, _ *http.Request) {
		fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\n\r\nwhole")
		_ = connection.Close()
	})
	reply := guardOf(address).Run(context.Background(), call("a"))
	assert.Equal(t, reply.Outcome, peering.Answered)
	assert.Equal(t, string(reply.Body), "whole")
}

// TestALateSurplusAnswerIsPassedOver sends a second answer to the first call in
// the place where the answer to the second call is due.
func TestALateSurplusAnswerIsPassedOver(t *testing.T) {
	var requests atomic.Int32
	signed := strings.Replace(good, "sig", "signature of %s", 1)
	address := rawTarget(t, func(connection net.Conn, request *http.Request) {
		if requests.Add(1) == 2 {
			fmt.Fprintf(connection, signed, "first", "first")
		}
		id := request.Header.Get("X-Id")
		fmt.Fprintf(connection, signed, id, id)
	})
	g := guardOf(address)
	assert.Equal(t, g.Run(context.Background(), call("first")).Outcome, peering.Answered)
	reply := g.Run(context.Background(), call("second"))
	assert.Equal(t, reply.Outcome, peering.Answered)
	assert.Equal(t, reply.Header.Get("X-Signature"), "signature of second")
	assert.Equal(t, reply.Header.Get("X-Id"), "", "the caller's node knows it")
}

func TestADrainRefusesWhatWaitsAndLetsTheRestEnd(t *testing.T) {
	release := make(chan struct{})
	address := rawTarget(t, func(connection net.Conn, request *http.Request) {
		<-release
		fmt.Fprintf(connection, good, request.Header.Get("X-Id"))
	})
	g := guardOf(address)
	g.SetTarget(target(registry.Ready, 1))
	running, waiting := make(chan *peering.Reply, 1), make(chan *peering.Reply, 1)
	go func() { running <- g.Run(context.Background(), call("a")) }()
	awaitLoad(t, g, func(load peering.Load) bool { return load.InFlight == 1 })
	go func() { waiting <- g.Run(context.Background(), call("b")) }()
	awaitLoad(t, g, func(load peering.Load) bool { return load.Queued == 1 })
	g.SetTarget(target(registry.Draining, 1))
	reply := <-waiting
	assert.Equal(t, reply.Outcome, peering.Refused)
	assert.Equal(t, reply.Reason, peering.TargetLeaving)
	assert.Equal(t, g.Run(context.Background(), call("c")).Reason, peering.TargetLeaving)
	close(release)
	assert.Equal(t, (<-running).Outcome, peering.Answered)
}

func awaitLoad(t *testing.T, g *Guard, accept func(peering.Load) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if accept(g.Load("r")) {
			return poll.Success()
		}
		return poll.Continue("load %+v", g.Load("r"))
	}, poll.WithDelay(2*time.Millisecond))
}

func TestAWithdrawnCallClosesTheTargetsConnection(t *testing.T) {
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
	g := guardOf(listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan *peering.Reply, 1)
	go func() { done <- g.Run(ctx, call("a")) }()
	// A call that is withdrawn before it is sent reaches no target at all.
	<-arrived
	cancel()
	reply := <-done
	assert.Equal(t, reply.Reason, peering.CallerLeft)
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the target's connection stayed open")
	}
}

func TestRefusalsWithoutATarget(t *testing.T) {
	g := guardOf("127.0.0.1:1")
	other := call("a")
	other.Service = "another"
	assert.Equal(t, g.Run(context.Background(), other).Reason, peering.NoTarget)
	reply := g.Run(context.Background(), call("a"))
	assert.Equal(t, reply.Outcome, peering.Refused)
	assert.Equal(t, reply.Reason, peering.ConnectFailed)
	g.MarkStopping()
	reply = g.Run(context.Background(), call("a"))
	assert.Equal(t, reply.Reason, peering.ConnectFailed, "it is offered to the target, as this may be the last home")
	assert.Assert(t, reply.Load.Stopping)
	g.Close()
	assert.Equal(t, g.Run(context.Background(), call("b")).Reason, peering.Stopping)
}

// TestBeforeItsEndAGuardAdmitsWhatIsSureToEnd has the guard know that calls of one
// route take long, and an end that only quick calls are sure to meet.
func TestBeforeItsEndAGuardAdmitsWhatIsSureToEnd(t *testing.T) {
	address := rawTarget(t, func(connection net.Conn, request *http.Request) {
		fmt.Fprintf(connection, good, request.Header.Get("X-Id"))
	})
	g := guardOf(address)
	for range 10 {
		g.current.Load().record.ended("slow", &peering.Reply{Outcome: peering.Answered}, time.Second, time.Now())
	}
	run := func(route string) peering.Reason {
		c := call("a")
		c.Route = route
		return g.Run(context.Background(), c).Reason
	}
	g.SetStopDeadline(time.Now().Add(5 * time.Second))
	assert.Equal(t, run("quick"), peering.Reason(""))
	assert.Equal(t, run("slow"), peering.Stopping)
	g.SetStopDeadline(time.Now().Add(ending.SafeDuration(0) / 2))
	assert.Equal(t, run("quick"), peering.Stopping)
}

func TestRunningRequestsAreKnownByTheirIDs(t *testing.T) {
	release := make(chan struct{})
	address := rawTarget(t, func(connection net.Conn, request *http.Request) {
		<-release
		fmt.Fprintf(connection, good, request.Header.Get("X-Id"))
	})
	g := guardOf(address)
	done := make(chan struct{})
	sent := call("a")
	sent.Rank = 300
	go func() {
		defer close(done)
		g.Run(context.Background(), sent)
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

// TestARequestWithoutAnswerIsAbandoned has a caller leave while the target works on.
func TestARequestWithoutAnswerIsAbandoned(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address := rawTarget(t, func(net.Conn, *http.Request) { <-release })
	g := guardOf(address)
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx, call("a"))
	}()
	var wanted context.Context
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		running, found := g.Running("a")
		if !found {
			return poll.Continue("not running")
		}
		wanted = running.Context
		return poll.Success()
	}, poll.WithDelay(2*time.Millisecond))
	assert.NilError(t, wanted.Err())
	assert.Assert(t, !g.Abandoned("a"))
	leave()
	<-done
	assert.ErrorIs(t, wanted.Err(), context.Canceled)
	assert.Assert(t, g.Abandoned("a"))
	assert.Assert(t, !g.Abandoned("b"))
}

func TestAbandonedRequestsAreForgotten(t *testing.T) {
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
	assert.Assert(t, len(s.recent)+len(s.earlier) <= 2*maxAbandoned)
}

// TestNothingIsSentAfterASuspensionThatPassedTheDeadline has the machine be suspended while
// a call waits for room: the target must not get it once its time is over.
func TestNothingIsSentAfterASuspensionThatPassedTheDeadline(t *testing.T) {
	crashing := startCrashingTarget(t)
	g := guardOf(crashing.address())
	var suspended atomic.Int64
	g.now = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	g.SetTarget(target(registry.Draining, 1))
	next := target(registry.Ready, 1)
	next.ID = "i-2"
	g.SetTarget(next)
	first := runAll(g, callTo("a", "/a"))
	crashing.awaitArrivals(t, 1)
	second := runAll(g, callTo("b", "/b"))
	awaitLoad(t, g, func(load peering.Load) bool { return load.Queued == 1 })
	suspended.Store(int64(time.Minute))
	crashing.answer <- struct{}{}
	assert.Equal(t, (<-first).Outcome, peering.Answered)
	reply := <-second
	assert.Equal(t, reply.Outcome, peering.Refused)
	assert.Equal(t, reply.Reason, peering.Late)
	assert.Equal(t, crashing.arrived.Load(), int32(1))
}
