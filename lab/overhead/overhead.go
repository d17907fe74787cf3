// Package overhead measures the latency that a node adds to calls. It calls a target
// alternately directly and through a node in the same run, so that changes in the
// machine's load affect both paths equally.
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

// Range of the histograms, in nanoseconds, and their significant digits.
const (
	lowestLatency  = 1_000
	highestLatency = int64(10 * time.Second)
	latencyDigits  = 3
)

// PathStats contains the results of the calls on one path: directly to the target or through
// the node.
type PathStats struct {
	Name      string
	Latencies *hdrhistogram.Histogram
	Failures  int

	url   string
	mutex sync.Mutex
}

func newPathStats(name, url string) *PathStats {
	return &PathStats{Name: name, url: url, Latencies: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
}

// Quantile returns a quantile of the latency. The argument is a percentage from 0 to
// 100.
func (s *PathStats) Quantile(quantile float64) time.Duration {
	return time.Duration(s.Latencies.ValueAtQuantile(quantile))
}

func (s *PathStats) record(latency time.Duration, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.Failures++
		return
	}
	_ = s.Latencies.RecordValue(latency.Nanoseconds())
}

// Comparison is the result of one run with calls on both paths.
type Comparison struct {
	Direct, ThroughNode *PathStats
	// Lateness99 is the 99th percentile of the delay between the intended and the
	// actual start of calls. CompareSequential leaves it at zero.
	Lateness99 time.Duration
	// Duration is the length of the run.
	Duration time.Duration
}

// Added returns the latency that the node adds at a quantile: the difference of the
// quantiles of the two paths.
func (c Comparison) Added(quantile float64) time.Duration {
	return c.ThroughNode.Quantile(quantile) - c.Direct.Quantile(quantile)
}

// client sends the calls of both paths.
type client struct {
	http *http.Client
	body []byte
}

func newClient(connections int) *client {
	return &client{http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
	}}}
}

// measureCall sends one call, reads the complete response and records the latency.
func (c *client) measureCall(ctx context.Context, path *PathStats) {
	started := time.Now()
	err := c.get(ctx, path.url)
	path.record(time.Since(started), err)
}

func (c *client) get(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, bytes.NewReader(c.body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
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

// CompareSequential sends the given number of calls on each path, one at a time and
// alternately.
func CompareSequential(ctx context.Context, directURL, throughURL string, calls int) Comparison {
	comparison := Comparison{Direct: newPathStats("direct", directURL), ThroughNode: newPathStats("through", throughURL)}
	client := newClient(1)
	started := time.Now()
	for range calls {
		if ctx.Err() != nil {
			break
		}
		client.measureCall(ctx, comparison.Direct)
		client.measureCall(ctx, comparison.ThroughNode)
	}
	comparison.Duration = time.Since(started)
	return comparison
}

// CompareAtRate sends calls at the given rate on each path, alternately and without
// waiting for responses.
func CompareAtRate(ctx context.Context, directURL, throughURL string, rate float64, duration time.Duration) Comparison {
	const connections = 512
	comparison := Comparison{Direct: newPathStats("direct", directURL), ThroughNode: newPathStats("through", throughURL), Duration: duration}
	client := newClient(connections)
	startDelays := newPathStats("lateness", "")
	interval := time.Duration(float64(time.Second) / rate / 2)
	started := time.Now()
	var calls sync.WaitGroup
	paths := [2]*PathStats{comparison.Direct, comparison.ThroughNode}
	for i := 0; time.Duration(i)*interval < duration && ctx.Err() == nil; i++ {
		due := started.Add(time.Duration(i) * interval)
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		startDelays.record(time.Since(due), nil)
		path := paths[i%len(paths)]
		calls.Go(func() { client.measureCall(ctx, path) })
	}
	calls.Wait()
	comparison.Lateness99 = startDelays.Quantile(99)
	return comparison
}

// responseBytes is the length of the target's response body.
const responseBytes = 512

// startTarget starts a target that responds immediately. It serves until the returned
// listener is closed.
func startTarget() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, oops.In("overhead").With("step", "listen").Wrap(err)
	}
	response := bytes.Repeat([]byte("a"), responseBytes)
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(response)
		}),
	}
	go func() { _ = server.Serve(listener) }()
	return listener, nil
}
