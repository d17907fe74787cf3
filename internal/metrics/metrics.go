// Package metrics exposes what a node does to Prometheus.
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

// Metrics counts the calls of a node. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	answers  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	duration *prometheus.HistogramVec
	retries  *prometheus.CounterVec
	// answered holds the metrics of answers by answerKey, so that an answered
	// call costs one look-up.
	answered sync.Map
}

// answerKey is what answered calls are counted by.
type answerKey struct {
	listener gateway.Listener
	service  string
	status   int
}

// answerMetrics are the metrics of one answerKey.
type answerMetrics struct {
	count    prometheus.Counter
	duration prometheus.Observer
}

// New returns metrics in a registry of their own.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "answers_total",
			Help:      "Calls that got a target's answer, by its status.",
		}, []string{"listener", "service", "status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
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
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "retries_total",
			Help:      "Calls that this node sent again.",
		}, []string{"service"}),
	}
	m.registry.MustRegister(m.answers, m.refusals, m.duration, m.retries,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Answered counts an answered call.
func (m *Metrics) Answered(listener gateway.Listener, service string, status int, duration time.Duration) {
	metrics := m.answersOf(answerKey{listener: listener, service: service, status: status})
	metrics.count.Inc()
	metrics.duration.Observe(duration.Seconds())
}

func (m *Metrics) answersOf(key answerKey) answerMetrics {
	if known, found := m.answered.Load(key); found {
		return known.(answerMetrics)
	}
	made := answerMetrics{
		count:    m.answers.WithLabelValues(string(key.listener), key.service, strconv.Itoa(key.status)),
		duration: m.duration.WithLabelValues(string(key.listener), key.service),
	}
	m.answered.Store(key, made)
	return made
}

// Refused counts a refused or failed call.
func (m *Metrics) Refused(listener gateway.Listener, service string, failure *problem.Problem, _ time.Duration) {
	m.refusals.WithLabelValues(string(listener), service, string(failure.Reason), string(failure.Executed)).Inc()
}

// Retried counts a retry.
func (m *Metrics) Retried(service string) { m.retries.WithLabelValues(service).Inc() }

// RegisterGauge adds a value that is read when the metrics are.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// RegisterCounter adds a counter that is read when the metrics are.
func (m *Metrics) RegisterCounter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// RegisterHomes adds the loads of the targets that the node is the home of.
func (m *Metrics) RegisterHomes(loads func() map[string]home.Load) {
	m.registry.MustRegister(&homeCollector{loads: loads})
}

// homeCollector reads the homes' loads when the metrics are read.
type homeCollector struct {
	loads func() map[string]home.Load
}

var (
	targetInFlight  = targetDescription("target_in_flight", "Calls in flight at the target, at its home.")
	targetLimit     = targetDescription("target_limit", "Calls that may be in flight at the target.")
	targetQueued    = targetDescription("target_queued", "Calls that wait for the target.")
	targetDelay     = targetDescription("target_queue_delay_seconds", "Age of the oldest call that waits for the target.")
	targetThreshold = targetDescription("target_shed_threshold", "Rank key from which on calls for the target are refused upstream; 512 refuses none.")
)

func targetDescription(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{"target"}, nil)
}

// Describe sends the descriptions of the metrics.
func (c *homeCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{targetInFlight, targetLimit, targetQueued, targetDelay, targetThreshold} {
		descriptions <- description
	}
}

// Collect sends the present values.
func (c *homeCollector) Collect(values chan<- prometheus.Metric) {
	for target, load := range c.loads() {
		send := func(description *prometheus.Desc, value float64) {
			values <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, target)
		}
		send(targetInFlight, float64(load.InFlight))
		send(targetLimit, float64(load.Limit))
		send(targetQueued, float64(load.Queued))
		send(targetDelay, load.QueueDelay.Seconds())
		send(targetThreshold, float64(load.Threshold))
	}
}
