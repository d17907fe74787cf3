package sidecar

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/store"
)

// storeCallsPeriod is the time between two log lines of calls to the store.
const storeCallsPeriod = 10 * time.Second

// storeCall is a kind of call to the store.
type storeCall struct {
	purpose       store.Purpose
	call, outcome string
}

// storeCalls counts the calls to the store, for metrics and the log. It
// implements platform.Observer and prometheus.Collector.
type storeCalls struct {
	log *eventlog.Log

	mutex  sync.Mutex
	total  map[storeCall]int
	logged map[storeCall]int
}

func newStoreCalls(log *eventlog.Log) *storeCalls {
	return &storeCalls{log: log, total: make(map[storeCall]int), logged: make(map[storeCall]int)}
}

// CallEnded implements platform.Observer.
func (c *storeCalls) CallEnded(purpose store.Purpose, call, outcome string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.total[storeCall{purpose, call, outcome}]++
}

// run logs the calls from time to time until the context ends.
func (c *storeCalls) run(ctx context.Context) {
	ticker := time.NewTicker(storeCallsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.record()
		}
	}
}

// record logs the calls since it did so last.
func (c *storeCalls) record() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sum := 0
	var parts []string
	for kind, total := range c.total {
		if count := total - c.logged[kind]; count > 0 {
			c.logged[kind] = total
			sum += count
			parts = append(parts, fmt.Sprintf("%s/%s/%s=%d", kind.purpose, strings.ReplaceAll(kind.call, " ", "-"), kind.outcome, count))
		}
	}
	if sum == 0 {
		return
	}
	sort.Strings(parts)
	c.log.Record(eventlog.Event{Kind: eventlog.StoreCalls, Count: sum, Outcome: strings.Join(parts, " ")})
}

var storeCallsDescription = prometheus.NewDesc(namespace+"_store_calls_total", "Calls to the store by purpose, call and outcome.", []string{"purpose", "call", "outcome"}, nil)

// Describe implements prometheus.Collector.
func (c *storeCalls) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- storeCallsDescription
}

// Collect implements prometheus.Collector.
func (c *storeCalls) Collect(values chan<- prometheus.Metric) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for kind, total := range c.total {
		values <- prometheus.MustNewConstMetric(storeCallsDescription, prometheus.CounterValue, float64(total), string(kind.purpose), kind.call, kind.outcome)
	}
}
