package load

import (
	"bufio"
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, in microseconds, and their significant digits.
const (
	histogramMin               = 1
	histogramMax               = 120_000_000
	histogramSignificantDigits = 3
	// bucketSignificantDigits is lower, as the timeline has many histograms.
	bucketSignificantDigits = 2
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramSignificantDigits)
}

// collector collects the results of a run. It is safe for concurrent use.
type collector struct {
	plan      *Plan
	mutex     sync.Mutex
	measured  Result
	kindIndex map[string]int
	lateness  *hdrhistogram.Histogram
	stream    *bufio.Writer
	encoder   *json.Encoder
	err       error
}

func newCollector(plan *Plan, start time.Time) *collector {
	c := &collector{plan: plan, kindIndex: make(map[string]int), lateness: newHistogram()}
	c.measured.Start = start
	for i, kind := range plan.Mesh.Kinds {
		c.kindIndex[kind.Name] = i
		c.measured.Kinds = append(c.measured.Kinds, KindResult{Kind: kind.Name, Latency: newHistogram()})
	}
	buckets := int((plan.duration() + plan.Bucket - 1) / plan.Bucket)
	for i := range buckets {
		c.measured.Timeline = append(c.measured.Timeline, Bucket{
			Offset:  time.Duration(i) * plan.Bucket,
			Kinds:   make(map[string]Counts),
			Latency: hdrhistogram.New(histogramMin, histogramMax, bucketSignificantDigits),
		})
	}
	if plan.History != nil {
		c.stream = bufio.NewWriterSize(plan.History, 1<<16)
		c.encoder = json.NewEncoder(c.stream)
	}
	return c
}

// recordStartDelay records the delay between the intended and the actual start of a
// call.
func (c *collector) recordStartDelay(delay time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	recordDuration(c.lateness, delay)
}

func recordDuration(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(max(value.Microseconds(), histogramMin), histogramMax))
}

// recordNotSent records a call that wasn't sent as too many calls were open, and
// marks the run invalid.
func (c *collector) recordNotSent(a arrival, intended time.Time) {
	c.add(Call{
		Kind:           c.plan.Mesh.Kinds[a.kind].Name,
		Caller:         a.caller,
		Nonce:          a.nonce,
		IdempotencyKey: a.key,
		Zone:           a.zone,
		Edge:           a.address,
		Intended:       intended,
	})
	c.invalidate("calls weren't sent as too many were open")
}

// invalidate marks the run as invalid; the first reason is kept.
func (c *collector) invalidate(reason string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.measured.Invalid == "" {
		c.measured.Invalid = reason
	}
}

func (c *collector) add(call Call) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.measured.Total.add(call)
	kind := &c.measured.Kinds[c.kindIndex[call.Kind]]
	kind.add(call)
	bucket := c.bucketFor(call)
	bucket.Total.add(call)
	counts := bucket.Kinds[call.Kind]
	counts.add(call)
	bucket.Kinds[call.Kind] = counts
	if call.Verdict() == VerdictComplete {
		recordDuration(kind.Latency, call.Latency())
		recordDuration(bucket.Latency, call.Latency())
	}
	c.storeCall(call)
}

func (c *collector) bucketFor(call Call) *Bucket {
	index := int(call.Intended.Sub(c.measured.Start) / c.plan.Bucket)
	return &c.measured.Timeline[min(max(index, 0), len(c.measured.Timeline)-1)]
}

func (c *collector) storeCall(call Call) {
	if c.plan.KeepHistory {
		c.measured.History = append(c.measured.History, call)
	}
	if c.encoder != nil && c.err == nil {
		c.err = c.encoder.Encode(call)
	}
}

func (c *collector) flush() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stream == nil || c.err != nil {
		return c.err
	}
	return c.stream.Flush()
}

func (c *collector) result(duration time.Duration) *Result {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.measured.Duration = duration
	c.measured.Lateness99 = time.Duration(c.lateness.ValueAtQuantile(99)) * time.Microsecond
	c.measured.Bottleneck = c.measured.Lateness99 > maxLateness || c.measured.Total.NotSent > 0
	return &c.measured
}
