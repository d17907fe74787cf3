package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/mesh"
)

// maxStretch is how much longer than drawn executions may take before the lab
// counts as too slow for the run.
const maxStretch = 1.10

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
		Timeline:     o.timeline(),
	}
	for i, phase := range o.phases() {
		result.Phases = append(result.Phases, o.measurePhase(phase, o.windows()[i]))
	}
	result.Recovery = o.recovery()
	result.Waste = o.waste()
	result.Retries = o.retries(result.Waste.Executions)
	result.Refusals = o.refusals()
	result.Invalid = o.invalid(result)
	return result
}

// invalid lists the reasons for which the run doesn't count.
func (o *Observation) invalid(result *Result) []string {
	var reasons []string
	if o.Load.Invalid != "" {
		reasons = append(reasons, o.Load.Invalid)
	}
	if o.Load.Bottleneck {
		reasons = append(reasons, fmt.Sprintf("the load generator was late: %.1f ms at the 99th percentile", result.Lateness99Ms))
	}
	for _, phase := range result.Phases {
		if phase.TargetStretch > maxStretch {
			reasons = append(reasons, fmt.Sprintf("the lab's targets were late: executions took %.2f times their drawn time in the phase %s",
				phase.TargetStretch, phase.Name))
		}
	}
	return reasons
}

func (o *Observation) measurePhase(phase namedPhase, w window) PhaseResult {
	m := o.Mesh
	if phase.name == PhaseDuring {
		m = o.Scenario.meshDuring(o.Mesh)
	}
	calls := o.startedIn(w)
	offered := o.offeredRates(calls, w)
	result := PhaseResult{
		Name:             phase.name,
		Seconds:          w.seconds(),
		Offered:          float64(len(calls)) / w.seconds(),
		Goodput:          float64(o.completedIn(w)) / w.seconds(),
		Attainable:       totalRate(attainable(m, offered)),
		P99Ms:            groupOf("", calls).P99Ms,
		CriticalPlusFits: criticalPlusFits(m, offered),
		TargetStretch:    o.targetStretch(w),
	}
	result.ShareOfAttainable = ratio(result.Goodput, result.Attainable)
	result.ShareOfOffered = ratio(result.Goodput, result.Offered)
	for _, kind := range o.Mesh.Kinds {
		of := keep(calls, func(call load.Call) bool { return call.Kind == kind.Name })
		result.Kinds = append(result.Kinds, groupOf(kind.Name, of))
	}
	for _, name := range criticality.Names() {
		of := keep(calls, func(call load.Call) bool { return o.criticalityOf(call) == name })
		result.Criticalities = append(result.Criticalities, groupOf(name, of))
	}
	return result
}

// offeredRates returns the rates of calls by kind.
func (o *Observation) offeredRates(calls []load.Call, w window) []kindRate {
	var offered []kindRate
	for _, kind := range o.Mesh.Kinds {
		count := len(keep(calls, func(call load.Call) bool { return call.Kind == kind.Name }))
		offered = append(offered, kindRate{kind: kind, rate: float64(count) / w.seconds()})
	}
	return offered
}

// fitSlack absorbs rounding when rates are compared.
const fitSlack = 1e-6

func criticalPlusFits(m *mesh.Mesh, offered []kindRate) bool {
	vital := slices.DeleteFunc(slices.Clone(offered), func(each kindRate) bool {
		return levelOf(each.kind) != criticality.CriticalPlus
	})
	return totalRate(attainable(m, vital)) >= totalRate(vital)-fitSlack
}

func (o *Observation) criticalityOf(call load.Call) string {
	kind, _ := o.Mesh.Kind(call.Kind)
	return kind.Criticality
}

func (o *Observation) startedIn(w window) []load.Call {
	return keep(o.Load.History, func(call load.Call) bool { return w.contains(call.Intended) })
}

func (o *Observation) completedIn(w window) int {
	return len(keep(o.Load.History, func(call load.Call) bool {
		return call.Verdict() == load.VerdictComplete && w.contains(call.Last().End)
	}))
}

func keep(calls []load.Call, wanted func(load.Call) bool) []load.Call {
	var kept []load.Call
	for _, call := range calls {
		if wanted(call) {
			kept = append(kept, call)
		}
	}
	return kept
}

func groupOf(name string, calls []load.Call) Group {
	group := Group{Name: name, Offered: len(calls)}
	var latencies []time.Duration
	for _, call := range calls {
		group.count(call)
		if call.Verdict() == load.VerdictComplete {
			latencies = append(latencies, call.Latency())
		}
	}
	group.P50Ms = milliseconds(quantile(latencies, 0.50))
	group.P99Ms = milliseconds(quantile(latencies, 0.99))
	return group
}

func (g *Group) count(call load.Call) {
	switch call.Verdict() {
	case load.VerdictComplete:
		g.Complete++
	case load.VerdictRefused:
		if call.ReportedNotExecuted() {
			g.RefusedNo++
		} else {
			g.RefusedUnknown++
		}
	case load.VerdictWrong:
		g.Wrong++
	case load.VerdictTimeout:
		g.Timeout++
	default:
		g.Error++
	}
}

// refusals looks at every try that was refused in the counted phases.
func (o *Observation) refusals() Refusals {
	var all []time.Duration
	byReason := make(map[ReasonCount][]time.Duration)
	begin := o.window(PhaseBefore).start
	for _, call := range o.Load.History {
		for _, attempt := range call.Attempts {
			if attempt.Verdict != load.VerdictRefused || attempt.Start.Before(begin) {
				continue
			}
			took := attempt.End.Sub(attempt.Start)
			all = append(all, took)
			key := ReasonCount{Reason: attempt.Reason, Executed: attempt.Executed}
			byReason[key] = append(byReason[key], took)
		}
	}
	refusals := Refusals{Count: len(all), P50Ms: milliseconds(quantile(all, 0.50)), P99Ms: milliseconds(quantile(all, 0.99))}
	for reason, times := range byReason {
		reason.Count = len(times)
		reason.P50Ms = milliseconds(quantile(times, 0.50))
		reason.P99Ms = milliseconds(quantile(times, 0.99))
		refusals.Reasons = append(refusals.Reasons, reason)
	}
	slices.SortFunc(refusals.Reasons, func(a, b ReasonCount) int { return b.Count - a.Count })
	return refusals
}

// quantile returns the smallest value that at least the share of the values
// doesn't exceed; of none it is zero.
func quantile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	index := int(share*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
