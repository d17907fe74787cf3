package sidecar

import (
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/memorybudget"
)

// memoryLogInterval is the minimum time between two events that memory is short.
const memoryLogInterval = time.Second

// limitMemory bounds the memory of messages and of the garbage collector by the settings.
func (n *Node) limitMemory() {
	memory := n.settings.Resources.memoryBytes()
	if memory > 0 {
		debug.SetMemoryLimit(memorybudget.CollectorLimit(memory))
	}
	var lastLogged atomic.Int64
	n.memory = memorybudget.New(memorybudget.LimitsFor(memory), clock.Now, func(purpose memorybudget.Purpose, size, held int64) {
		now, last := time.Now().UnixNano(), lastLogged.Load()
		if now-last < int64(memoryLogInterval) || !lastLogged.CompareAndSwap(last, now) {
			return
		}
		n.log.Record(eventlog.Event{Kind: eventlog.MemoryShort, Outcome: purpose.String(), Count: int(held), Reason: "no memory left for a message"})
	})
	n.metrics.registry.MustRegister(&memoryCollector{budget: n.memory})
}

// memoryCollector exports the bytes that messages take. It implements prometheus.Collector.
type memoryCollector struct {
	budget *memorybudget.Budget
}

var (
	heldBytesDescription    = prometheus.NewDesc(namespace+"_message_bytes", "Bytes of messages that are held, by purpose.", []string{"purpose"}, nil)
	messageLimitDescription = prometheus.NewDesc(namespace+"_message_limit_bytes", "Bytes that all messages together may take.", nil, nil)
	refusedDescription      = prometheus.NewDesc(namespace+"_messages_refused_total", "Messages for which there was no memory, by purpose.", []string{"purpose"}, nil)
)

// Describe implements prometheus.Collector.
func (c *memoryCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- heldBytesDescription
	descriptions <- messageLimitDescription
	descriptions <- refusedDescription
}

// Collect implements prometheus.Collector.
func (c *memoryCollector) Collect(values chan<- prometheus.Metric) {
	for _, purpose := range memorybudget.Purposes() {
		values <- prometheus.MustNewConstMetric(heldBytesDescription, prometheus.GaugeValue, float64(c.budget.Held(purpose)), purpose.String())
		values <- prometheus.MustNewConstMetric(refusedDescription, prometheus.CounterValue, float64(c.budget.Refused(purpose)), purpose.String())
	}
	values <- prometheus.MustNewConstMetric(messageLimitDescription, prometheus.GaugeValue, float64(c.budget.Limits().Total))
}
