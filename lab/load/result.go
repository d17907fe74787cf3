package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lugspur/lugspur/internal/problem"
)

// Counts are numbers of calls by how they ended.
type Counts struct {
	// Sent counts the calls; Attempts their tries.
	Sent     int64 `json:"sent"`
	Attempts int64 `json:"attempts"`
	Complete int64 `json:"complete"`
	// RefusedNo and RefusedUnknown are refusals by what they said of the
	// call's execution.
	RefusedNo      int64 `json:"refused_no"`
	RefusedUnknown int64 `json:"refused_unknown"`
	Wrong          int64 `json:"wrong"`
	Error          int64 `json:"error"`
	Timeout        int64 `json:"timeout"`
	NotSent        int64 `json:"not_sent"`
}

// Refused is the number of refusals.
func (c Counts) Refused() int64 { return c.RefusedNo + c.RefusedUnknown }

// Failed is the number of errors and timeouts.
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
	// Latency of complete calls from the intended start, in microseconds.
	Latency *hdrhistogram.Histogram `json:"-"`
}

// Quantile returns a latency of complete calls; the quantile goes from 0 to
// 100. Without complete calls it is zero.
func (k KindResult) Quantile(quantile float64) time.Duration {
	return time.Duration(k.Latency.ValueAtQuantile(quantile)) * time.Microsecond
}

// Bucket is what became of the calls that were meant to start in one part of
// the run.
type Bucket struct {
	// Offset of the bucket's start from the start of the run.
	Offset time.Duration     `json:"offset"`
	Total  Counts            `json:"total"`
	Kinds  map[string]Counts `json:"kinds"`
	// Latency of complete calls of all kinds, in microseconds.
	Latency *hdrhistogram.Histogram `json:"-"`
}

// Result is what a run has measured.
type Result struct {
	Start    time.Time     `json:"start"`
	Duration time.Duration `json:"duration"`
	Total    Counts        `json:"total"`
	Kinds    []KindResult  `json:"kinds"`
	Timeline []Bucket      `json:"timeline"`
	// Lateness99 is the 99th percentile of the delay between the intended and
	// the real start of calls.
	Lateness99 time.Duration `json:"lateness_99"`
	// Bottleneck says that the generator was too slow for the plan; latencies
	// then tell more of it than of the mesh.
	Bottleneck bool `json:"bottleneck"`
	// Invalid says why the run can't be used; empty means that it can.
	Invalid string `json:"invalid,omitempty"`
	// History holds every call, if the plan asks for it, in the order of the
	// ends.
	History []Call `json:"-"`
}

// Kind returns the result of a kind; one that made no call is zero.
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
