package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/mesh"
)

// maxTargetStretch is the maximum TargetStretch of a valid run. Above it, the lab was
// too slow.
const maxTargetStretch = 1.10

// Measure computes the result of a run.
func Measure(o *Observation) *Result {
	capacity := o.Mesh.Capacity().RequestsPerSecond
	result := &Result{
		Scenario:     o.Scenario.Name,
		Mesh:         o.Mesh.Name,
		System:       o.System.Name,
		Seed:         o.Seed,
		Capacity:     capacity,
		Lateness99Ms: milliseconds(o.Load.Lateness99),
		Samples:      o.Samples,
		Timeline:     o.buildTimeline(),
	}
	for i, phase := range o.phases() {
		result.Phases = append(result.Phases, o.measurePhase(phase, o.phaseWindows()[i]))
	}
	result.Recovery = o.measureRecovery()
	result.Waste = o.measureWaste()
	result.Retries = o.measureRetries(result.Waste.Executions)
	result.Refusals = o.measureRefusals()
	result.Invalid = o.invalidReasons(result)
	return result
}

// invalidReasons returns the reasons for which the result is invalid.
func (o *Observation) invalidReasons(result *Result) []string {
	var reasons []string
	if o.Load.Invalid != "" {
		reasons = append(reasons, o.Load.Invalid)
	}
	if o.Load.Bottleneck {
		reasons = append(reasons, fmt.Sprintf("the load generator was too slow: start delay %.1f ms at the 99th percentile", result.Lateness99Ms))
	}
	for _, phase := range result.Phases {
		if phase.TargetStretch > maxTargetStretch {
			reasons = append(reasons, fmt.Sprintf("the emulated targets were too slow: executions took %.2f times their configured mean service time in the phase %s",
				phase.TargetStretch, phase.Name))
		}
	}
	return reasons
}

func (o *Observation) measurePhase(phase namedPhase, w window) PhaseResult {
	m := o.Mesh
	if phase.name == PhaseDuring {
		m = o.Scenario.meshDuringFaults(o.Mesh)
	}
	calls := o.callsStartedIn(w)
	offered := o.offeredRates(calls, w)
	result := PhaseResult{
		Name:             phase.name,
		Seconds:          w.seconds(),
		Offered:          float64(len(calls)) / w.seconds(),
		Goodput:          float64(o.completionsIn(w)) / w.seconds(),
		Attainable:       totalRate(attainableRates(m, offered)),
		P99Ms:            newCallStats("", calls).P99Ms,
		CriticalPlusFits: criticalPlusFits(m, offered),
		TargetStretch:    o.targetStretch(w),
	}
	result.ShareOfAttainable = ratio(result.Goodput, result.Attainable)
	result.ShareOfOffered = ratio(result.Goodput, result.Offered)
	for _, kind := range o.Mesh.Kinds {
		kindCalls := filterCalls(calls, func(call load.Call) bool { return call.Kind == kind.Name })
		result.Kinds = append(result.Kinds, newCallStats(kind.Name, kindCalls))
	}
	for _, name := range criticality.Names() {
		criticalityCalls := filterCalls(calls, func(call load.Call) bool { return o.criticalityOf(call) == name })
		result.Criticalities = append(result.Criticalities, newCallStats(name, criticalityCalls))
	}
	return result
}

// offeredRates returns the rate of calls of each kind.
func (o *Observation) offeredRates(calls []load.Call, w window) []kindRate {
	var offered []kindRate
	for _, kind := range o.Mesh.Kinds {
		count := len(filterCalls(calls, func(call load.Call) bool { return call.Kind == kind.Name }))
		offered = append(offered, kindRate{kind: kind, rate: float64(count) / w.seconds()})
	}
	return offered
}

// rateTolerance is the tolerance for rounding errors when rates are compared.
const rateTolerance = 1e-6

// criticalPlusFits reports whether the mesh can complete all offered critical-plus
// calls if it serves no others.
func criticalPlusFits(m *mesh.Mesh, offered []kindRate) bool {
	criticalPlus := slices.DeleteFunc(slices.Clone(offered), func(offer kindRate) bool {
		return criticalityLevel(offer.kind) != criticality.CriticalPlus
	})
	return totalRate(attainableRates(m, criticalPlus)) >= totalRate(criticalPlus)-rateTolerance
}

func (o *Observation) criticalityOf(call load.Call) string {
	kind, _ := o.Mesh.Kind(call.Kind)
	return kind.Criticality
}

// callsStartedIn returns the calls whose intended start is in the window.
func (o *Observation) callsStartedIn(w window) []load.Call {
	return filterCalls(o.Load.History, func(call load.Call) bool { return w.contains(call.Intended) })
}

// completionsIn returns the number of complete answers that clients received in the
// window.
func (o *Observation) completionsIn(w window) int {
	return len(filterCalls(o.Load.History, func(call load.Call) bool {
		return call.Verdict() == load.VerdictComplete && w.contains(call.Last().End)
	}))
}

func filterCalls(calls []load.Call, matches func(load.Call) bool) []load.Call {
	var filtered []load.Call
	for _, call := range calls {
		if matches(call) {
			filtered = append(filtered, call)
		}
	}
	return filtered
}

func newCallStats(name string, calls []load.Call) CallStats {
	stats := CallStats{Name: name, Offered: len(calls)}
	var latencies []time.Duration
	for _, call := range calls {
		stats.count(call)
		if call.Verdict() == load.VerdictComplete {
			latencies = append(latencies, call.Latency())
		}
	}
	stats.P50Ms = milliseconds(quantile(latencies, 0.50))
	stats.P99Ms = milliseconds(quantile(latencies, 0.99))
	return stats
}

func (s *CallStats) count(call load.Call) {
	switch call.Verdict() {
	case load.VerdictComplete:
		s.Complete++
	case load.VerdictRefused:
		if call.ReportedNotExecuted() {
			s.RefusedNo++
		} else {
			s.RefusedUnknown++
		}
	case load.VerdictWrong:
		s.Wrong++
	case load.VerdictTimeout:
		s.Timeout++
	default:
		s.Error++
	}
}

// measureRefusals summarizes the refused attempts of the measured phases by reason.
func (o *Observation) measureRefusals() Refusals {
	var waits []time.Duration
	byReason := make(map[ReasonCount][]time.Duration)
	measuredFrom := o.phaseWindow(PhaseBefore).start
	for _, call := range o.Load.History {
		for _, attempt := range call.Attempts {
			if attempt.Verdict != load.VerdictRefused || attempt.Start.Before(measuredFrom) {
				continue
			}
			wait := attempt.End.Sub(attempt.Start)
			waits = append(waits, wait)
			key := ReasonCount{Reason: attempt.Reason, Executed: attempt.Executed}
			byReason[key] = append(byReason[key], wait)
		}
	}
	refusals := Refusals{Count: len(waits), P50Ms: milliseconds(quantile(waits, 0.50)), P99Ms: milliseconds(quantile(waits, 0.99))}
	for reasonCount, reasonWaits := range byReason {
		reasonCount.Count = len(reasonWaits)
		reasonCount.P50Ms = milliseconds(quantile(reasonWaits, 0.50))
		reasonCount.P99Ms = milliseconds(quantile(reasonWaits, 0.99))
		refusals.Reasons = append(refusals.Reasons, reasonCount)
	}
	slices.SortFunc(refusals.Reasons, func(a, b ReasonCount) int { return b.Count - a.Count })
	return refusals
}

// quantile returns the smallest of the values such that at least the given fraction
// of them doesn't exceed it. Without values it returns zero.
func quantile(values []time.Duration, fraction float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	index := int(fraction*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// ratio returns part divided by whole, or zero if whole is zero.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
