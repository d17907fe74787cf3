package sidecar

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/forward"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/registry"
)

const (
	namespace = "lugspur"
	// maxRoutes bounds the routes that metrics tell apart; all others are counted
	// under otherRoute.
	maxRoutes  = 64
	otherRoute = "other"
)

// buckets are the upper bounds of histograms, in seconds.
var buckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5}

// metrics counts what becomes of requests and of calls to the target beside the
// node. It implements forward.Observer and guard.Observer.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	calls    *prometheus.CounterVec
	sent     *prometheus.CounterVec
	refused  *prometheus.CounterVec
	waited   *prometheus.HistogramVec
	ran      *prometheus.HistogramVec
	stalled  prometheus.Counter

	tenants *tenantCounter

	// endings holds the series of each ending that was seen. Routes are bounded, and
	// statuses and reasons few.
	endings sync.Map

	mutex  sync.Mutex
	routes map[string]bool
}

func newMetrics(log *eventlog.Log) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "requests_total",
			Help:      "Requests that began on this machine, by route, status and reason; status 0 is a caller that left.",
		}, []string{"route", "status", "reason"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "request_duration_seconds",
			Help:      "Time from a request's arrival to its end, by route and whether a target answered.",
			Buckets:   buckets,
		}, []string{"route", "answered"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "calls_total",
			Help:      "Calls to the target beside the node, by outcome and reason.",
		}, []string{"outcome", "reason"}),
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "retry_budget_events_total",
			Help:      "Requests sent from here by service: first, repeated or unpaid (no budget left), and why they were to be repeated.",
		}, []string{"service", "kind", "cause"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "heartbeats_refused_total",
			Help:      "Heartbeats that were turned away, by reason.",
		}, []string{"reason"}),
		waited: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "call_queue_seconds",
			Help:      "Time that calls waited for room at the target, by outcome.",
			Buckets:   buckets,
		}, []string{"outcome"}),
		ran: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "call_target_seconds",
			Help:      "Time that calls spent at the target, by outcome.",
			Buckets:   buckets,
		}, []string{"outcome"}),
		stalled: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "process_stalled_seconds_total",
			Help:      "Time for which the process stood still, without the first 0.15 s of each time.",
		}),
		tenants: newTenantCounter(),
		routes:  make(map[string]bool),
	}
	m.registry.MustRegister(m.tenants.requests, m.requests, m.duration, m.calls, m.sent, m.refused, m.waited, m.ran, m.stalled, &eventCollector{log: log})
	return m
}

// Finished counts a request that ended.
func (m *metrics) Finished(route string, status int, reason string, duration time.Duration) {
	series := m.seriesOf(ending{m.bounded(route), status, reason})
	series.count.Inc()
	series.duration.Observe(duration.Seconds())
}

// ending is how requests of a route ended.
type ending struct {
	route  string
	status int
	reason string
}

// endingSeries are the series that count an ending. Finding them by their labels takes
// longer than counting.
type endingSeries struct {
	count    prometheus.Counter
	duration prometheus.Observer
}

func (m *metrics) seriesOf(e ending) endingSeries {
	if known, found := m.endings.Load(e); found {
		return known.(endingSeries)
	}
	series := endingSeries{
		count:    m.requests.WithLabelValues(e.route, strconv.Itoa(e.status), e.reason),
		duration: m.duration.WithLabelValues(e.route, strconv.FormatBool(e.reason == "")),
	}
	m.endings.Store(e, series)
	return series
}

// Identified counts what was decided by the API key and the limit of a tenant.
func (m *metrics) Identified(tenant string, reason problem.Reason) { m.tenants.count(tenant, reason) }

// BudgetCounted counts what the retry budget of a service counted.
func (m *metrics) BudgetCounted(service string, kind forward.BudgetEvent, cause peering.Reason) {
	m.sent.WithLabelValues(service, kind.String(), string(cause)).Inc()
}

// Stalled counts the time for which the process stood still.
func (m *metrics) Stalled(duration time.Duration) { m.stalled.Add(duration.Seconds()) }

// heartbeatRefused counts a heartbeat that was turned away.
func (m *metrics) heartbeatRefused(reason registry.RefusalReason) {
	m.refused.WithLabelValues(string(reason)).Inc()
}

// Ended counts a call to the target that ended.
func (m *metrics) Ended(outcome peering.Outcome, reason peering.Reason, waited, ran time.Duration) {
	name := outcome.String()
	m.calls.WithLabelValues(name, string(reason)).Inc()
	m.waited.WithLabelValues(name).Observe(waited.Seconds())
	if ran > 0 {
		m.ran.WithLabelValues(name).Observe(ran.Seconds())
	}
}

func (m *metrics) bounded(route string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.routes[route] {
		return route
	}
	if len(m.routes) >= maxRoutes {
		return otherRoute
	}
	m.routes[route] = true
	return route
}

func (m *metrics) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

func (m *metrics) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", m.serve)
	return mux
}

// decisive are the metrics that tell why requests fail. They come first on the page.
var decisive = []string{
	namespace + "_retry_budget_events_total", namespace + "_retry_budget_left",
	namespace + "_requests_total", namespace + "_calls_total", namespace + "_process_stalled_seconds_total",
}

// serve writes the page: first what is decisive, then the other metrics, then
// histograms, which take up most of it. A collector that keeps no more than the
// first kilobytes of a page then keeps what tells why requests fail.
func (m *metrics) serve(w http.ResponseWriter, r *http.Request) {
	families, err := m.registry.Gather()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	slices.SortStableFunc(families, func(a, b *dto.MetricFamily) int { return cmp.Compare(placeOf(a), placeOf(b)) })
	format := expfmt.NegotiateAccept(r.Header, expfmt.DefaultAcceptedFormats()...)
	w.Header().Set("Content-Type", string(format))
	encoder := expfmt.NewEncoder(w, format)
	for _, family := range families {
		if encoder.Encode(family) != nil {
			// The collector is gone.
			return
		}
	}
}

// placeOf returns where on the page a metric stands.
func placeOf(family *dto.MetricFamily) int {
	if place := slices.Index(decisive, family.GetName()); place >= 0 {
		return place
	}
	if family.GetType() == dto.MetricType_HISTOGRAM {
		return len(decisive) + 1
	}
	return len(decisive)
}

// eventCollector tells the counts of events by their kinds.
type eventCollector struct {
	log *eventlog.Log
}

var (
	eventsDescription = prometheus.NewDesc(namespace+"_events_total", "Events by kind, written to the log or not.", []string{"kind"}, nil)
	lostDescription   = prometheus.NewDesc(namespace+"_events_lost_total", "Events that were left out of the log.", nil, nil)
)

// Describe tells the metrics.
func (c *eventCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- eventsDescription
	descriptions <- lostDescription
}

// Collect tells the values.
func (c *eventCollector) Collect(values chan<- prometheus.Metric) {
	c.log.Counts(func(kind eventlog.Kind, count uint64) {
		values <- prometheus.MustNewConstMetric(eventsDescription, prometheus.CounterValue, float64(count), kind.String())
	})
	values <- prometheus.MustNewConstMetric(lostDescription, prometheus.CounterValue, float64(c.log.Lost()))
}
