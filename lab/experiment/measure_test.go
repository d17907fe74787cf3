package experiment

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/mesh"
)

// testMesh has two services: order calls view, and both have ten slots.
func testMesh() *mesh.Mesh {
	exponential := func(mean float64) mesh.ServiceTime {
		return mesh.ServiceTime{Distribution: mesh.Exponential, MeanMs: mean}
	}
	return &mesh.Mesh{
		Name:  "test",
		Zones: []mesh.Zone{{Name: "here", Region: "r"}},
		Services: []mesh.Service{
			{Name: "view", Time: exponential(10)},
			{Name: "order", Time: exponential(30), Calls: []mesh.Call{{Service: "view", Method: "GET", Path: "/x"}}},
		},
		Targets: []mesh.Target{
			{Name: "view-1", Service: "view", Zone: "here", Address: "127.0.0.1:0", Slots: 10, Connections: 100},
			{Name: "order-1", Service: "order", Zone: "here", Address: "127.0.0.1:0", Slots: 10, Connections: 100},
		},
		Kinds: []mesh.Kind{
			{Name: "look", Service: "view", Method: "GET", Path: "/x", Criticality: "sheddable", Share: 1, DeadlineMs: 1000, Callers: []string{"c"}, CallersEach: 1},
			{Name: "vent", Service: "order", Method: "POST", Path: "/y", Criticality: "critical-plus", Share: 1, DeadlineMs: 1000, Callers: []string{"c"}, CallersEach: 1},
		},
	}
}

var runStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// observation is a run of one second of warm-up and phases of 2, 3 and 4 s.
func observation(t *testing.T, calls []load.Call) *Observation {
	t.Helper()
	scenario, err := ParseScenario([]byte(shortScenario))
	assert.NilError(t, err)
	return &Observation{
		Scenario: scenario,
		System:   Systems()[0],
		Mesh:     testMesh(),
		Load:     &load.Result{Start: runStart, History: calls},
	}
}

func at(seconds float64) time.Time {
	return runStart.Add(time.Duration(seconds * float64(time.Second)))
}

// callOf is a call with one try.
func callOf(kind string, started float64, latency time.Duration, verdict load.Verdict) load.Call {
	begin := at(started)
	return load.Call{Kind: kind, Intended: begin, Attempts: []load.Attempt{{
		Start: begin, End: begin.Add(latency), Verdict: verdict, RequestID: fmt.Sprintf("%s-%.3f", kind, started),
	}}}
}

// steady makes a call every 10 ms from one moment to another.
func steady(from, to float64, latency time.Duration, verdict load.Verdict) []load.Call {
	var calls []load.Call
	for moment := from; moment < to-0.0005; moment += 0.01 {
		calls = append(calls, callOf("look", moment, latency, verdict))
	}
	return calls
}

func TestRecoveryTime(t *testing.T) {
	const quick, slow = 20 * time.Millisecond, 100 * time.Millisecond
	cases := []struct {
		name  string
		after [][]load.Call
		want  Recovery
	}{
		{"at once", [][]load.Call{steady(6, 10, quick, load.VerdictComplete)}, Recovery{Recovered: true, Seconds: 0}},
		{"after failures", [][]load.Call{steady(6, 7, quick, load.VerdictRefused), steady(7, 10, quick, load.VerdictComplete)},
			// The smoothing lets a bucket count once both of its neighbours do.
			Recovery{Recovered: true, Seconds: 1.1}},
		{"not while slow", [][]load.Call{steady(6, 7.5, slow, load.VerdictComplete), steady(7.5, 10, quick, load.VerdictComplete)},
			Recovery{Recovered: true, Seconds: 1.5}},
		{"good for too short a time", [][]load.Call{steady(6, 6.7, quick, load.VerdictComplete), steady(6.7, 10, quick, load.VerdictTimeout)},
			Recovery{}},
		{"never", [][]load.Call{steady(6, 10, quick, load.VerdictTimeout)}, Recovery{}},
		{"silence is no recovery", nil, Recovery{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			calls := steady(1, 3, quick, load.VerdictComplete)
			for _, part := range c.after {
				calls = append(calls, part...)
			}
			got := observation(t, calls).recovery()
			assert.Equal(t, got.Recovered, c.want.Recovered)
			assert.Assert(t, math.Abs(got.Seconds-c.want.Seconds) < 1e-9, "%v", got)
			assert.Equal(t, got.Observed, 4.0)
			assert.Equal(t, got.NormalP99Ms, 20.0)
		})
	}
}

func TestGoodputCountsCompleteAnswersWhenTheyCome(t *testing.T) {
	o := observation(t, []load.Call{
		callOf("look", 0.5, time.Millisecond, load.VerdictComplete),        // warm-up
		callOf("look", 2.99, 50*time.Millisecond, load.VerdictComplete),    // starts before, comes during
		callOf("vent", 3.5, 10*time.Millisecond, load.VerdictComplete),     // during
		callOf("vent", 3.6, 10*time.Millisecond, load.VerdictRefused),      // during
		callOf("look", 5.99, 1000*time.Millisecond, load.VerdictTimeout),   // during
		callOf("look", 9.5, 900*time.Millisecond, load.VerdictWrong),       // after
		callOf("look", 9.6, 10*time.Millisecond, load.VerdictComplete),     // after
		callOf("look", 9.999, 100*time.Millisecond, load.VerdictComplete),  // comes after the run
		callOf("look", 10.001, 100*time.Millisecond, load.VerdictComplete), // starts after the run
	})
	result := Measure(o)
	assert.Equal(t, len(result.Phases), 3)
	before, during, after := result.Phases[0], result.Phases[1], result.Phases[2]
	assert.Equal(t, before.Goodput, 0.0)
	assert.Equal(t, before.Offered, 0.5)
	assert.Assert(t, math.Abs(during.Goodput-2.0/3) < 1e-9)
	assert.Equal(t, during.Criticality("critical-plus"), Group{Name: "critical-plus", Offered: 2, Complete: 1, RefusedUnknown: 1, P50Ms: 10, P99Ms: 10})
	assert.Equal(t, during.Criticality("critical-plus").Lost(), 1)
	assert.Equal(t, during.Kinds[0].Timeout, 1)
	assert.Equal(t, after.Goodput, 0.25)
	assert.Equal(t, after.Kinds[0].Wrong, 1)
	assert.Equal(t, result.Refusals.Count, 1)
	assert.Assert(t, result.Valid())
}

func TestWasteIsSlotTimeOfWhatWasNotAnswered(t *testing.T) {
	good, bad := callOf("look", 1.5, time.Second, load.VerdictComplete), callOf("look", 1.6, time.Second, load.VerdictTimeout)
	bad.Attempts[0].RequestID = "" // a client that hears nothing knows no id
	o := observation(t, []load.Call{good, bad})
	execution := func(request string, started, held float64, outcome emulator.Outcome) emulator.Record {
		return emulator.Record{RequestID: request, Service: "view", Target: "view-1", Method: "GET", Path: "/x",
			Start: at(started), End: at(started + held), Outcome: outcome}
	}
	answered := good.Attempts[0].RequestID
	o.Records = []emulator.Record{
		execution("warm", 0.2, 9, emulator.OutcomeCancelled), // before the counted phases
		execution(answered, 1.5, 6, emulator.OutcomeComplete),
		execution(answered, 1.5, 1, emulator.OutcomeFault),
		execution("lost", 1.6, 3, emulator.OutcomeComplete),
	}
	waste := o.waste()
	assert.Equal(t, waste.Executions, 3)
	assert.Assert(t, math.Abs(waste.SlotSeconds-10) < 1e-9)
	assert.Assert(t, math.Abs(waste.FailedRequests-3) < 1e-9)
	assert.Assert(t, math.Abs(waste.Discarded-1) < 1e-9)
	assert.Assert(t, math.Abs(waste.Share-0.4) < 1e-9)
	assert.Assert(t, math.Abs(waste.Services[0].Wasted-4) < 1e-9)
	retries := o.retries(waste.Executions)
	assert.Equal(t, retries.Amplification, 3.0)
	assert.Equal(t, retries.MostExecutions, 2)
	assert.Equal(t, retries.MostPerService, 2)
}

func TestRetriesAreCountedAfterTheWarmUp(t *testing.T) {
	call := callOf("vent", 2, time.Second, load.VerdictComplete)
	call.Attempts = append([]load.Attempt{{Verdict: load.VerdictRefused, Executed: problem.ExecutedNo}, {Verdict: load.VerdictTimeout}}, call.Attempts...)
	o := observation(t, []load.Call{call})
	for _, each := range []struct{ seconds, retries float64 }{{0.5, 5}, {1.2, 7}, {2, 10}, {3, 4}, {4, 9}} {
		o.Samples = append(o.Samples, Sample{Seconds: each.seconds, Retries: each.retries})
	}
	retries := o.retries(4)
	assert.Equal(t, retries.Clients, 2)
	assert.Equal(t, retries.Nodes, 8.0) // 3 before the node was started again, 5 after
	assert.Equal(t, retries.Amplification, 2.0)
}

func TestLateLabMakesARunInvalid(t *testing.T) {
	o := observation(t, steady(1, 3, time.Millisecond, load.VerdictComplete))
	o.Load.Bottleneck = true
	o.Records = []emulator.Record{{Service: "view", Target: "view-1", Method: "GET", Path: "/x",
		Start: at(1.5), End: at(1.52), Outcome: emulator.OutcomeComplete}}
	result := Measure(o)
	assert.Equal(t, len(result.Invalid), 2, "%v", result.Invalid)
	assert.Equal(t, result.Phases[0].TargetStretch, 2.0)

	o.Scenario.Faults = []Fault{{Targets: []string{"view-1"}, SlowFactor: 2}}
	assert.Equal(t, Measure(o).Phases[0].TargetStretch, 1.0, "a slowed target says nothing of the lab")
}

func TestAttainableServesTheMoreImportantFirst(t *testing.T) {
	m := testMesh()
	look, vent := m.Kinds[0], m.Kinds[1]
	served := func(lookRate, ventRate float64) (float64, float64) {
		rates := attainable(m, []kindRate{{kind: look, rate: lookRate}, {kind: vent, rate: ventRate}})
		return rates[0].rate, rates[1].rate
	}
	// view carries 1000/s; order holds a slot for 40 ms, so that it carries 250/s.
	cases := []struct{ look, vent, wantLook, wantVent float64 }{
		{100, 100, 100, 100},
		{5000, 100, 900, 100},
		{100, 5000, 100, 250},
		{5000, 5000, 750, 250},
	}
	for _, c := range cases {
		gotLook, gotVent := served(c.look, c.vent)
		assert.Assert(t, math.Abs(gotLook-c.wantLook) < 1e-6 && math.Abs(gotVent-c.wantVent) < 1e-6,
			"%v: look %g, vent %g", c, gotLook, gotVent)
	}
	assert.Assert(t, criticalPlusFits(m, []kindRate{{kind: look, rate: 1e6}, {kind: vent, rate: 249}}))
	assert.Assert(t, !criticalPlusFits(m, []kindRate{{kind: vent, rate: 251}}))
}

func TestMeshDuringFaults(t *testing.T) {
	scenario := &Scenario{Faults: []Fault{{Services: []string{"view"}, SlowFactor: 4}}}
	slowed := scenario.meshDuring(testMesh())
	assert.Equal(t, slowed.Services[0].Time.MeanMs, 40.0)
	assert.Equal(t, slowed.Services[1].Time.MeanMs, 30.0)
	lost := (&Scenario{ZoneLosses: []ZoneLoss{{Zone: "here"}}}).meshDuring(testMesh())
	assert.Equal(t, len(lost.Targets), 0)
}

func TestResultsAreReadBack(t *testing.T) {
	directory := t.TempDir()
	result := Measure(observation(t, steady(1, 3, time.Millisecond, load.VerdictComplete)))
	assert.NilError(t, result.write(directory))
	read, err := ReadResult(directory)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, result)
}
