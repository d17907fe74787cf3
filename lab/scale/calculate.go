package scale

import (
	"math"
	"slices"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// Slope is a straight line through measured points.
type Slope struct {
	// Base is the value at zero, PerUnit what each unit of x adds.
	Base    float64 `json:"base"`
	PerUnit float64 `json:"per_unit"`
}

// At returns the line's value at x.
func (s Slope) At(x float64) float64 { return s.Base + s.PerUnit*x }

// fitSlope returns the least-squares line through the points. Points that
// share one x give a level line through their mean.
func fitSlope(x, y []float64) Slope {
	meanX, meanY := mean(x), mean(y)
	var covariance, variance float64
	for i := range x {
		covariance += (x[i] - meanX) * (y[i] - meanY)
		variance += (x[i] - meanX) * (x[i] - meanX)
	}
	if variance == 0 {
		return Slope{Base: meanY}
	}
	perUnit := covariance / variance
	return Slope{Base: meanY - perUnit*meanX, PerUnit: perUnit}
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// percentile returns the smallest value that at least the share of all values
// does not exceed; zero if there is none.
func percentile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(share * float64(len(sorted))))
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// lifetime says when a node ran, in microseconds since 1970; no end means that
// it still runs.
type lifetime struct{ start, end int64 }

// event is something that all nodes should learn.
type event struct {
	kind string
	// at is when it arose, in microseconds since 1970.
	at int64
	// learnt holds when each node learnt it.
	learnt map[string]int64
	// exempt need not learn it.
	exempt map[string]bool
	// revision, target and warmup name the change, if it is one.
	revision store.Revision
	target   string
	warmup   int
}

// reach is how an event reached the nodes that lived all the while.
type reach struct {
	// last is the time until the last of them had it.
	last time.Duration
	// delays holds the time until each of them had it, in milliseconds.
	delays []float64
	// missing are those that never had it.
	missing []string
}

// reachOf judges an event. A node that started after it arose is left out, as
// is one that ended without having learnt it.
func reachOf(e event, lives map[string]lifetime) reach {
	var judged reach
	for name, life := range lives {
		at, learnt := e.learnt[name]
		late := life.start > e.at
		if late || e.exempt[name] || !learnt && life.end != 0 {
			continue
		}
		if !learnt {
			judged.missing = append(judged.missing, name)
			continue
		}
		delay := time.Duration(max(at-e.at, 0)) * time.Microsecond
		judged.last = max(judged.last, delay)
		judged.delays = append(judged.delays, float64(delay.Microseconds())/1000)
	}
	slices.Sort(judged.missing)
	return judged
}

// Convergence sums up how events of one kind reached the last node.
type Convergence struct {
	Kind   string `json:"kind"`
	Events int    `json:"events"`
	// LastP50Millis and LastMaxMillis are of the times until the last node had
	// an event; NodeP50Millis is the median over all nodes and events.
	LastP50Millis float64 `json:"last_p50_ms"`
	LastMaxMillis float64 `json:"last_max_ms"`
	NodeP50Millis float64 `json:"node_p50_ms"`
	// Incomplete counts events that some live node did not learn in time, and
	// Missing names some of these nodes.
	Incomplete int      `json:"incomplete"`
	Missing    []string `json:"missing,omitempty"`
}

// maxMissing bounds the names in a Convergence.
const maxMissing = 10

// converge sums up the events kind by kind, in the order in which the kinds
// first arise.
func converge(events []event, lives map[string]lifetime) []Convergence {
	var kinds []string
	byKind := map[string][]reach{}
	for _, e := range events {
		if byKind[e.kind] == nil {
			kinds = append(kinds, e.kind)
		}
		byKind[e.kind] = append(byKind[e.kind], reachOf(e, lives))
	}
	var all []Convergence
	for _, kind := range kinds {
		all = append(all, sumUp(kind, byKind[kind]))
	}
	return all
}

func sumUp(kind string, reaches []reach) Convergence {
	summed := Convergence{Kind: kind, Events: len(reaches)}
	var last, all []float64
	for _, judged := range reaches {
		if len(judged.missing) > 0 {
			summed.Incomplete++
			summed.Missing = append(summed.Missing, judged.missing...)
		}
		last = append(last, float64(judged.last.Microseconds())/1000)
		all = append(all, judged.delays...)
	}
	summed.LastP50Millis = percentile(last, 0.5)
	summed.LastMaxMillis = percentile(last, 1)
	summed.NodeP50Millis = percentile(all, 0.5)
	summed.Missing = summed.Missing[:min(len(summed.Missing), maxMissing)]
	return summed
}
