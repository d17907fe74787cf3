package experiment

import (
	"time"

	"github.com/lugspur/lugspur/lab/load"
)

const (
	// bucketWidth is the length of the timeline's buckets.
	bucketWidth = 100 * time.Millisecond
	// smoothingRadius is the number of neighboring buckets on each side that are
	// included in the average of a bucket's success share.
	smoothingRadius = 1
	// minSuccessShare is the share of calls that must succeed after recovery.
	minSuccessShare = 0.95
	// maxLatencyFactor is the maximum 99th percentile of latency after recovery,
	// as a multiple of the one before the overload.
	maxLatencyFactor = 2
	// recoveryBuckets is the number of consecutive buckets in which both conditions
	// must be met.
	recoveryBuckets = 10
)

// buildTimeline returns the timeline of the whole run, including the warm-up.
func (o *Observation) buildTimeline() []Bucket {
	windows := o.phaseWindows()
	count := int(windows[len(windows)-1].end.Sub(o.Load.Start) / bucketWidth)
	buckets := make([]Bucket, count)
	latencies := make([][]time.Duration, count)
	for i := range buckets {
		buckets[i].Seconds = (time.Duration(i) * bucketWidth).Seconds()
	}
	indexOf := func(t time.Time) (int, bool) {
		index := int(t.Sub(o.Load.Start) / bucketWidth)
		return index, index >= 0 && index < count
	}
	for _, call := range o.Load.History {
		for _, attempt := range call.Attempts {
			if i, ok := indexOf(attempt.Start); ok {
				buckets[i].Attempts++
			}
		}
		complete := call.Verdict() == load.VerdictComplete
		if i, ok := indexOf(call.Intended); ok {
			buckets[i].Offered++
			if complete {
				buckets[i].Succeeded++
				latencies[i] = append(latencies[i], call.Latency())
			}
		}
		if i, ok := indexOf(call.Last().End); ok && complete {
			buckets[i].Completed++
		}
	}
	for i := range buckets {
		buckets[i].P99Ms = milliseconds(quantile(latencies[i], 0.99))
	}
	return buckets
}

// measureRecovery finds the start of the first second after the overload in which the
// calls that start meet both conditions: in every bucket, after smoothing, at least
// 95% of them succeed, and their 99th percentile of latency over the second is at most
// twice the one before the overload.
func (o *Observation) measureRecovery() Recovery {
	before, after := o.phaseWindow(PhaseBefore), o.phaseWindow(PhaseAfter)
	baseline := quantile(completeLatencies(o.callsStartedIn(before)), 0.99)
	recovery := Recovery{Observed: after.seconds(), NormalP99Ms: milliseconds(baseline)}
	shares := o.successShares(after)
	for first := 0; first+recoveryBuckets <= len(shares); first++ {
		if !allAtLeast(shares[first:first+recoveryBuckets], minSuccessShare) {
			continue
		}
		begin := after.start.Add(time.Duration(first) * bucketWidth)
		interval := window{start: begin, end: begin.Add(recoveryBuckets * bucketWidth)}
		latencies := completeLatencies(o.callsStartedIn(interval))
		if quantile(latencies, 0.99) <= maxLatencyFactor*baseline {
			recovery.Recovered = true
			recovery.Seconds = (time.Duration(first) * bucketWidth).Seconds()
			return recovery
		}
	}
	return recovery
}

// successShares returns the smoothed share of successful calls for each bucket of the
// window, by intended start. The share of buckets without calls is zero.
func (o *Observation) successShares(w window) []float64 {
	count := int(w.end.Sub(w.start) / bucketWidth)
	offered := make([]float64, count)
	succeeded := make([]float64, count)
	for _, call := range o.callsStartedIn(w) {
		index := min(int(call.Intended.Sub(w.start)/bucketWidth), count-1)
		offered[index]++
		if call.Verdict() == load.VerdictComplete {
			succeeded[index]++
		}
	}
	shares := make([]float64, count)
	for i := range shares {
		from, to := max(i-smoothingRadius, 0), min(i+smoothingRadius+1, count)
		shares[i] = ratio(sum(succeeded[from:to]), sum(offered[from:to]))
	}
	return shares
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

func allAtLeast(values []float64, minimum float64) bool {
	for _, value := range values {
		if value < minimum {
			return false
		}
	}
	return true
}

func completeLatencies(calls []load.Call) []time.Duration {
	var latencies []time.Duration
	for _, call := range calls {
		if call.Verdict() == load.VerdictComplete {
			latencies = append(latencies, call.Latency())
		}
	}
	return latencies
}
