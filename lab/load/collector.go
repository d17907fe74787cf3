package load

import (
	"bufio"
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, in microseconds.
const (
	histogramMin    = 1
	histogramMax    = 120_000_000
	histogramDigits = 3
	// bucketDigits keeps the many histograms of the timeline small.
	bucketDigits = 2
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

// collector gathers the results of a run. It may be used by several
// goroutines.
type collector struct {
	plan     *Plan
	mutex    sync.Mutex
	measured Result
	kinds    map[string]int
	lateness *hdrhistogram.Histogram
	stream   *bufio.Writer
	encoder  *json.Encoder
	err      error
}

func newCollector(plan *Plan, start time.Time) *collector {
	c := &collector{plan: plan, kinds: make(map[string]int), lateness: newHistogram()}
	c.measured.Start = start
	for i, kind := range plan.Mesh.Kinds {
		c.kinds[kind.Name] = i
		c.measured.Kinds = append(c.measured.Kinds, KindResult{Kind: kind.Name, Latency: newHistogram()})
	}
	buckets := int((plan.duration() + plan.Bucket - 1) / plan.Bucket)
	for i := range buckets {
		c.measured.Timeline = append(c.measured.Timeline, Bucket{
			Offset:  time.Duration(i) * plan.Bucket,
			Kinds:   make(map[string]Counts),
			Latency: hdrhistogram.New(histogramMin, histogramMax, bucketDigits),
		})
	}
	if plan.History != nil {
		c.stream = bufio.NewWriterSize(plan.History, 1<<16)
		c.encoder = json.NewEncoder(c.stream)
	}
	return c
}

// late records the delay of a start.
func (c *collector) late(delay time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	record(c.lateness, delay)
}

func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(max(value.Microseconds(), histogramMin), histogramMax))
}

// notSent records a call that the bound on open calls has stopped.
func (c *collector) notSent(a arrival, intended time.Time) {
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

// invalidate marks the run; the first reason stays.
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
	kind := &c.measured.Kinds[c.kinds[call.Kind]]
	kind.add(call)
	bucket := c.bucketOf(call)
	bucket.Total.add(call)
	counts := bucket.Kinds[call.Kind]
	counts.add(call)
	bucket.Kinds[call.Kind] = counts
	if call.Verdict() == VerdictComplete {
		record(kind.Latency, call.Latency())
		record(bucket.Latency, call.Latency())
	}
	c.keep(call)
}

func (c *collector) bucketOf(call Call) *Bucket {
	index := int(call.Intended.Sub(c.measured.Start) / c.plan.Bucket)
	return &c.measured.Timeline[min(max(index, 0), len(c.measured.Timeline)-1)]
}

func (c *collector) keep(call Call) {
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
