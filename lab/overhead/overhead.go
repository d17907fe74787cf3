// Package overhead measures what a node adds to a call: the same calls go to a
// target directly and through a node, interleaved in one run, so that both see
// the same machine at the same time.
package overhead

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/oops"
)

// Bounds of the histograms, in nanoseconds, and their precision.
const (
	lowestLatency  = 1_000
	highestLatency = int64(10 * time.Second)
	latencyDigits  = 3
)

// Way is one of the two ways of a call.
type Way struct {
	Name      string
	Latencies *hdrhistogram.Histogram
	Failures  int

	url   string
	mutex sync.Mutex
}

func newWay(name, url string) *Way {
	return &Way{Name: name, url: url, Latencies: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
}

// Quantile returns a latency; the quantile goes from 0 to 100.
func (w *Way) Quantile(quantile float64) time.Duration {
	return time.Duration(w.Latencies.ValueAtQuantile(quantile))
}

func (w *Way) record(latency time.Duration, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err != nil {
		w.Failures++
		return
	}
	_ = w.Latencies.RecordValue(latency.Nanoseconds())
}

// Comparison is the result of one run.
type Comparison struct {
	Direct, Through *Way
	// Lateness99 is the 99th percentile of how late calls started.
	Lateness99 time.Duration
	// Duration is the length of the run.
	Duration time.Duration
}

// Added returns what the node adds at a quantile: the difference of the two
// ways' quantiles.
func (c Comparison) Added(quantile float64) time.Duration {
	return c.Through.Quantile(quantile) - c.Direct.Quantile(quantile)
}

// caller makes the calls.
type caller struct {
	client *http.Client
	body   []byte
}

func newCaller(connections int) *caller {
	return &caller{client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
	}}}
}

// call makes one call and reads its whole answer.
func (c *caller) call(ctx context.Context, way *Way) {
	started := time.Now()
	err := c.exchange(ctx, way.url)
	way.record(time.Since(started), err)
}

func (c *caller) exchange(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, bytes.NewReader(c.body))
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// OneAtATime makes calls one after the other, by turns on each way.
func OneAtATime(ctx context.Context, directURL, throughURL string, calls int) Comparison {
	comparison := Comparison{Direct: newWay("direct", directURL), Through: newWay("through", throughURL)}
	caller := newCaller(1)
	started := time.Now()
	for range calls {
		if ctx.Err() != nil {
			break
		}
		caller.call(ctx, comparison.Direct)
		caller.call(ctx, comparison.Through)
	}
	comparison.Duration = time.Since(started)
	return comparison
}

// AtRate makes calls at a rate on each way, by turns, without waiting for
// answers.
func AtRate(ctx context.Context, directURL, throughURL string, rate float64, duration time.Duration) Comparison {
	const connections = 512
	comparison := Comparison{Direct: newWay("direct", directURL), Through: newWay("through", throughURL), Duration: duration}
	caller := newCaller(connections)
	lateness := newWay("lateness", "")
	interval := time.Duration(float64(time.Second) / rate / 2)
	started := time.Now()
	var open sync.WaitGroup
	ways := [2]*Way{comparison.Direct, comparison.Through}
	for i := 0; time.Duration(i)*interval < duration && ctx.Err() == nil; i++ {
		due := started.Add(time.Duration(i) * interval)
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		lateness.record(time.Since(due), nil)
		way := ways[i%len(ways)]
		open.Go(func() { caller.call(ctx, way) })
	}
	open.Wait()
	comparison.Lateness99 = lateness.Quantile(99)
	return comparison
}

// answerBytes is the length of the target's answer.
const answerBytes = 512

// serveTarget serves a target that answers at once, until the listener is
// closed. It returns the target's address.
func serveTarget() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, oops.In("overhead").With("step", "listen").Wrap(err)
	}
	answer := bytes.Repeat([]byte("a"), answerBytes)
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(answer)
		}),
	}
	go func() { _ = server.Serve(listener) }()
	return listener, nil
}
