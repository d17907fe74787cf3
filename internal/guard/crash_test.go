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

// crashingTarget holds requests until it is told to answer them or to crash.
type crashingTarget struct {
	listener net.Listener
	answer   chan struct{}
	arrived  atomic.Int32
	// most is the greatest number of requests that it held at once.
	open, most  atomic.Int32
	mutex       sync.Mutex
	connections []net.Conn
}

func startCrashingTarget(t *testing.T) *crashingTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := &crashingTarget{listener: listener, answer: make(chan struct{})}
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
	c.arrived.Add(1)
	c.most.Store(max(c.most.Load(), c.open.Add(1)))
	defer c.open.Add(-1)
	select {
	case <-c.answer:
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signature", "sig")
	_, _ = fmt.Fprint(w, "ok")
}

// crash closes the listener and all connections.
func (c *crashingTarget) crash() {
	_ = c.listener.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, connection := range c.connections {
		_ = connection.Close()
	}
}

func (c *crashingTarget) address() string { return c.listener.Addr().String() }

// awaitArrivals waits until so many requests came.
func (c *crashingTarget) awaitArrivals(t *testing.T, count int32) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if arrived := c.arrived.Load(); arrived < count {
			return poll.Continue("%d of %d came", arrived, count)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// runAll has the guard run calls side by side.
func runAll(g *Guard, calls ...*peering.Call) <-chan *peering.Reply {
	replies := make(chan *peering.Reply, len(calls))
	for _, sent := range calls {
		go func() { replies <- g.Run(context.Background(), sent) }()
	}
	return replies
}

func callTo(id, uri string) *peering.Call {
	sent := call(id)
	sent.URI = uri
	return sent
}

// standingOf returns what the guard knows of requests to the address.
func standingOf(g *Guard, uri string) quarantine.Standing {
	return g.config.Quarantine.Standing(callTo("", uri).Fingerprint())
}

func TestACrashIsToldFromABrokenConnection(t *testing.T) {
	t.Run("crash", func(t *testing.T) {
		target := startCrashingTarget(t)
		g := guardOf(target.address())
		replies := runAll(g, callTo("a", "/a"), callTo("b", "/b"))
		target.awaitArrivals(t, 2)
		target.crash()
		for range 2 {
			reply := <-replies
			assert.Equal(t, reply.Outcome, peering.Failed)
			assert.Equal(t, reply.Reason, peering.TargetCrashed)
			assert.Equal(t, reply.Crashes, 1)
		}
		assert.Equal(t, standingOf(g, "/a").Crashes, 1)
		assert.Equal(t, standingOf(g, "/b").Crashes, 1)
		assert.Equal(t, g.Run(context.Background(), callTo("c", "/c")).Reason, peering.NoTarget, "nothing more is sent there")
	})
	t.Run("broken connection", func(t *testing.T) {
		g := guardOf(rawTarget(t, func(connection net.Conn, _ *http.Request) { _ = connection.Close() }))
		reply := g.Run(context.Background(), callTo("a", "/a"))
		assert.Equal(t, reply.Reason, peering.ExchangeBroken)
		assert.Equal(t, reply.Crashes, 0)
		assert.Assert(t, g.config.Quarantine.Empty())
	})
	t.Run("planned end", func(t *testing.T) {
		crashing := startCrashingTarget(t)
		g := guardOf(crashing.address())
		replies := runAll(g, callTo("a", "/a"))
		crashing.awaitArrivals(t, 1)
		g.SetTarget(target(registry.Draining, 2))
		crashing.crash()
		assert.Equal(t, (<-replies).Reason, peering.ExchangeBroken)
		next := target(registry.Ready, 2)
		next.ID = "i-2"
		g.SetTarget(next)
		assert.Assert(t, g.config.Quarantine.Empty())
	})
}

// TestATargetInTheOtherOnesPlaceTellsOfACrash has a target fall over whose connections
// break while something takes new ones at its address, as a successor does.
func TestATargetInTheOtherOnesPlaceTellsOfACrash(t *testing.T) {
	g := guardOf(rawTarget(t, func(connection net.Conn, _ *http.Request) { _ = connection.Close() }))
	assert.Equal(t, g.Run(context.Background(), callTo("a", "/a")).Reason, peering.ExchangeBroken)
	next := target(registry.Ready, 2)
	next.ID = "i-2"
	g.SetTarget(next)
	assert.Equal(t, standingOf(g, "/a").Crashes, 1)
}

// suspect has the guard know of so many crashes under requests to the address.
func suspect(g *Guard, uri string, crashes int) {
	g.config.Quarantine.Crashed("earlier-"+uri, []quarantine.OpenCall{{Fingerprint: callTo("", uri).Fingerprint(), Crashes: crashes}})
}

func TestAQuarantinedCallDoesNotReachTheTarget(t *testing.T) {
	target := startCrashingTarget(t)
	close(target.answer)
	g := guardOf(target.address())
	suspect(g, "/deadly", 3)
	reply := g.Run(context.Background(), callTo("a", "/deadly"))
	assert.Equal(t, reply.Outcome, peering.Refused)
	assert.Equal(t, reply.Reason, peering.Quarantined)
	assert.Assert(t, reply.RetryAfter > 0)
	assert.Equal(t, target.arrived.Load(), int32(0))
	assert.Equal(t, g.Run(context.Background(), callTo("b", "/harmless")).Outcome, peering.Answered)
}

// TestAVerdictWithdrawsWhatIsUnderWay has a request be quarantined while the target works
// on it.
func TestAVerdictWithdrawsWhatIsUnderWay(t *testing.T) {
	target := startCrashingTarget(t)
	g := guardOf(target.address())
	replies := runAll(g, callTo("a", "/deadly"))
	target.awaitArrivals(t, 1)
	g.CancelQuarantined(callTo("", "/other").Fingerprint())
	g.CancelQuarantined(callTo("", "/deadly").Fingerprint())
	reply := <-replies
	assert.Equal(t, reply.Outcome, peering.Failed, "it has run")
	assert.Equal(t, reply.Reason, peering.Quarantined)
}

// TestSuspectsRunOneAfterTheOther has tries of one suspect and of another come together:
// after one crash no request runs beside itself, after two no suspect beside another.
func TestSuspectsRunOneAfterTheOther(t *testing.T) {
	cases := []struct {
		name        string
		crashes     int
		first, next string
		sideBySide  bool
	}{
		{"one crash, same request", 1, "/a", "/a", false},
		{"one crash, other request", 1, "/a", "/b", true},
		{"two crashes, other request", 2, "/a", "/b", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := startCrashingTarget(t)
			g := guardOf(target.address())
			suspect(g, "/a", c.crashes)
			suspect(g, "/b", c.crashes)
			replies := runAll(g, callTo("1", c.first), callTo("2", c.next))
			if c.sideBySide {
				target.awaitArrivals(t, 2)
				close(target.answer)
			} else {
				target.awaitArrivals(t, 1)
				target.answer <- struct{}{}
				target.awaitArrivals(t, 2)
				close(target.answer)
			}
			for range 2 {
				assert.Equal(t, (<-replies).Outcome, peering.Answered)
			}
			assert.Equal(t, target.most.Load() == 2, c.sideBySide)
			assert.Assert(t, !standingOf(g, c.first).Suspected(), "an answer clears it")
		})
	}
}

// TestASuspectWaitsNoLongerThanForRoom has the turn before not end.
func TestASuspectWaitsNoLongerThanForRoom(t *testing.T) {
	target := startCrashingTarget(t)
	g := guardOf(target.address())
	suspect(g, "/a", 1)
	replies := runAll(g, callTo("1", "/a"))
	target.awaitArrivals(t, 1)
	waiting := callTo("2", "/a")
	waiting.MaxWait = 20 * time.Millisecond
	assert.Equal(t, g.Run(context.Background(), waiting).Reason, peering.QueueTimeout)
	close(target.answer)
	assert.Equal(t, (<-replies).Outcome, peering.Answered)
}

// TestARequestThatWasAnsweredLatelyIsNoSuspect tells of a run of real processes in which a
// request that all callers send alike was refused for a minute, as it was open each time a
// query of death crashed a target beside the node, and no target was left to answer it.
// Without the mend the last crash of the first case makes it a suspect.
func TestARequestThatWasAnsweredLatelyIsNoSuspect(t *testing.T) {
	cases := []struct {
		name          string
		answeredFirst bool
		crashes       int
	}{{"answered before", true, 0}, {"never answered", false, 1}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := startCrashingTarget(t)
			g := guardOf(target.address())
			if c.answeredFirst {
				first := runAll(g, callTo("0", "/popular"))
				target.awaitArrivals(t, 1)
				target.answer <- struct{}{}
				assert.Equal(t, (<-first).Outcome, peering.Answered)
			}
			replies := runAll(g, callTo("a", "/popular"), callTo("b", "/popular"))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if target.open.Load() < 2 {
					return poll.Continue("%d open", target.open.Load())
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))
			target.crash()
			for range 2 {
				reply := <-replies
				assert.Equal(t, reply.Reason, peering.TargetCrashed)
				assert.Equal(t, reply.Crashes, c.crashes)
			}
			assert.Equal(t, standingOf(g, "/popular").Crashes, c.crashes)
		})
	}
}

// TestAnAnswerSparesARequestOnce has targets crash under a request twice that one had
// answered before: it may crash them from some moment on.
func TestAnAnswerSparesARequestOnce(t *testing.T) {
	var answered answeredSet
	hash := callTo("", "/popular").Fingerprint()
	now := time.Now()
	answered.add(hash, now)
	assert.Assert(t, answered.spend(hash))
	assert.Assert(t, !answered.spend(hash))
	answered.add(hash, now)
	for i := range 2 * maxAnswered {
		answered.add(callTo("", fmt.Sprint("/", i)).Fingerprint(), now)
	}
	assert.Assert(t, !answered.spend(hash), "what is remembered is bounded")
	assert.Assert(t, len(answered.recent)+len(answered.earlier) <= 2*maxAnswered)
}
