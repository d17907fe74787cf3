package guard

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/registry"
)

// crashingTarget is a target that blocks requests until the test makes it respond or crash.
type crashingTarget struct {
	listener net.Listener
	respond  chan struct{}
	arrived  atomic.Int32
	// maxOpen is the maximum number of concurrent requests.
	open, maxOpen atomic.Int32
	mutex         sync.Mutex
	connections   []net.Conn
}

func startCrashingTarget(t *testing.T) *crashingTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := &crashingTarget{listener: listener, respond: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(target.serve), ConnState: func(connection net.Conn, state http.ConnState) {
		if state == http.StateNew {
			target.mutex.Lock()
			target.connections = append(target.connections, connection)
			target.mutex.Unlock()
		}
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return target
}

func (c *crashingTarget) serve(w http.ResponseWriter, r *http.Request) {
	c.mutex.Lock()
	c.maxOpen.Store(max(c.maxOpen.Load(), c.open.Add(1)))
	c.mutex.Unlock()
	defer c.open.Add(-1)
	// A request that has arrived must already be open: the test lets the target respond once all
	// requests have arrived.
	c.arrived.Add(1)
	select {
	case <-c.respond:
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signature", "sig")
	_, _ = fmt.Fprint(w, "ok")
}

// crash closes the listener and all connections, as happens when a process exits.
func (c *crashingTarget) crash() {
	_ = c.listener.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, connection := range c.connections {
		_ = connection.Close()
	}
}

func (c *crashingTarget) address() string { return c.listener.Addr().String() }

// awaitArrivals waits until the target has received the given number of requests.
func (c *crashingTarget) awaitArrivals(t *testing.T, count int32) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if arrived := c.arrived.Load(); arrived < count {
			return poll.Continue("%d of %d requests arrived", arrived, count)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// runAll runs calls concurrently.
func runAll(g *Guard, calls ...*peering.Call) <-chan *peering.Reply {
	replies := make(chan *peering.Reply, len(calls))
	for _, call := range calls {
		go func() { replies <- g.Run(context.Background(), call) }()
	}
	return replies
}

func newCallTo(id, uri string) *peering.Call {
	call := newCall(id)
	call.URI = uri
	return call
}

// quarantineStateOf returns the quarantine state of requests with the URI.
func quarantineStateOf(g *Guard, uri string) quarantine.State {
	return g.config.Quarantine.State(newCallTo("", uri).Fingerprint())
}

func TestCrashIsDistinguishedFromBrokenConnection(t *testing.T) {
	t.Run("crash", func(t *testing.T) {
		target := startCrashingTarget(t)
		g := newTestGuard(target.address())
		replies := runAll(g, newCallTo("a", "/a"), newCallTo("b", "/b"))
		target.awaitArrivals(t, 2)
		target.crash()
		for range 2 {
			reply := <-replies
			assert.Equal(t, reply.Outcome, peering.Failed)
			assert.Equal(t, reply.Reason, peering.TargetCrashed)
			assert.Equal(t, reply.Crashes, 1)
		}
		assert.Equal(t, quarantineStateOf(g, "/a").Crashes, 1)
		assert.Equal(t, quarantineStateOf(g, "/b").Crashes, 1)
		assert.Equal(t, g.Run(context.Background(), newCallTo("c", "/c")).Reason, peering.NoTarget, "a crashed target gets no more calls")
	})
	t.Run("broken connection", func(t *testing.T) {
		g := newTestGuard(startRawTarget(t, func(connection net.Conn, _ *http.Request) { _ = connection.Close() }))
		reply := g.Run(context.Background(), newCallTo("a", "/a"))
		assert.Equal(t, reply.Reason, peering.ExchangeBroken)
		assert.Equal(t, reply.Crashes, 0)
		assert.Assert(t, g.config.Quarantine.Empty())
	})
	t.Run("planned end", func(t *testing.T) {
		crashing := startCrashingTarget(t)
		g := newTestGuard(crashing.address())
		replies := runAll(g, newCallTo("a", "/a"))
		crashing.awaitArrivals(t, 1)
		g.SetTarget(newTarget(registry.Draining, 2))
		crashing.crash()
		assert.Equal(t, (<-replies).Reason, peering.ExchangeBroken)
		next := newTarget(registry.Ready, 2)
		next.ID = "i-2"
		g.SetTarget(next)
		assert.Assert(t, g.config.Quarantine.Empty())
	})
}

// startTargetWithLastResponse starts a target that crashes when it receives /deadly, and responds
// a millisecond later to the request that it received before, like a response that is still
// buffered at the crash. The channel is closed when the first request has arrived.
func startTargetWithLastResponse(t *testing.T) (address string, arrived <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	received, crashed := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/deadly" {
			_ = listener.Close()
			close(crashed)
			panic(http.ErrAbortHandler)
		}
		close(received)
		<-crashed
		time.Sleep(time.Millisecond)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signature", "sig")
		w.Header().Set("Connection", "close")
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), received
}

// TestResponseWrittenBeforeCrashIsNoSignOfLife guards against a crash that is not reported: a
// response that was written before the crash and read after the broken call counted as a sign of
// life, so that the query of death crashed one more target.
func TestResponseWrittenBeforeCrashIsNoSignOfLife(t *testing.T) {
	address, arrived := startTargetWithLastResponse(t)
	g := newTestGuard(address)
	other := runAll(g, newCallTo("a", "/other"))
	<-arrived
	reply := g.Run(context.Background(), newCallTo("b", "/deadly"))
	assert.Equal(t, reply.Reason, peering.TargetCrashed)
	assert.Equal(t, reply.Crashes, 1)
	assert.Equal(t, (<-other).Outcome, peering.Answered)
	assert.Equal(t, quarantineStateOf(g, "/deadly").Crashes, 1)
	assert.Equal(t, g.Run(context.Background(), newCallTo("c", "/c")).Reason, peering.NoTarget, "the response does not make the target reachable")
}

// TestLaterResponseRevokesCrash guards against a target that stays marked as crashed although it
// lives: it may have refused the probe's connection for lack of capacity.
func TestLaterResponseRevokesCrash(t *testing.T) {
	var detector crashDetector
	broken := time.Now()
	detector.markCrashed(broken)
	assert.Assert(t, !detector.recordResponse(broken.Add(-time.Millisecond)) && detector.hasCrashed(), "the call was sent before the crash")
	assert.Assert(t, detector.recordResponse(broken.Add(time.Millisecond)) && !detector.hasCrashed())
	assert.Assert(t, detector.recordResponse(broken.Add(-time.Millisecond)), "the target is not marked as crashed")
	assert.Assert(t, detector.aliveAfter(broken) && !detector.aliveAfter(broken.Add(time.Millisecond)))
}

// TestReplacementTargetRevealsCrash covers a target that crashes and whose replacement
// accepts connections at the same address before the probe, so that the probe succeeds. The
// crash must be reported when the replacement registers.
func TestReplacementTargetRevealsCrash(t *testing.T) {
	g := newTestGuard(startRawTarget(t, func(connection net.Conn, _ *http.Request) { _ = connection.Close() }))
	assert.Equal(t, g.Run(context.Background(), newCallTo("a", "/a")).Reason, peering.ExchangeBroken)
	next := newTarget(registry.Ready, 2)
	next.ID = "i-2"
	g.SetTarget(next)
	assert.Equal(t, quarantineStateOf(g, "/a").Crashes, 1)
}

// addSuspect records the given number of crashes for requests with the URI.
func addSuspect(g *Guard, uri string, crashes int) {
	g.config.Quarantine.RecordCrash("earlier-"+uri, []quarantine.Call{{Fingerprint: newCallTo("", uri).Fingerprint(), Crashes: crashes}})
}

func TestQuarantinedCallDoesNotReachTarget(t *testing.T) {
	target := startCrashingTarget(t)
	close(target.respond)
	g := newTestGuard(target.address())
	addSuspect(g, "/deadly", 3)
	reply := g.Run(context.Background(), newCallTo("a", "/deadly"))
	assert.Equal(t, reply.Outcome, peering.Refused)
	assert.Equal(t, reply.Reason, peering.Quarantined)
	assert.Assert(t, reply.RetryAfter > 0)
	assert.Equal(t, target.arrived.Load(), int32(0))
	assert.Equal(t, g.Run(context.Background(), newCallTo("b", "/harmless")).Outcome, peering.Answered)
}

// TestQuarantineCancelsRunningRequest quarantines a request while the target executes it.
func TestQuarantineCancelsRunningRequest(t *testing.T) {
	target := startCrashingTarget(t)
	g := newTestGuard(target.address())
	replies := runAll(g, newCallTo("a", "/deadly"))
	target.awaitArrivals(t, 1)
	g.CancelQuarantined(newCallTo("", "/other").Fingerprint())
	g.CancelQuarantined(newCallTo("", "/deadly").Fingerprint())
	reply := <-replies
	assert.Equal(t, reply.Outcome, peering.Failed, "the request was sent to the target")
	assert.Equal(t, reply.Reason, peering.Quarantined)
}

// TestSuspectsAreSerialized starts two suspect calls at the same time. After one crash, calls
// of the same request must not overlap; after two, no two suspects may overlap.
func TestSuspectsAreSerialized(t *testing.T) {
	cases := []struct {
		name        string
		crashes     int
		first, next string
		concurrent  bool
	}{
		{"one crash, same request", 1, "/a", "/a", false},
		{"one crash, other request", 1, "/a", "/b", true},
		{"two crashes, other request", 2, "/a", "/b", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := startCrashingTarget(t)
			g := newTestGuard(target.address())
			addSuspect(g, "/a", c.crashes)
			addSuspect(g, "/b", c.crashes)
			replies := runAll(g, newCallTo("1", c.first), newCallTo("2", c.next))
			if c.concurrent {
				target.awaitArrivals(t, 2)
				close(target.respond)
			} else {
				target.awaitArrivals(t, 1)
				target.respond <- struct{}{}
				target.awaitArrivals(t, 2)
				close(target.respond)
			}
			for range 2 {
				assert.Equal(t, (<-replies).Outcome, peering.Answered)
			}
			assert.Equal(t, target.maxOpen.Load() == 2, c.concurrent)
			assert.Assert(t, !quarantineStateOf(g, c.first).Suspected(), "a response clears the request")
		})
	}
}

// TestSuspectWaitIsBoundedByMaxWait holds the suspect lock for longer than the maximum queue
// time of a second call.
func TestSuspectWaitIsBoundedByMaxWait(t *testing.T) {
	target := startCrashingTarget(t)
	g := newTestGuard(target.address())
	addSuspect(g, "/a", 1)
	replies := runAll(g, newCallTo("1", "/a"))
	target.awaitArrivals(t, 1)
	waiting := newCallTo("2", "/a")
	waiting.MaxWait = 20 * time.Millisecond
	assert.Equal(t, g.Run(context.Background(), waiting).Reason, peering.QueueTimeout)
	close(target.respond)
	assert.Equal(t, (<-replies).Outcome, peering.Answered)
}

// TestRecentlyAnsweredRequestIsNotSuspected guards against quarantining a harmless request
// that all callers send. In a run of real processes such a request was refused for a minute:
// it was open each time a query of death crashed the local target, and no target was left to
// answer it, which would have cleared it. Without the exemption, the crash in the first case
// makes the request a suspect.
func TestRecentlyAnsweredRequestIsNotSuspected(t *testing.T) {
	cases := []struct {
		name          string
		answeredFirst bool
		crashes       int
	}{{"answered before", true, 0}, {"never answered", false, 1}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := startCrashingTarget(t)
			g := newTestGuard(target.address())
			if c.answeredFirst {
				first := runAll(g, newCallTo("0", "/popular"))
				target.awaitArrivals(t, 1)
				target.respond <- struct{}{}
				assert.Equal(t, (<-first).Outcome, peering.Answered)
			}
			replies := runAll(g, newCallTo("a", "/popular"), newCallTo("b", "/popular"))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if target.open.Load() < 2 {
					return poll.Continue("%d requests open", target.open.Load())
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))
			target.crash()
			for range 2 {
				reply := <-replies
				assert.Equal(t, reply.Reason, peering.TargetCrashed)
				assert.Equal(t, reply.Crashes, c.crashes)
			}
			assert.Equal(t, quarantineStateOf(g, "/popular").Crashes, c.crashes)
		})
	}
}

// TestResponseExemptsRequestOnce checks that a response exempts a request from suspicion for
// one crash only, because a request may start to crash targets after it was answered.
func TestResponseExemptsRequestOnce(t *testing.T) {
	var answered answeredSet
	hash := newCallTo("", "/popular").Fingerprint()
	now := time.Now()
	answered.add(hash, now)
	assert.Assert(t, answered.consume(hash))
	assert.Assert(t, !answered.consume(hash))
	answered.add(hash, now)
	for i := range 2 * maxAnswered {
		answered.add(newCallTo("", fmt.Sprint("/", i)).Fingerprint(), now)
	}
	assert.Assert(t, !answered.consume(hash), "the size of the set is limited")
	assert.Assert(t, len(answered.current)+len(answered.previous) <= 2*maxAnswered)
}
