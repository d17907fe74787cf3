package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/shed"
)

// reporting answers calls and tells a load.
func reporting(load peering.Load) func(context.Context, *peering.Call) *peering.Reply {
	load.Limit = 10
	load.Threshold = shed.None
	return func(ctx context.Context, call *peering.Call) *peering.Reply {
		reply := answered(ctx, call)
		reply.Load = load
		return reply
	}
}

// acquaint sends requests of the path until the forwarder has heard of both homes.
func (f *fixture) acquaint(t *testing.T, path string) {
	t.Helper()
	for i := 0; f.homes[0].count() == 0 || f.homes[1].count() == 0; i++ {
		assert.Assert(t, i < 200, "one home is never chosen")
		f.do("GET", path, "warm", "")
	}
}

func TestAStoppingHomeIsUsedOnlyWhereNoOtherIsLeft(t *testing.T) {
	f := newFixture(t, reporting(peering.Load{Latency: time.Millisecond, Stopping: true}), reporting(peering.Load{Latency: 2 * time.Millisecond}))
	f.acquaint(t, "/read/x")
	before := f.homes[0].count()
	for range 20 {
		assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, 200)
	}
	assert.Equal(t, f.homes[0].count(), before)
	f.homes[1].answer = refusing(peering.TargetLeaving)
	assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, 200, "the last home left still serves")
}

// TestAOnceRequestAvoidsAHomeThatIsSlowOnOtherRoutes has one home tell that calls
// of another route take ten times as long there.
func TestAOnceRequestAvoidsAHomeThatIsSlowOnOtherRoutes(t *testing.T) {
	f := newFixture(t, reporting(peering.Load{Latency: 20 * time.Millisecond}), reporting(peering.Load{Latency: 2 * time.Millisecond}))
	f.acquaint(t, "/read/x")
	f.homes[1].answer = reporting(peering.Load{Latency: 2 * time.Millisecond})
	// Reports come once the common latency is known.
	for range 5 {
		f.do("GET", "/read/x", "a", "")
	}
	now := time.Now()
	for _, home := range f.homes {
		home.calls = nil
	}
	states := f.forwarder.homes.all()
	for _, state := range states {
		if state.load.Latency == 20*time.Millisecond {
			state.report("read", state.load, 2*time.Millisecond, now)
		}
	}
	for range 20 {
		assert.Equal(t, f.do("POST", "/once/x", "b", "").Code, 200)
	}
	assert.Equal(t, f.homes[0].count(), 0, "the slow home got requests that must not run twice")
}

// TestAOnceRequestIsRefusedWhereItWouldRunInVain has the only home take longer
// than the route allows: the request is refused, not run, and told when to come
// back. One that may run again is tried all the same.
func TestAOnceRequestIsRefusedWhereItWouldRunInVain(t *testing.T) {
	f := newFixture(t, reporting(peering.Load{Latency: 2 * testTimeout}))
	assert.Equal(t, f.do("POST", "/once/x", "a", "").Code, 200, "nothing is known yet")
	answer := f.do("POST", "/once/x", "b", "")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	assert.Assert(t, answer.Header().Get("Retry-After") != "")
	assert.Equal(t, f.calls(), 1)
	assert.Equal(t, f.do("GET", "/read/x", "c", "").Code, 200)
}

func TestWaitingCallsShowASilentHome(t *testing.T) {
	var waiting waitingCalls
	now := time.Unix(1000, 0)
	assert.Equal(t, waiting.meanAge(now), time.Duration(0))
	waiting = waiting.with(now)
	waiting = waiting.with(now.Add(time.Second))
	now = now.Add(2 * time.Second)
	assert.Equal(t, waiting.meanAge(now), 1500*time.Millisecond)
	waiting = waiting.without(now.Add(-2 * time.Second))
	assert.Equal(t, waiting.meanAge(now), time.Second)
}

func TestLatenessGrowsWithTheShareOfTheTimeLeft(t *testing.T) {
	assert.Equal(t, lateness(100*time.Millisecond, time.Second), 0.0)
	assert.Equal(t, lateness(2*time.Second, time.Second), 1.0)
	assert.Equal(t, lateness(time.Millisecond, 0), 1.0)
	half := lateness(700*time.Millisecond, time.Second)
	assert.Assert(t, half > 0.4 && half < 0.6)
}

// TestAHomeWithMoreErrorsThanOthersIsAvoided has the target of one home answer
// with failures of its own; what homes have in common does not count.
func TestAHomeWithMoreErrorsThanOthersIsAvoided(t *testing.T) {
	f := newFixture(t, reporting(peering.Load{Latency: time.Millisecond, Errors: 60}), reporting(peering.Load{Latency: 3 * time.Millisecond, Errors: 10}))
	f.acquaint(t, "/once/x")
	before := f.homes[0].count()
	for range 20 {
		assert.Equal(t, f.do("POST", "/once/x", "a", "").Code, 200)
	}
	assert.Equal(t, f.homes[0].count(), before)

	alike := newFixture(t, reporting(peering.Load{Latency: time.Millisecond, Errors: 60}), reporting(peering.Load{Latency: 3 * time.Millisecond, Errors: 60}))
	alike.acquaint(t, "/once/x")
	before = alike.homes[0].count()
	for range 20 {
		alike.do("POST", "/once/x", "a", "")
	}
	assert.Equal(t, alike.homes[0].count(), before+20, "the faster home is used")
}

// TestAnOwnFailureIsRepeated has one target fail by itself: a request that may run
// again goes to another, even if all targets fail now and then.
func TestAnOwnFailureIsRepeated(t *testing.T) {
	f := newFixture(t, erringItself, answered)
	for f.homes[0].count() == 0 {
		assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, 200)
	}
	once := newFixture(t, erringItself, erringItself)
	answer := once.do("POST", "/once/x", "a", "")
	assert.Equal(t, answer.Code, http.StatusInternalServerError, "it must not run twice")
	assert.Equal(t, answer.Header().Get("X-Signature"), "s", "the answer is passed on as it came")
	assert.Equal(t, once.calls(), 1)
	read := newFixture(t, erringItself, erringItself, erringItself)
	assert.Equal(t, read.do("GET", "/read/x", "a", "").Code, http.StatusInternalServerError)
	assert.Equal(t, read.calls(), 2, "the route's attempts")
}

// TestAnInnerCallThatFailedIsTold has a call of a running request fail, and finds
// that the home beside the node is told, so that its target is not blamed.
func TestAnInnerCallThatFailedIsTold(t *testing.T) {
	f := newFixture(t, erring)
	local := f.forwarder.local.(*fakeHome)
	f.do("GET", "/read/x", "a", "")
	assert.Equal(t, len(local.callsFailed), 0, "nobody made that request")
	f.do("GET", "/read/x", "running.1", "")
	assert.DeepEqual(t, local.callsFailed, []string{"running"})
	good := newFixture(t, answered)
	good.do("GET", "/read/x", "running.1", "")
	assert.Equal(t, len(good.forwarder.local.(*fakeHome).callsFailed), 0)
}

// TestLargeAnswersStayInTheirZone has answers of two sizes and looks at how much
// cheaper a home in another zone must be.
func TestLargeAnswersStayInTheirZone(t *testing.T) {
	f := newFixture(t, answered)
	route := &routetable.Route{Name: "read", Objective: time.Second}
	assert.Equal(t, f.forwarder.remoteFactorOf(route), remoteFactor, "nothing is known")
	for range 200 {
		f.forwarder.homes.noteAnswer("read", 6000)
	}
	assert.Equal(t, f.forwarder.remoteFactorOf(route), maxRemoteFactor)
	f.forwarder.homes.setLatency("read", 500*time.Millisecond)
	assert.Equal(t, f.forwarder.remoteFactorOf(route), remoteFactor, "time is short")
	for range 200 {
		f.forwarder.homes.noteAnswer("small", 100)
	}
	small := f.forwarder.remoteFactorOf(&routetable.Route{Name: "small", Objective: time.Second})
	assert.Assert(t, small > remoteFactor && small < remoteFactor+0.3, "%f", small)
}

// TestHomesThatStopDontRelyOnEachOther looks at whether others serve the node's own
// service, which all homes of the fixture have.
func TestHomesThatStopDontRelyOnEachOther(t *testing.T) {
	f := newFixture(t, answered, answered)
	f.forwarder.config.Service = "s"
	homes := f.forwarder.directory.Homes("s")
	first, last := homes[0].Address, homes[1].Address
	if last < first {
		first, last = last, first
	}
	others := func(own string) bool {
		f.forwarder.config.Address = own
		return f.forwarder.OtherHomesServe()
	}
	assert.Assert(t, others(first) && others(last))
	for _, address := range []string{first, last} {
		f.forwarder.homes.state(address).report("read", peering.Load{Limit: 10, Stopping: true}, 0, time.Now())
	}
	assert.Assert(t, !others(first), "only one that is about to stop itself is left")
	assert.Assert(t, others(last), "the one with the least address stays")
	f.forwarder.homes.state(first).suspect(time.Now())
	assert.Assert(t, !others(last))
}

// TestOtherZonesAreUsedOnceTheOwnIsFull looks for room in the node's own zone.
func TestOtherZonesAreUsedOnceTheOwnIsFull(t *testing.T) {
	f := newFixture(t, answered)
	home := f.forwarder.directory.Homes("s")[0]
	state := f.forwarder.homes.state(home.Address)
	room := func(zone string, standing standing) bool {
		f.forwarder.config.Zone = zone
		return f.forwarder.roomInZone([]candidate{{home: home, state: state, standing: standing}}, time.Now())
	}
	assert.Assert(t, room(home.Zone, standing{occupancy: 0.5}))
	assert.Assert(t, !room("elsewhere", standing{occupancy: 0.5}))
	assert.Assert(t, !room(home.Zone, standing{occupancy: 0.9}))
	assert.Assert(t, !room(home.Zone, standing{failures: 0.5}))
	assert.Assert(t, !room(home.Zone, standing{stopping: true}))
	state.suspect(time.Now())
	assert.Assert(t, !room(home.Zone, standing{}))
}
