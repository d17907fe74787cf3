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

// answerWithLoad answers calls and reports the load.
func answerWithLoad(load peering.Load) func(context.Context, *peering.Call) *peering.Reply {
	load.Limit = 10
	load.Threshold = shed.None
	return func(ctx context.Context, call *peering.Call) *peering.Reply {
		reply := answerOK(ctx, call)
		reply.Load = load
		return reply
	}
}

// callBothHomes sends requests to the path until both homes have answered one.
func (f *fixture) callBothHomes(t *testing.T, path string) {
	t.Helper()
	for i := 0; f.homes[0].count() == 0 || f.homes[1].count() == 0; i++ {
		assert.Assert(t, i < 200, "one of the homes was never chosen")
		f.do("GET", path, "warm", "")
	}
}

func TestStoppingHomeIsLastResort(t *testing.T) {
	f := newFixture(t, answerWithLoad(peering.Load{Latency: time.Millisecond, Stopping: true}), answerWithLoad(peering.Load{Latency: 2 * time.Millisecond}))
	f.callBothHomes(t, "/read/x")
	before := f.homes[0].count()
	for range 20 {
		assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, 200)
	}
	assert.Equal(t, f.homes[0].count(), before)
	f.homes[1].answer = refuseWith(peering.TargetLeaving)
	assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, 200, "the stopping home still serves when no other is left")
}

// TestOnceRequestAvoidsHomeSlowOnOtherRoutes has one home report ten times the usual
// latency for another route.
func TestOnceRequestAvoidsHomeSlowOnOtherRoutes(t *testing.T) {
	f := newFixture(t, answerWithLoad(peering.Load{Latency: 20 * time.Millisecond}), answerWithLoad(peering.Load{Latency: 2 * time.Millisecond}))
	f.callBothHomes(t, "/read/x")
	f.homes[1].answer = answerWithLoad(peering.Load{Latency: 2 * time.Millisecond})
	// The homes' reports count towards slowness once the median latency is known.
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
			state.recordLoad("read", state.load, 2*time.Millisecond, now)
		}
	}
	for range 20 {
		assert.Equal(t, f.do("POST", "/once/x", "b", "").Code, 200)
	}
	assert.Equal(t, f.homes[0].count(), 0, "the slow home got once requests")
}

// TestOnceRequestThatWouldMissDeadlineIsRefused has the only home take longer than the
// route's timeout: the request is refused without being executed, and the answer has a
// retry delay. A repeatable request is still offered.
func TestOnceRequestThatWouldMissDeadlineIsRefused(t *testing.T) {
	f := newFixture(t, answerWithLoad(peering.Load{Latency: 2 * testTimeout}))
	assert.Equal(t, f.do("POST", "/once/x", "a", "").Code, 200, "the latency is still unknown")
	answer := f.do("POST", "/once/x", "b", "")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	assert.Assert(t, answer.Header().Get("Retry-After") != "")
	assert.Equal(t, f.calls(), 1)
	assert.Equal(t, f.do("GET", "/read/x", "c", "").Code, 200)
}

func TestPendingCallsMeanAge(t *testing.T) {
	var pending pendingCalls
	now := time.Unix(1000, 0)
	assert.Equal(t, pending.meanAge(now), time.Duration(0))
	pending = pending.add(now)
	pending = pending.add(now.Add(time.Second))
	now = now.Add(2 * time.Second)
	assert.Equal(t, pending.meanAge(now), 1500*time.Millisecond)
	pending = pending.remove(now.Add(-2 * time.Second))
	assert.Equal(t, pending.meanAge(now), time.Second)
}

func TestLateProbability(t *testing.T) {
	assert.Equal(t, lateProbability(100*time.Millisecond, time.Second), 0.0)
	assert.Equal(t, lateProbability(2*time.Second, time.Second), 1.0)
	assert.Equal(t, lateProbability(time.Millisecond, 0), 1.0)
	half := lateProbability(700*time.Millisecond, time.Second)
	assert.Assert(t, half > 0.4 && half < 0.6)
}

// TestHomeWithExcessErrorsIsAvoided has the target of one home answer with failures of
// its own. Failures that all homes have in common must not count.
func TestHomeWithExcessErrorsIsAvoided(t *testing.T) {
	f := newFixture(t, answerWithLoad(peering.Load{Latency: time.Millisecond, ErrorPercent: 60}), answerWithLoad(peering.Load{Latency: 3 * time.Millisecond, ErrorPercent: 10}))
	f.callBothHomes(t, "/once/x")
	before := f.homes[0].count()
	for range 20 {
		assert.Equal(t, f.do("POST", "/once/x", "a", "").Code, 200)
	}
	assert.Equal(t, f.homes[0].count(), before)

	equal := newFixture(t, answerWithLoad(peering.Load{Latency: time.Millisecond, ErrorPercent: 60}), answerWithLoad(peering.Load{Latency: 3 * time.Millisecond, ErrorPercent: 60}))
	equal.callBothHomes(t, "/once/x")
	before = equal.homes[0].count()
	for range 20 {
		equal.do("POST", "/once/x", "a", "")
	}
	assert.Equal(t, equal.homes[0].count(), before+20, "the faster home is used")
}

// TestTargetsOwnFailureIsRetried has one target fail by itself: a repeatable request is
// offered to another target, even if all targets fail occasionally.
func TestTargetsOwnFailureIsRetried(t *testing.T) {
	f := newFixture(t, answerOwnFailure, answerOK)
	for f.homes[0].count() == 0 {
		assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, 200)
	}
	once := newFixture(t, answerOwnFailure, answerOwnFailure)
	answer := once.do("POST", "/once/x", "a", "")
	assert.Equal(t, answer.Code, http.StatusInternalServerError, "the request must not run twice")
	assert.Equal(t, answer.Header().Get("X-Signature"), "s", "the answer is passed on unchanged")
	assert.Equal(t, once.calls(), 1)
	read := newFixture(t, answerOwnFailure, answerOwnFailure, answerOwnFailure)
	assert.Equal(t, read.do("GET", "/read/x", "a", "").Code, http.StatusInternalServerError)
	assert.Equal(t, read.calls(), 2, "the route's attempts")
}

// TestFailedInnerCallIsReportedToLocalHome has a call of a running request fail. The
// local home must be notified, so that the failure is not blamed on its target.
func TestFailedInnerCallIsReportedToLocalHome(t *testing.T) {
	f := newFixture(t, answerError)
	local := f.forwarder.local.(*fakeHome)
	f.do("GET", "/read/x", "a", "")
	assert.Equal(t, len(local.callsFailed), 0, "the request has no parent")
	f.do("GET", "/read/x", "running.1", "")
	assert.DeepEqual(t, local.callsFailed, []string{"running"})
	succeeding := newFixture(t, answerOK)
	succeeding.do("GET", "/read/x", "running.1", "")
	assert.Equal(t, len(succeeding.forwarder.local.(*fakeHome).callsFailed), 0)
}

// TestRemoteFactorGrowsWithAnswerSize compares the factor for homes in other zones for
// two answer sizes.
func TestRemoteFactorGrowsWithAnswerSize(t *testing.T) {
	f := newFixture(t, answerOK)
	route := &routetable.Route{Name: "read", Objective: time.Second}
	assert.Equal(t, f.forwarder.remoteFactorOf(route), remoteFactor, "the answer size is unknown")
	for range 200 {
		f.forwarder.homes.recordAnswerSize("read", 6000)
	}
	assert.Equal(t, f.forwarder.remoteFactorOf(route), maxRemoteFactor)
	f.forwarder.homes.setLatency("read", 500*time.Millisecond)
	assert.Equal(t, f.forwarder.remoteFactorOf(route), remoteFactor, "the latency is too close to the objective")
	for range 200 {
		f.forwarder.homes.recordAnswerSize("small", 100)
	}
	smallFactor := f.forwarder.remoteFactorOf(&routetable.Route{Name: "small", Objective: time.Second})
	assert.Assert(t, smallFactor > remoteFactor && smallFactor < remoteFactor+0.3, "%f", smallFactor)
}

// TestStoppingHomesDoNotRelyOnEachOther checks OtherHomesServe while both homes of the node's
// own service are stopping.
func TestStoppingHomesDoNotRelyOnEachOther(t *testing.T) {
	f := newFixture(t, answerOK, answerOK)
	f.forwarder.config.Service = "s"
	homes := f.forwarder.directory.Homes("s")
	first, last := homes[0].Address, homes[1].Address
	if last < first {
		first, last = last, first
	}
	othersServe := func(own string) bool {
		f.forwarder.config.Address = own
		return f.forwarder.OtherHomesServe()
	}
	assert.Assert(t, othersServe(first) && othersServe(last))
	for _, address := range []string{first, last} {
		f.forwarder.homes.state(address).recordLoad("read", peering.Load{Limit: 10, Stopping: true}, 0, time.Now())
	}
	assert.Assert(t, !othersServe(first), "the only other home is stopping too")
	assert.Assert(t, othersServe(last), "the home with the smallest address counts")
	f.forwarder.homes.state(first).suspect(time.Now())
	assert.Assert(t, !othersServe(last))
}

// TestRoomInZone checks when a home in the node's own zone has room; only then are other
// zones avoided.
func TestRoomInZone(t *testing.T) {
	f := newFixture(t, answerOK)
	home := f.forwarder.directory.Homes("s")[0]
	state := f.forwarder.homes.state(home.Address)
	room := func(zone string, stats homeStats) bool {
		f.forwarder.config.Zone = zone
		return f.forwarder.roomInZone([]candidate{{home: home, state: state, stats: stats}}, time.Now())
	}
	assert.Assert(t, room(home.Zone, homeStats{occupancy: 0.5}))
	assert.Assert(t, !room("elsewhere", homeStats{occupancy: 0.5}))
	assert.Assert(t, !room(home.Zone, homeStats{occupancy: 0.9}))
	assert.Assert(t, !room(home.Zone, homeStats{failures: 0.5}))
	assert.Assert(t, !room(home.Zone, homeStats{stopping: true}))
	state.suspect(time.Now())
	assert.Assert(t, !room(home.Zone, homeStats{}))
}
