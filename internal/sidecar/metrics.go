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
	"github.com/lugspur/lugspur/internal/guard"
	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/registry"
)

const (
	namespace = "lugspur"
	// maxRouteLabels bounds the number of route labels; further routes are counted under
	// otherRoute.
	maxRouteLabels = 64
	otherRoute     = "other"
)

// durationBuckets are the upper bounds of histogram buckets, in seconds.
var durationBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5}

// metrics counts requests and calls to the local target by outcome. It implements
// forward.Observer and guard.Observer.
type metrics struct {
	registry          *prometheus.Registry
	requests          *prometheus.CounterVec
	duration          *prometheus.HistogramVec
	calls             *prometheus.CounterVec
	callsSent         *prometheus.CounterVec
	callsGivenBack    *prometheus.CounterVec
	loadReports       *prometheus.CounterVec
	zoneExits         prometheus.Counter
	budgetEvents      *prometheus.CounterVec
	heartbeatRefusals *prometheus.CounterVec
	queueTime         *prometheus.HistogramVec
	targetTime        *prometheus.HistogramVec
	stallTime         prometheus.Counter

	tenants *tenantCounter

	// series caches the requestSeries of each requestLabels value. Its size is bounded, as
	// there are at most maxRouteLabels routes and few statuses and reasons.
	series sync.Map

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
			Buckets:   durationBuckets,
		}, []string{"route", "answered"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "calls_total",
			Help:      "Calls to the target beside the node, by outcome and reason.",
		}, []string{"outcome", "reason"}),
		callsSent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "calls_sent_total",
			Help:      "Calls that were sent to the target beside the node, by kind: first, nested or retry.",
		}, []string{"kind"}),
		callsGivenBack: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "calls_given_back_total",
			Help:      "Queued calls that were given back because they would complete much earlier at another home, by service.",
		}, []string{"service"}),
		loadReports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "target_load_reports_total",
			Help:      "Load reports of the target beside the node, by kind: pace, no-pace or malformed.",
		}, []string{"kind"}),
		zoneExits: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "zone_exits_total",
			Help:      "Choices of a home in another zone for requests that began on this machine.",
		}),
		budgetEvents: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "retry_budget_events_total",
			Help:      "Requests sent from here by service: first, repeated or unpaid (no budget left), and why they were to be repeated.",
		}, []string{"service", "kind", "cause"}),
		heartbeatRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "heartbeats_refused_total",
			Help:      "Heartbeats that were turned away, by reason.",
		}, []string{"reason"}),
		queueTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "call_queue_seconds",
			Help:      "Time that calls waited for room at the target, by outcome.",
			Buckets:   durationBuckets,
		}, []string{"outcome"}),
		targetTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "call_target_seconds",
			Help:      "Time that calls spent at the target, by outcome.",
			Buckets:   durationBuckets,
		}, []string{"outcome"}),
		stallTime: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "process_stalled_seconds_total",
			Help:      "Time for which the process stood still, without the first 0.15 s of each time.",
		}),
		tenants: newTenantCounter(),
		routes:  make(map[string]bool),
	}
	m.registry.MustRegister(m.tenants.requests, m.requests, m.duration, m.calls, m.callsSent, m.callsGivenBack, m.loadReports, m.zoneExits, m.budgetEvents, m.heartbeatRefusals, m.queueTime, m.targetTime, m.stallTime, &eventCollector{log: log})
	return m
}

// RequestFinished counts a finished request.
func (m *metrics) RequestFinished(route string, status int, reason string, duration time.Duration) {
	series := m.seriesOf(requestLabels{m.routeLabel(route), status, reason})
	series.count.Inc()
	series.duration.Observe(duration.Seconds())
}

// requestLabels are the label values of a finished request.
type requestLabels struct {
	route  string
	status int
	reason string
}

// requestSeries are the series that count requests with the same labels. They are cached, as
// a lookup by label values takes longer than the count itself.
type requestSeries struct {
	count    prometheus.Counter
	duration prometheus.Observer
}

func (m *metrics) seriesOf(labels requestLabels) requestSeries {
	if cached, found := m.series.Load(labels); found {
		return cached.(requestSeries)
	}
	series := requestSeries{
		count:    m.requests.WithLabelValues(labels.route, strconv.Itoa(labels.status), labels.reason),
		duration: m.duration.WithLabelValues(labels.route, strconv.FormatBool(labels.reason == "")),
	}
	m.series.Store(labels, series)
	return series
}

// TenantChecked counts the result of the API key check and of the tenant's rate limit.
func (m *metrics) TenantChecked(tenant string, reason problem.Reason) {
	m.tenants.count(tenant, reason)
}

// BudgetCounted counts an event of a service's retry budget.
func (m *metrics) BudgetCounted(service string, kind forward.BudgetEvent, cause peering.Reason) {
	m.budgetEvents.WithLabelValues(service, kind.String(), string(cause)).Inc()
}

// Stalled adds the duration of a process stall.
func (m *metrics) Stalled(duration time.Duration) { m.stallTime.Add(duration.Seconds()) }

// countRefusedHeartbeat counts a refused heartbeat.
func (m *metrics) countRefusedHeartbeat(reason registry.RefusalReason) {
	m.heartbeatRefusals.WithLabelValues(string(reason)).Inc()
}

// CallFinished counts a finished call to the target.
func (m *metrics) CallFinished(outcome peering.Outcome, reason peering.Reason, queueTime, targetTime time.Duration) {
	name := outcome.String()
	m.calls.WithLabelValues(name, string(reason)).Inc()
	m.queueTime.WithLabelValues(name).Observe(queueTime.Seconds())
	if targetTime > 0 {
		m.targetTime.WithLabelValues(name).Observe(targetTime.Seconds())
	}
}

// CallSent counts a call that is sent to the target.
func (m *metrics) CallSent(kind guard.SendKind) { m.callsSent.WithLabelValues(kind.String()).Inc() }

// CallGivenBack counts a queued call that is given back.
func (m *metrics) CallGivenBack(service string) { m.callsGivenBack.WithLabelValues(service).Inc() }

// LoadReported counts a load report of the target.
func (m *metrics) LoadReported(kind pace.Kind) { m.loadReports.WithLabelValues(kind.String()).Inc() }

// ZoneLeft counts the choice of a home in another zone.
func (m *metrics) ZoneLeft() { m.zoneExits.Inc() }

// routeLabel returns the label for the route: its name, or otherRoute once there are
// maxRouteLabels others.
func (m *metrics) routeLabel(route string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.routes[route] {
		return route
	}
	if len(m.routes) >= maxRouteLabels {
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

// failureMetrics are the metrics that show why requests fail. They come first on the page.
var failureMetrics = []string{
	namespace + "_retry_budget_events_total", namespace + "_retry_budget_left",
	namespace + "_requests_total", namespace + "_calls_total", namespace + "_calls_sent_total", namespace + "_target_rate_limit", namespace + "_process_stalled_seconds_total",
}

// serve writes the metrics page: failureMetrics first, then other metrics, then histograms,
// which take up most of the page. A collector that truncates the page after the first
// kilobytes thus still gets the metrics that show why requests fail.
func (m *metrics) serve(w http.ResponseWriter, r *http.Request) {
	families, err := m.registry.Gather()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	slices.SortStableFunc(families, func(a, b *dto.MetricFamily) int { return cmp.Compare(pageOrder(a), pageOrder(b)) })
	format := expfmt.NegotiateAccept(r.Header, expfmt.DefaultAcceptedFormats()...)
	w.Header().Set("Content-Type", string(format))
	encoder := expfmt.NewEncoder(w, format)
	for _, family := range families {
		if encoder.Encode(family) != nil {
			// The collector closed the connection.
			return
		}
	}
}

// pageOrder returns the sort key of a metric on the page.
func pageOrder(family *dto.MetricFamily) int {
	if index := slices.Index(failureMetrics, family.GetName()); index >= 0 {
		return index
	}
	if family.GetType() == dto.MetricType_HISTOGRAM {
		return len(failureMetrics) + 1
	}
	return len(failureMetrics)
}

// eventCollector exports the number of log events by kind. It implements
// prometheus.Collector.
type eventCollector struct {
	log *eventlog.Log
}

var (
	eventsDescription     = prometheus.NewDesc(namespace+"_events_total", "Events by kind, written to the log or not.", []string{"kind"}, nil)
	eventsLostDescription = prometheus.NewDesc(namespace+"_events_lost_total", "Events that were left out of the log.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c *eventCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- eventsDescription
	descriptions <- eventsLostDescription
}

// Collect implements prometheus.Collector.
func (c *eventCollector) Collect(values chan<- prometheus.Metric) {
	c.log.Counts(func(kind eventlog.Kind, count uint64) {
		values <- prometheus.MustNewConstMetric(eventsDescription, prometheus.CounterValue, float64(count), kind.String())
	})
	values <- prometheus.MustNewConstMetric(eventsLostDescription, prometheus.CounterValue, float64(c.log.Lost()))
}
