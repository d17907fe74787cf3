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

// testMesh returns a mesh with two services, of which order calls view. Both have ten
// slots.
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

// newObservation returns the observation of a run with a warm-up of one second and
// phases of 2, 3 and 4 s.
func newObservation(t *testing.T, calls []load.Call) *Observation {
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

func atSecond(seconds float64) time.Time {
	return runStart.Add(time.Duration(seconds * float64(time.Second)))
}

// singleAttemptCall returns a call with one attempt.
func singleAttemptCall(kind string, start float64, latency time.Duration, verdict load.Verdict) load.Call {
	begin := atSecond(start)
	return load.Call{Kind: kind, Intended: begin, Attempts: []load.Attempt{{
		Start: begin, End: begin.Add(latency), Verdict: verdict, RequestID: fmt.Sprintf("%s-%.3f", kind, start),
	}}}
}

// callsEvery10ms returns one call every 10 ms in an interval of the run.
func callsEvery10ms(from, to float64, latency time.Duration, verdict load.Verdict) []load.Call {
	var calls []load.Call
	for start := from; start < to-0.0005; start += 0.01 {
		calls = append(calls, singleAttemptCall("look", start, latency, verdict))
	}
	return calls
}

func TestRecoveryTime(t *testing.T) {
	const fast, slow = 20 * time.Millisecond, 100 * time.Millisecond
	cases := []struct {
		name  string
		after [][]load.Call
		want  Recovery
	}{
		{"at once", [][]load.Call{callsEvery10ms(6, 10, fast, load.VerdictComplete)}, Recovery{Recovered: true, Seconds: 0}},
		{"after failures", [][]load.Call{callsEvery10ms(6, 7, fast, load.VerdictRefused), callsEvery10ms(7, 10, fast, load.VerdictComplete)},
			// Smoothing includes the neighboring buckets, so the bucket at 1.0 s is below
			// the minimum due to the failures before it.
			Recovery{Recovered: true, Seconds: 1.1}},
		{"latency above the limit", [][]load.Call{callsEvery10ms(6, 7.5, slow, load.VerdictComplete), callsEvery10ms(7.5, 10, fast, load.VerdictComplete)},
			Recovery{Recovered: true, Seconds: 1.5}},
		{"normal for less than a second", [][]load.Call{callsEvery10ms(6, 6.7, fast, load.VerdictComplete), callsEvery10ms(6.7, 10, fast, load.VerdictTimeout)},
			Recovery{}},
		{"never", [][]load.Call{callsEvery10ms(6, 10, fast, load.VerdictTimeout)}, Recovery{}},
		{"no calls", nil, Recovery{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			calls := callsEvery10ms(1, 3, fast, load.VerdictComplete)
			for _, part := range c.after {
				calls = append(calls, part...)
			}
			got := newObservation(t, calls).measureRecovery()
			assert.Equal(t, got.Recovered, c.want.Recovered)
			assert.Assert(t, math.Abs(got.Seconds-c.want.Seconds) < 1e-9, "%v", got)
			assert.Equal(t, got.Observed, 4.0)
			assert.Equal(t, got.NormalP99Ms, 20.0)
		})
	}
}

func TestGoodputCountsCompleteAnswersAtCompletion(t *testing.T) {
	o := newObservation(t, []load.Call{
		singleAttemptCall("look", 0.5, time.Millisecond, load.VerdictComplete),        // warm-up
		singleAttemptCall("look", 2.99, 50*time.Millisecond, load.VerdictComplete),    // starts before, completes during
		singleAttemptCall("vent", 3.5, 10*time.Millisecond, load.VerdictComplete),     // during
		singleAttemptCall("vent", 3.6, 10*time.Millisecond, load.VerdictRefused),      // during
		singleAttemptCall("look", 5.99, 1000*time.Millisecond, load.VerdictTimeout),   // during
		singleAttemptCall("look", 9.5, 900*time.Millisecond, load.VerdictWrong),       // after
		singleAttemptCall("look", 9.6, 10*time.Millisecond, load.VerdictComplete),     // after
		singleAttemptCall("look", 9.999, 100*time.Millisecond, load.VerdictComplete),  // completes after the run
		singleAttemptCall("look", 10.001, 100*time.Millisecond, load.VerdictComplete), // starts after the run
	})
	result := Measure(o)
	assert.Equal(t, len(result.Phases), 3)
	before, during, after := result.Phases[0], result.Phases[1], result.Phases[2]
	assert.Equal(t, before.Goodput, 0.0)
	assert.Equal(t, before.Offered, 0.5)
	assert.Assert(t, math.Abs(during.Goodput-2.0/3) < 1e-9)
	assert.Equal(t, during.Criticality("critical-plus"), CallStats{Name: "critical-plus", Offered: 2, Complete: 1, RefusedUnknown: 1, P50Ms: 10, P99Ms: 10})
	assert.Equal(t, during.Criticality("critical-plus").Lost(), 1)
	assert.Equal(t, during.Kinds[0].Timeout, 1)
	assert.Equal(t, after.Goodput, 0.25)
	assert.Equal(t, after.Kinds[0].Wrong, 1)
	assert.Equal(t, result.Refusals.Count, 1)
	assert.Assert(t, result.Valid())
}

func TestWasteIsSlotTimeOfIncompleteAnswers(t *testing.T) {
	complete, timedOut := singleAttemptCall("look", 1.5, time.Second, load.VerdictComplete), singleAttemptCall("look", 1.6, time.Second, load.VerdictTimeout)
	timedOut.Attempts[0].RequestID = "" // without a response, the client doesn't know the request ID
	o := newObservation(t, []load.Call{complete, timedOut})
	newRecord := func(request string, start, duration float64, outcome emulator.Outcome) emulator.Record {
		return emulator.Record{RequestID: request, Service: "view", Target: "view-1", Method: "GET", Path: "/x",
			Start: atSecond(start), End: atSecond(start + duration), Outcome: outcome}
	}
	completeID := complete.Attempts[0].RequestID
	o.Records = []emulator.Record{
		newRecord("warm", 0.2, 9, emulator.OutcomeCancelled), // before the measured phases
		newRecord(completeID, 1.5, 6, emulator.OutcomeComplete),
		newRecord(completeID, 1.5, 1, emulator.OutcomeFault),
		newRecord("lost", 1.6, 3, emulator.OutcomeComplete),
	}
	waste := o.measureWaste()
	assert.Equal(t, waste.Executions, 3)
	assert.Assert(t, math.Abs(waste.SlotSeconds-10) < 1e-9)
	assert.Assert(t, math.Abs(waste.FailedRequests-3) < 1e-9)
	assert.Assert(t, math.Abs(waste.Discarded-1) < 1e-9)
	assert.Assert(t, math.Abs(waste.Share-0.4) < 1e-9)
	assert.Assert(t, math.Abs(waste.Services[0].Wasted-4) < 1e-9)
	retries := o.measureRetries(waste.Executions)
	assert.Equal(t, retries.Amplification, 3.0)
	assert.Equal(t, retries.MostExecutions, 2)
	assert.Equal(t, retries.MostPerService, 2)
}

func TestRetriesExcludeWarmUp(t *testing.T) {
	call := singleAttemptCall("vent", 2, time.Second, load.VerdictComplete)
	call.Attempts = append([]load.Attempt{{Verdict: load.VerdictRefused, Executed: problem.ExecutedNo}, {Verdict: load.VerdictTimeout}}, call.Attempts...)
	o := newObservation(t, []load.Call{call})
	for _, sample := range []struct{ seconds, retries float64 }{{0.5, 5}, {1.2, 7}, {2, 10}, {3, 4}, {4, 9}} {
		o.Samples = append(o.Samples, Sample{Seconds: sample.seconds, Retries: sample.retries})
	}
	retries := o.measureRetries(4)
	assert.Equal(t, retries.Clients, 2)
	assert.Equal(t, retries.Nodes, 8.0) // 3 before the node was restarted, 5 after
	assert.Equal(t, retries.Amplification, 2.0)
}

func TestSlowLabInvalidatesRun(t *testing.T) {
	o := newObservation(t, callsEvery10ms(1, 3, time.Millisecond, load.VerdictComplete))
	o.Load.Bottleneck = true
	o.Records = []emulator.Record{{Service: "view", Target: "view-1", Method: "GET", Path: "/x",
		Start: atSecond(1.5), End: atSecond(1.52), Outcome: emulator.OutcomeComplete}}
	result := Measure(o)
	assert.Equal(t, len(result.Invalid), 2, "%v", result.Invalid)
	assert.Equal(t, result.Phases[0].TargetStretch, 2.0)

	o.Scenario.Faults = []Fault{{Targets: []string{"view-1"}, SlowFactor: 2}}
	assert.Equal(t, Measure(o).Phases[0].TargetStretch, 1.0, "targets with faults are excluded from the stretch")
}

func TestAttainableRatesServeHigherCriticalityFirst(t *testing.T) {
	m := testMesh()
	look, vent := m.Kinds[0], m.Kinds[1]
	ratesFor := func(lookRate, ventRate float64) (float64, float64) {
		rates := attainableRates(m, []kindRate{{kind: look, rate: lookRate}, {kind: vent, rate: ventRate}})
		return rates[0].rate, rates[1].rate
	}
	// The capacity of view is 1000/s. A call of order uses a slot for 40 ms, so its
	// capacity is 250/s.
	cases := []struct{ look, vent, wantLook, wantVent float64 }{
		{100, 100, 100, 100},
		{5000, 100, 900, 100},
		{100, 5000, 100, 250},
		{5000, 5000, 750, 250},
	}
	for _, c := range cases {
		gotLook, gotVent := ratesFor(c.look, c.vent)
		assert.Assert(t, math.Abs(gotLook-c.wantLook) < 1e-6 && math.Abs(gotVent-c.wantVent) < 1e-6,
			"%v: look %g, vent %g", c, gotLook, gotVent)
	}
	assert.Assert(t, criticalPlusFits(m, []kindRate{{kind: look, rate: 1e6}, {kind: vent, rate: 249}}))
	assert.Assert(t, !criticalPlusFits(m, []kindRate{{kind: vent, rate: 251}}))
}

func TestMeshDuringFaults(t *testing.T) {
	scenario := &Scenario{Faults: []Fault{{Services: []string{"view"}, SlowFactor: 4}}}
	slowed := scenario.meshDuringFaults(testMesh())
	assert.Equal(t, slowed.Services[0].Time.MeanMs, 40.0)
	assert.Equal(t, slowed.Services[1].Time.MeanMs, 30.0)
	lost := (&Scenario{ZoneLosses: []ZoneLoss{{Zone: "here"}}}).meshDuringFaults(testMesh())
	assert.Equal(t, len(lost.Targets), 0)
}

func TestReadResultReturnsWrittenResult(t *testing.T) {
	directory := t.TempDir()
	result := Measure(newObservation(t, callsEvery10ms(1, 3, time.Millisecond, load.VerdictComplete)))
	assert.NilError(t, result.writeFile(directory))
	read, err := ReadResult(directory)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, result)
}
