package sidecar

import (
	"context"
	"maps"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/downstream"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/shortage"
)

// shortageInterval is the interval at which changes of the directory are applied to the thresholds of
// services, and at which these are logged. Homes update their thresholds as often.
const shortageInterval = 100 * time.Millisecond

// createShortages creates the tables of thresholds by service and of what requests need downstream if
// the deployment must expect shortage, and registers their metrics.
func (n *Node) createShortages() {
	if !n.settings.Shortage.Expected() {
		return
	}
	n.shortages = shortage.New(n.settings.Service, n.settings.advertised(), clock.Now)
	n.costs = downstream.New(n.settings.Service, clock.Now)
	n.metrics.registry.MustRegister(&shortageCollector{shortages: n.shortages}, &costCollector{costs: n.costs, label: n.metrics.routeLabel})
}

// watchShortages applies the directory to the thresholds of services and logs their changes, until
// the context ends.
func (n *Node) watchShortages(ctx context.Context) {
	ticker := time.NewTicker(shortageInterval)
	defer ticker.Stop()
	var applied map[string]int
	var changes shortage.Changes
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			applied = n.applyWeights(applied)
			n.logThresholds(&changes)
		}
	}
}

// applyWeights applies the weights of services that differ from those applied last, and returns the
// current ones.
func (n *Node) applyWeights(applied map[string]int) map[string]int {
	current := n.directory.Weights()
	if maps.Equal(applied, current) {
		return current
	}
	for service := range applied {
		if current[service] == 0 {
			n.shortages.SetHomes(service, 0)
		}
	}
	for service, weight := range current {
		if applied[service] != weight {
			n.shortages.SetHomes(service, weight)
		}
	}
	return current
}

func (n *Node) logThresholds(changes *shortage.Changes) {
	now := clock.Now()
	n.shortages.Thresholds(func(service string, threshold uint16) {
		if changes.Notable(service, threshold, now) {
			n.log.Record(eventlog.Event{Kind: eventlog.ServiceThresholdChanged, Service: service, Count: int(threshold) * percent / criticality.RankCount})
		}
	})
}

// percent is the number of hundredths in a whole.
const percent = 100

// shortageCollector exports the thresholds of services and the numbers of reports. It implements
// prometheus.Collector.
type shortageCollector struct {
	shortages *shortage.Table
}

var (
	serviceThresholdDescription = prometheus.NewDesc(namespace+"_service_threshold_ratio",
		"Part of all ranks for which the service has room, according to reports of its homes; requests that need it are refused from there on. 1 refuses nothing.", []string{"service"}, nil)
	shortageReportsDescription = prometheus.NewDesc(namespace+"_shortage_reports_total",
		"Reports on shortages of capacity: own (created by this home), relayed (those of other homes added to replies) or ignored (received, but not valid).", []string{"kind"}, nil)
)

// Describe implements prometheus.Collector.
func (c *shortageCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- serviceThresholdDescription
	descriptions <- shortageReportsDescription
}

// Collect implements prometheus.Collector.
func (c *shortageCollector) Collect(values chan<- prometheus.Metric) {
	c.shortages.Thresholds(func(service string, threshold uint16) {
		values <- prometheus.MustNewConstMetric(serviceThresholdDescription, prometheus.GaugeValue, float64(threshold)/float64(shed.None), service)
	})
	counts := c.shortages.Counts()
	for kind, count := range map[string]uint64{"own": counts.Own, "relayed": counts.Relayed, "ignored": counts.Ignored} {
		values <- prometheus.MustNewConstMetric(shortageReportsDescription, prometheus.CounterValue, float64(count), kind)
	}
}

// costCollector exports what requests use of each service. It implements prometheus.Collector.
type costCollector struct {
	costs *downstream.Table
	// label returns the label of a route.
	label func(route string) string
}

var slotTimeDescription = prometheus.NewDesc(namespace+"_route_slot_seconds",
	"Slot time that one request of the route uses of the service, over its whole tree of calls, as homes reported it.", []string{"route", "service"}, nil)

// Describe implements prometheus.Collector.
func (c *costCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- slotTimeDescription
}

// Collect implements prometheus.Collector. Routes without a label of their own are left out. Of a
// split route, the higher figure is exported.
func (c *costCollector) Collect(values chan<- prometheus.Metric) {
	type labels struct{ route, service string }
	slotTimes := make(map[labels]time.Duration)
	c.costs.Learned(func(route string, cost downstream.Cost) {
		if label := c.label(route); label != otherRoute {
			slotTimes[labels{label, cost.Service}] = max(slotTimes[labels{label, cost.Service}], cost.SlotTime)
		}
	})
	for l, slotTime := range slotTimes {
		values <- prometheus.MustNewConstMetric(slotTimeDescription, prometheus.GaugeValue, slotTime.Seconds(), l.route, l.service)
	}
}
