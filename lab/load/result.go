package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lugspur/lugspur/internal/problem"
)

// Counts are numbers of calls by verdict.
type Counts struct {
	// Sent counts the calls that were sent, Attempts their attempts.
	Sent     int64 `json:"sent"`
	Attempts int64 `json:"attempts"`
	Complete int64 `json:"complete"`
	// RefusedNo counts refusals that stated that the call was not executed,
	// RefusedUnknown all others.
	RefusedNo      int64 `json:"refused_no"`
	RefusedUnknown int64 `json:"refused_unknown"`
	Wrong          int64 `json:"wrong"`
	Error          int64 `json:"error"`
	Timeout        int64 `json:"timeout"`
	NotSent        int64 `json:"not_sent"`
}

// Refused returns the number of refusals.
func (c Counts) Refused() int64 { return c.RefusedNo + c.RefusedUnknown }

// Failed returns the number of errors and timeouts.
func (c Counts) Failed() int64 { return c.Error + c.Timeout }

func (c *Counts) add(call Call) {
	last := call.Last()
	if last.Verdict == VerdictNotSent {
		c.NotSent++
		return
	}
	c.Sent++
	c.Attempts += int64(len(call.Attempts))
	switch last.Verdict {
	case VerdictComplete:
		c.Complete++
	case VerdictRefused:
		c.addRefusal(last)
	case VerdictWrong:
		c.Wrong++
	case VerdictTimeout:
		c.Timeout++
	default:
		c.Error++
	}
}

// KindResult is the result of one kind of call.
type KindResult struct {
	Kind string `json:"kind"`
	Counts
	// Latency of complete calls, from the intended start, in microseconds.
	Latency *hdrhistogram.Histogram `json:"-"`
}

// Quantile returns a quantile of the latency of complete calls. The argument is
// a percentage from 0 to 100. Without complete calls the result is zero.
func (k KindResult) Quantile(quantile float64) time.Duration {
	return time.Duration(k.Latency.ValueAtQuantile(quantile)) * time.Microsecond
}

// Bucket is the result of the calls whose intended start is in one interval of
// the timeline.
type Bucket struct {
	// Offset is the time from the start of the run to the start of the bucket.
	Offset time.Duration     `json:"offset"`
	Total  Counts            `json:"total"`
	Kinds  map[string]Counts `json:"kinds"`
	// Latency of complete calls of all kinds, in microseconds.
	Latency *hdrhistogram.Histogram `json:"-"`
}

// Result is the result of a run.
type Result struct {
	Start    time.Time     `json:"start"`
	Duration time.Duration `json:"duration"`
	Total    Counts        `json:"total"`
	Kinds    []KindResult  `json:"kinds"`
	Timeline []Bucket      `json:"timeline"`
	// Lateness99 is the 99th percentile of the delay between the intended and
	// the actual start of calls.
	Lateness99 time.Duration `json:"lateness_99"`
	// Bottleneck is set if the generator was too slow for the plan; latencies
	// then depend more on the generator than on the mesh.
	Bottleneck bool `json:"bottleneck"`
	// Invalid is the reason for which the result can't be used; empty if it can.
	Invalid string `json:"invalid,omitempty"`
	// History contains every call in the order in which they ended, if
	// Plan.KeepHistory is set.
	History []Call `json:"-"`
}

// Kind returns the result of a kind, which is empty for an unknown one.
func (r *Result) Kind(name string) KindResult {
	for _, kind := range r.Kinds {
		if kind.Kind == name {
			return kind
		}
	}
	return KindResult{Kind: name, Latency: newHistogram()}
}

// AllComplete reports whether the run is valid and every call was answered
// completely.
func (r *Result) AllComplete() bool {
	return r.Invalid == "" && r.Total.NotSent == 0 && r.Total.Complete == r.Total.Sent
}

func (c *Counts) addRefusal(last Attempt) {
	if last.Executed == problem.ExecutedNo {
		c.RefusedNo++
		return
	}
	c.RefusedUnknown++
}
