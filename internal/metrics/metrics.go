// Package metrics exposes a node's metrics to Prometheus.
package metrics

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/lugspur/lugspur/internal/gateway"
	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/problem"
)

const namespace = "lugspur"

// Metrics records the calls of a node. It is safe for concurrent use.
type Metrics struct {
	registry     *prometheus.Registry
	answerCount  *prometheus.CounterVec
	refusalCount *prometheus.CounterVec
	duration     *prometheus.HistogramVec
	retryCount   *prometheus.CounterVec
	// answerCache maps answerKey to answerMetrics, so that an answered call costs
	// one look-up instead of one per metric.
	answerCache sync.Map
}

// answerKey holds the labels by which answered calls are counted.
type answerKey struct {
	listener gateway.Listener
	service  string
	status   int
}

// answerMetrics holds the metrics of one answerKey.
type answerMetrics struct {
	count    prometheus.Counter
	duration prometheus.Observer
}

// New returns metrics in a registry of their own, together with those of the Go
// runtime and the process.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		answerCount: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "answers_total",
			Help:      "Calls that got a target's answer, by its status.",
		}, []string{"listener", "service", "status"}),
		refusalCount: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "refusals_total",
			Help:      "Calls that got a problem document, by reason and by whether they may have run.",
		}, []string{"listener", "service", "reason", "executed"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "call_duration_seconds",
			Help:      "Time from a call's header to its answer, in seconds.",
			Buckets:   []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10},
		}, []string{"listener", "service"}),
		retryCount: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "retries_total",
			Help:      "Calls that this node sent again.",
		}, []string{"service"}),
	}
	m.registry.MustRegister(m.answerCount, m.refusalCount, m.duration, m.retryCount,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Handler returns the handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// RecordResponse records a call that received a response from a target.
func (m *Metrics) RecordResponse(listener gateway.Listener, service string, status int, duration time.Duration) {
	metrics := m.cachedAnswerMetrics(answerKey{listener: listener, service: service, status: status})
	metrics.count.Inc()
	metrics.duration.Observe(duration.Seconds())
}

func (m *Metrics) cachedAnswerMetrics(key answerKey) answerMetrics {
	if cached, found := m.answerCache.Load(key); found {
		return cached.(answerMetrics)
	}
	created := answerMetrics{
		count:    m.answerCount.WithLabelValues(string(key.listener), key.service, strconv.Itoa(key.status)),
		duration: m.duration.WithLabelValues(string(key.listener), key.service),
	}
	m.answerCache.Store(key, created)
	return created
}

// RecordProblem records a refused or failed call.
func (m *Metrics) RecordProblem(listener gateway.Listener, service string, failure *problem.Problem, _ time.Duration) {
	m.refusalCount.WithLabelValues(string(listener), service, string(failure.Reason), string(failure.Executed)).Inc()
}

// RecordRetry records a retry.
func (m *Metrics) RecordRetry(service string) { m.retryCount.WithLabelValues(service).Inc() }

// RegisterGauge registers a gauge whose value is read at each scrape.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// RegisterCounter registers a counter whose value is read at each scrape.
func (m *Metrics) RegisterCounter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// RegisterHomes registers the metrics of the targets whose home is this node.
func (m *Metrics) RegisterHomes(loads func() map[string]home.Load) {
	m.registry.MustRegister(&homeLoadCollector{loads: loads})
}

// homeLoadCollector collects the load of each target at its home.
type homeLoadCollector struct {
	loads func() map[string]home.Load
}

var (
	targetInFlight      = newTargetDesc("target_in_flight", "Calls in flight at the target, at its home.")
	targetLimit         = newTargetDesc("target_limit", "Calls that may be in flight at the target.")
	targetQueued        = newTargetDesc("target_queued", "Calls that wait for the target.")
	targetQueueDelay    = newTargetDesc("target_queue_delay_seconds", "Age of the oldest call that waits for the target.")
	targetShedThreshold = newTargetDesc("target_shed_threshold", "Rank key from which on calls for the target are refused upstream; 512 refuses none.")
)

func newTargetDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{"target"}, nil)
}

// Describe implements prometheus.Collector.
func (c *homeLoadCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{targetInFlight, targetLimit, targetQueued, targetQueueDelay, targetShedThreshold} {
		descs <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *homeLoadCollector) Collect(metrics chan<- prometheus.Metric) {
	for target, load := range c.loads() {
		send := func(desc *prometheus.Desc, value float64) {
			metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, target)
		}
		send(targetInFlight, float64(load.InFlight))
		send(targetLimit, float64(load.Limit))
		send(targetQueued, float64(load.Queued))
		send(targetQueueDelay, load.QueueDelay.Seconds())
		send(targetShedThreshold, float64(load.Threshold))
	}
}
