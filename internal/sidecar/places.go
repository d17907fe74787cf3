package sidecar

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/returnplace"
)

// createPlaces creates the schedule of return places if the deployment must expect shortage,
// and registers its metrics.
func (n *Node) createPlaces() {
	if n.settings.Shortage.Expected() {
		n.places = returnplace.New(clock.Now())
	}
	n.metrics.registry.MustRegister(&placeCollector{places: n.places})
}

// placeCollector exports the numbers of return places by result, zeros if none are given. It
// implements prometheus.Collector.
type placeCollector struct {
	places *returnplace.Schedule
}

var placesDescription = prometheus.NewDesc(namespace+"_return_places_total",
	"Places for the return of refused requests: given, used, expired, or none-left for requests that got none.", []string{"result"}, nil)

// Describe implements prometheus.Collector.
func (c *placeCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- placesDescription
}

// Collect implements prometheus.Collector.
func (c *placeCollector) Collect(values chan<- prometheus.Metric) {
	var counts returnplace.Counts
	if c.places != nil {
		counts = c.places.Counts(clock.Now())
	}
	for result, count := range map[string]uint64{"given": counts.Given, "used": counts.Used, "expired": counts.Expired, "none-left": counts.NoneLeft} {
		values <- prometheus.MustNewConstMetric(placesDescription, prometheus.CounterValue, float64(count), result)
	}
}
