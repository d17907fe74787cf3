package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/shed"
)

// replyWithLoad returns a function that answers calls and reports the load.
func replyWithLoad(load peering.Load) func(context.Context, *peering.Call) *peering.Reply {
	load.Limit = 10
	load.Threshold = shed.None
	return func(ctx context.Context, call *peering.Call) *peering.Reply {
		reply := replyOK(ctx, call)
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
	f := newFixture(t, replyWithLoad(peering.Load{Latency: time.Millisecond, Stopping: true}), replyWithLoad(peering.Load{Latency: 2 * time.Millisecond}))
	f.callBothHomes(t, "/read/x")
	before := f.homes[0].count()
	for range 20 {
		assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, 200)
	}
	assert.Equal(t, f.homes[0].count(), before)
	f.homes[1].reply = replyRefused(peering.TargetLeaving)
	assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, 200, "the stopping home is still used if no other is left")
}

// TestOnceRequestAvoidsHomeSlowOnOtherRoutes uses one home that reports ten times the median
// latency for another route.
func TestOnceRequestAvoidsHomeSlowOnOtherRoutes(t *testing.T) {
	f := newFixture(t, replyWithLoad(peering.Load{Latency: 20 * time.Millisecond}), replyWithLoad(peering.Load{Latency: 2 * time.Millisecond}))
	f.callBothHomes(t, "/read/x")
	f.homes[1].reply = replyWithLoad(peering.Load{Latency: 2 * time.Millisecond})
	// Load reports affect the slowness only after the median latency is known.
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

// TestOnceRequestThatWouldMissDeadlineIsRefused uses a single home whose latency exceeds the
// route's timeout. The request must be refused without being executed, and the response must
// have a retry delay. A repeatable request is still offered.
func TestOnceRequestThatWouldMissDeadlineIsRefused(t *testing.T) {
	f := newFixture(t, replyWithLoad(peering.Load{Latency: 2 * testTimeout}))
	assert.Equal(t, f.do("POST", "/once/x", "a", "").Code, 200, "the latency is still unknown")
	response := f.do("POST", "/once/x", "b", "")
	assert.Equal(t, response.Code, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header().Get("Retry-After") != "")
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

// TestHomeWithExcessErrorsIsAvoided uses one home with a higher error rate than the other.
// Errors that all homes have in common must not count.
func TestHomeWithExcessErrorsIsAvoided(t *testing.T) {
	f := newFixture(t, replyWithLoad(peering.Load{Latency: time.Millisecond, ErrorPercent: 60}), replyWithLoad(peering.Load{Latency: 3 * time.Millisecond, ErrorPercent: 10}))
	f.callBothHomes(t, "/once/x")
	before := f.homes[0].count()
	for range 20 {
		assert.Equal(t, f.do("POST", "/once/x", "a", "").Code, 200)
	}
	assert.Equal(t, f.homes[0].count(), before)

	sameErrorRate := newFixture(t, replyWithLoad(peering.Load{Latency: time.Millisecond, ErrorPercent: 60}), replyWithLoad(peering.Load{Latency: 3 * time.Millisecond, ErrorPercent: 60}))
	sameErrorRate.callBothHomes(t, "/once/x")
	before = sameErrorRate.homes[0].count()
	for range 20 {
		sameErrorRate.do("POST", "/once/x", "a", "")
	}
	assert.Equal(t, sameErrorRate.homes[0].count(), before+20, "the faster home is used")
}

// TestTargetErrorIsRetried uses a target that returns errors of its own. A repeatable request
// must be offered to another target, even if all targets return errors.
func TestTargetErrorIsRetried(t *testing.T) {
	f := newFixture(t, replyTargetError, replyOK)
	for f.homes[0].count() == 0 {
		assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, 200)
	}
	once := newFixture(t, replyTargetError, replyTargetError)
	response := once.do("POST", "/once/x", "a", "")
	assert.Equal(t, response.Code, http.StatusInternalServerError, "the request must not run twice")
	assert.Equal(t, response.Header().Get("X-Signature"), "s", "the response is passed on unchanged")
	assert.Equal(t, once.calls(), 1)
	read := newFixture(t, replyTargetError, replyTargetError, replyTargetError)
	assert.Equal(t, read.do("GET", "/read/x", "a", "").Code, http.StatusInternalServerError)
	assert.Equal(t, read.calls(), 2, "the route's attempts")
}

// TestFailedNestedCallIsReportedToLocalHome covers a failed call of a running request. The
// local home must be notified, so that an error of the request is not attributed to its
// target.
func TestFailedNestedCallIsReportedToLocalHome(t *testing.T) {
	f := newFixture(t, replyDownstreamError)
	local := f.forwarder.local.(*fakeHome)
	f.do("GET", "/read/x", "a", "")
	assert.Equal(t, len(local.failedCallParents), 0, "the request has no parent")
	f.do("GET", "/read/x", "running.1", "")
	assert.DeepEqual(t, local.failedCallParents, []string{"running"})
	succeeding := newFixture(t, replyOK)
	succeeding.do("GET", "/read/x", "running.1", "")
	assert.Equal(t, len(succeeding.forwarder.local.(*fakeHome).failedCallParents), 0)
}

// TestCrossZoneFactorGrowsWithResponseSize compares the factor for homes in other zones for
// two response sizes.
func TestCrossZoneFactorGrowsWithResponseSize(t *testing.T) {
	f := newFixture(t, replyOK)
	route := &routetable.Route{Name: "read", Objective: time.Second}
	assert.Equal(t, f.forwarder.crossZoneFactorOf(route), crossZoneFactor, "the response size is unknown")
	for range 200 {
		f.forwarder.homes.recordResponseSize("read", 6000, time.Now())
	}
	assert.Equal(t, f.forwarder.crossZoneFactorOf(route), maxCrossZoneFactor)
	f.forwarder.homes.setLatency("read", 500*time.Millisecond)
	assert.Equal(t, f.forwarder.crossZoneFactorOf(route), crossZoneFactor, "the latency is too close to the objective")
	for range 200 {
		f.forwarder.homes.recordResponseSize("small", 100, time.Now())
	}
	smallFactor := f.forwarder.crossZoneFactorOf(&routetable.Route{Name: "small", Objective: time.Second})
	assert.Assert(t, smallFactor > crossZoneFactor && smallFactor < crossZoneFactor+0.3, "%f", smallFactor)
}

// TestStoppingHomesDoNotRelyOnEachOther checks OtherHomesServe while both homes of the node's
// own service are stopping: it must be true for only one of them.
func TestStoppingHomesDoNotRelyOnEachOther(t *testing.T) {
	f := newFixture(t, replyOK, replyOK)
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

// TestZoneHasCapacity checks which states of the homes in the node's own zone count as spare
// capacity.
func TestZoneHasCapacity(t *testing.T) {
	f := newFixture(t, replyOK)
	home := f.forwarder.directory.Homes("s")[0]
	state := f.forwarder.homes.state(home.Address)
	hasCapacity := func(zone string, stats homeStats) bool {
		f.forwarder.config.Zone = zone
		return f.forwarder.zoneHasCapacity([]candidate{{home: home, state: state, stats: stats}}, time.Now())
	}
	assert.Assert(t, hasCapacity(home.Zone, homeStats{occupancy: 0.5}))
	assert.Assert(t, !hasCapacity("elsewhere", homeStats{occupancy: 0.5}))
	assert.Assert(t, !hasCapacity(home.Zone, homeStats{occupancy: 0.9}))
	assert.Assert(t, !hasCapacity(home.Zone, homeStats{failureRate: 0.5}))
	assert.Assert(t, !hasCapacity(home.Zone, homeStats{stopping: true}))
	state.suspect(time.Now())
	assert.Assert(t, !hasCapacity(home.Zone, homeStats{}))
}

// TestLowerMedian compares the median with that of sorted values, among them many equal ones.
func TestLowerMedian(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		values := make([]int, 1+random.IntN(40))
		for i := range values {
			values[i] = random.IntN(1 + random.IntN(50))
		}
		sorted := slices.Sorted(slices.Values(values))
		assert.Equal(t, lowerMedian(values), sorted[(len(sorted)-1)/2])
	}
	assert.Equal(t, lowerMedian([]float64(nil)), 0.0)
}

// sharesByLatency returns the share of calls that each home of the node's zone gets, given their
// reported latencies.
func sharesByLatency(t *testing.T, latencies ...time.Duration) []float64 {
	t.Helper()
	now := time.Now()
	addresses := make([]string, len(latencies))
	for i := range latencies {
		addresses[i] = simulatedAddress(i)
	}
	f := &Forwarder{config: Config{Zone: "z"}, now: func() time.Time { return now }, directory: directoryOf(t, addresses)}
	for i, latency := range latencies {
		f.homes.state(addresses[i]).recordLoad("read", peering.Load{Limit: 10, Latency: latency}, 0, now)
	}
	const calls = 5000
	shares := make([]float64, len(latencies))
	for range calls {
		chosen := f.choose(&request{route: &routetable.Route{Name: "read"}, service: "s", deadline: now.Add(time.Hour)})
		shares[slices.Index(addresses, chosen.home.Address)] += 1.0 / calls
	}
	return shares
}

// TestNoiseOfLatenciesDoesNotConcentrateCalls guards against homes that get hardly any calls because
// of latencies that differ by less than a millisecond, as those of equal targets do. A home whose
// rate limit was lifted got 0.07 of the calls of its zone in such a case.
func TestNoiseOfLatenciesDoesNotConcentrateCalls(t *testing.T) {
	const us = time.Microsecond
	equal := sharesByLatency(t, 6200*us, 6500*us, 6900*us)
	assert.Check(t, slices.Min(equal) > 1.0/6, "shares of equal homes: %.3f", equal)
	slow := sharesByLatency(t, 6200*us, 6500*us, 13*time.Millisecond)
	assert.Check(t, slow[2] == 0, "share of a home with twice the latency: %.3f", slow)
}

// TestChoiceByPace guards against a slow home that is not avoided, one that is avoided after its
// pace has expired or its target was replaced, and a node of the previous build, which reports no
// pace, that counts as idle or fast.
func TestChoiceByPace(t *testing.T) {
	const pacedAddress, previousAddress = "10.1.0.1:8300", "10.1.0.2:8300"
	now := time.Now()
	f := &Forwarder{config: Config{Zone: "z"}, now: func() time.Time { return now }, directory: directoryOf(t, []string{pacedAddress, previousAddress})}
	paced, previous := f.homes.state(pacedAddress), f.homes.state(previousAddress)
	chosen := func(kind routetable.Kind) choice {
		return f.choose(&request{route: &routetable.Route{Name: "read", Kind: kind}, service: "s", deadline: now.Add(time.Hour)})
	}
	report := func(percentOfUsual int, pacedLatency time.Duration, previousCalls int) {
		paced.recordLoad("read", peering.Load{Limit: 10, Latency: pacedLatency, Pace: pace.Reading{Percent: percentOfUsual}}, 0, now)
		previous.recordLoad("read", peering.Load{Limit: 10, InFlight: previousCalls, Latency: 100 * time.Millisecond}, 0, now)
	}
	for range 20 {
		report(400, 50*time.Millisecond, 0)
		assert.Equal(t, chosen(routetable.Repeatable).home.Address, previousAddress, "200 ms are expected at the other")
		assert.Equal(t, chosen(routetable.AtMostOnce).latency, 100*time.Millisecond)
		now = now.Add(pace.MaxAge)
		assert.Equal(t, chosen(routetable.Repeatable).home.Address, pacedAddress, "the pace has expired")
		report(0, 50*time.Millisecond, 0)
		assert.Equal(t, chosen(routetable.Repeatable).home.Address, pacedAddress, "the target was replaced and reports no pace")
		report(100, 130*time.Millisecond, 25)
		assert.Equal(t, chosen(routetable.Repeatable).home.Address, pacedAddress, "calls wait at the home of the previous build")
		paced.suspect(now)
		last := chosen(routetable.AtMostOnce)
		assert.Equal(t, last.home.Address, previousAddress, "a suspected home gets no calls")
		assert.Equal(t, last.latency, 100*time.Millisecond, "an important call may not have to wait, so the wait does not count for the deadline")
		paced.markReachable(now)
	}
}
