package experiment

import (
	"time"

	"github.com/lugspur/lugspur/lab/load"
)

const (
	// bucketWidth is the width of the timeline's buckets.
	bucketWidth = 100 * time.Millisecond
	// smoothing is the number of buckets on each side over which the success
	// of a bucket is averaged.
	smoothing = 1
	// recoveredShare is the share of calls that must succeed.
	recoveredShare = 0.95
	// recoveredLatency is how many times the normal 99th percentile the
	// latency may be.
	recoveredLatency = 2
	// recoveredHold is the number of buckets for which both must hold.
	recoveredHold = 10
)

// timeline splits the whole run, the warm-up included, into buckets.
func (o *Observation) timeline() []Bucket {
	windows := o.windows()
	count := int(windows[len(windows)-1].end.Sub(o.Load.Start) / bucketWidth)
	buckets := make([]Bucket, count)
	latencies := make([][]time.Duration, count)
	for i := range buckets {
		buckets[i].Seconds = (time.Duration(i) * bucketWidth).Seconds()
	}
	indexOf := func(moment time.Time) (int, bool) {
		index := int(moment.Sub(o.Load.Start) / bucketWidth)
		return index, index >= 0 && index < count
	}
	for _, call := range o.Load.History {
		for _, attempt := range call.Attempts {
			if i, ok := indexOf(attempt.Start); ok {
				buckets[i].Tries++
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

// recovery finds the first moment after the overload from which on, for a
// second, calls that start succeed as usual: in every bucket, smoothed, at
// least 95% of them, with a 99th percentile of latency over the second of at
// most twice the normal.
func (o *Observation) recovery() Recovery {
	before, after := o.window(PhaseBefore), o.window(PhaseAfter)
	normal := quantile(completeLatencies(o.startedIn(before)), 0.99)
	recovery := Recovery{Observed: after.seconds(), NormalP99Ms: milliseconds(normal)}
	shares := o.successShares(after)
	for first := 0; first+recoveredHold <= len(shares); first++ {
		if !allAtLeast(shares[first:first+recoveredHold], recoveredShare) {
			continue
		}
		begin := after.start.Add(time.Duration(first) * bucketWidth)
		held := window{start: begin, end: begin.Add(recoveredHold * bucketWidth)}
		latencies := completeLatencies(o.startedIn(held))
		if quantile(latencies, 0.99) <= recoveredLatency*normal {
			recovery.Recovered = true
			recovery.Seconds = (time.Duration(first) * bucketWidth).Seconds()
			return recovery
		}
	}
	return recovery
}

// successShares returns the smoothed share of calls that succeeded, by the
// bucket of the phase in which they started. Buckets without calls count as
// unsuccessful.
func (o *Observation) successShares(w window) []float64 {
	count := int(w.end.Sub(w.start) / bucketWidth)
	offered := make([]float64, count)
	succeeded := make([]float64, count)
	for _, call := range o.startedIn(w) {
		index := min(int(call.Intended.Sub(w.start)/bucketWidth), count-1)
		offered[index]++
		if call.Verdict() == load.VerdictComplete {
			succeeded[index]++
		}
	}
	shares := make([]float64, count)
	for i := range shares {
		from, to := max(i-smoothing, 0), min(i+smoothing+1, count)
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

func allAtLeast(values []float64, least float64) bool {
	for _, value := range values {
		if value < least {
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
