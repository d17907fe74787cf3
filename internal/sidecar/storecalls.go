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

// storeCallsLogInterval is the time between log events with the counts of store calls.
const storeCallsLogInterval = 10 * time.Second

// storeCallKey identifies the counter of a store call.
type storeCallKey struct {
	purpose       store.Purpose
	call, outcome string
}

// storeCalls counts calls to the store for metrics and the log. It implements
// platform.Observer and prometheus.Collector.
type storeCalls struct {
	log *eventlog.Log

	mutex  sync.Mutex
	totals map[storeCallKey]int
	logged map[storeCallKey]int
}

func newStoreCalls(log *eventlog.Log) *storeCalls {
	return &storeCalls{log: log, totals: make(map[storeCallKey]int), logged: make(map[storeCallKey]int)}
}

// CallEnded implements platform.Observer.
func (c *storeCalls) CallEnded(purpose store.Purpose, call, outcome string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.totals[storeCallKey{purpose, call, outcome}]++
}

// run logs the counts periodically until the context ends.
func (c *storeCalls) run(ctx context.Context) {
	ticker := time.NewTicker(storeCallsLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.logCounts()
		}
	}
}

// logCounts logs the calls since the last log event, if there are any.
func (c *storeCalls) logCounts() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sum := 0
	var parts []string
	for key, total := range c.totals {
		if count := total - c.logged[key]; count > 0 {
			c.logged[key] = total
			sum += count
			parts = append(parts, fmt.Sprintf("%s/%s/%s=%d", key.purpose, strings.ReplaceAll(key.call, " ", "-"), key.outcome, count))
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
	for key, total := range c.totals {
		values <- prometheus.MustNewConstMetric(storeCallsDescription, prometheus.CounterValue, float64(total), string(key.purpose), key.call, key.outcome)
	}
}
