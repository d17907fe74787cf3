package experiment

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/mesh"
)

// Sample is the state of all nodes and targets at one point in time.
type Sample struct {
	// Seconds is the time since the start of the load.
	Seconds float64 `json:"seconds"`
	// Nodes is the number of nodes whose metrics could be read.
	Nodes int `json:"nodes"`
	// Retries is the number of retries by nodes since their start.
	Retries float64 `json:"retries"`
	// Refusals is the number of refusals by all listeners of the nodes since their
	// start.
	Refusals float64 `json:"refusals"`
	// Services contains the state of each service's targets.
	Services []ServiceSample `json:"services"`
}

// ServiceSample is the state of one service's targets; values are sums over the
// targets unless noted.
type ServiceSample struct {
	Service string `json:"service"`
	// Limit, InFlight and Queued are the concurrency limits, running calls and
	// queued calls at the targets' home nodes.
	Limit    float64 `json:"limit"`
	InFlight float64 `json:"in_flight"`
	Queued   float64 `json:"queued"`
	// LowestThreshold and HighestThreshold are the extremes of the targets' shed
	// thresholds. Calls whose rank key is at or above the threshold of their target
	// are refused upstream; criticality.RankCount refuses none.
	LowestThreshold  float64 `json:"lowest_threshold"`
	HighestThreshold float64 `json:"highest_threshold"`
	// Busy and Waiting are the used slots and the waiting calls that the targets
	// report.
	Busy    int64 `json:"busy"`
	Waiting int64 `json:"waiting"`
}

// Queued returns the number of calls of all services that are queued at home nodes.
func (s Sample) Queued() float64 {
	total := 0.0
	for _, service := range s.Services {
		total += service.Queued
	}
	return total
}

// Waiting returns the number of calls of all services that wait at targets.
func (s Sample) Waiting() int64 {
	var total int64
	for _, service := range s.Services {
		total += service.Waiting
	}
	return total
}

// LowestThreshold returns the lowest shed threshold of all services.
func (s Sample) LowestThreshold() float64 {
	lowest := float64(criticality.RankCount)
	for _, service := range s.Services {
		lowest = min(lowest, service.LowestThreshold)
	}
	return lowest
}

// sampler takes samples of a cluster.
type sampler struct {
	cluster *cluster.Cluster
	client  *http.Client
}

// requestTimeout is the timeout for reading the metrics of one node.
const requestTimeout = 500 * time.Millisecond

func newSampler(c *cluster.Cluster) *sampler {
	return &sampler{cluster: c, client: &http.Client{Timeout: requestTimeout}}
}

// sample reads the state of the targets and then of all nodes in parallel. Those that
// don't respond are left out of the sums.
func (s *sampler) sample(ctx context.Context, start time.Time) Sample {
	sample := newSample(s.cluster.Mesh)
	sample.Seconds = time.Since(start).Seconds()
	if state, err := s.cluster.TargetState(ctx); err == nil {
		for _, target := range state.Targets {
			service := sample.service(target.Service)
			service.Busy += target.Busy
			service.Waiting += target.Waiting
		}
	}
	serviceOf := make(map[string]string, len(s.cluster.Mesh.Targets))
	for _, target := range s.cluster.Mesh.Targets {
		serviceOf[target.Name] = target.Service
	}
	for _, families := range s.scrapeNodes(ctx) {
		if families != nil {
			sample.addNode(families, serviceOf)
		}
	}
	return sample
}

// newSample returns a sample without nodes, whose thresholds are the identity values
// of minimum and maximum.
func newSample(m *mesh.Mesh) Sample {
	var sample Sample
	for _, service := range m.Services {
		sample.Services = append(sample.Services, ServiceSample{
			Service:          service.Name,
			LowestThreshold:  criticality.RankCount,
			HighestThreshold: -1,
		})
	}
	return sample
}

// service returns the sample of a service, which must be in the mesh.
func (s *Sample) service(name string) *ServiceSample {
	index := slices.IndexFunc(s.Services, func(service ServiceSample) bool { return service.Service == name })
	return &s.Services[index]
}

// metricFamilies contains the metrics of a node by name.
type metricFamilies map[string]*dto.MetricFamily

// scrapeNodes returns the metrics of all nodes; those of nodes that aren't running or
// can't be read are nil.
func (s *sampler) scrapeNodes(ctx context.Context) []metricFamilies {
	results := make([]metricFamilies, len(s.cluster.Nodes))
	var scrapes sync.WaitGroup
	for i, node := range s.cluster.Nodes {
		if node.Running() {
			scrapes.Go(func() { results[i] = s.scrapeNode(ctx, node) })
		}
	}
	scrapes.Wait()
	return results
}

// scrapeNode returns the metrics of a node, or nil if they can't be read.
func (s *sampler) scrapeNode(ctx context.Context, node *cluster.Node) metricFamilies {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Addresses.Admin+"/metrics", nil)
	if err != nil {
		return nil
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return nil
	}
	return families
}

// addNode adds the metrics of a node. serviceOf maps names of targets to services.
func (s *Sample) addNode(families metricFamilies, serviceOf map[string]string) {
	s.Nodes++
	s.Retries += families.sumSeries("lugspur_retries_total")
	s.Refusals += families.sumSeries("lugspur_refusals_total")
	forEachTarget := func(name string, update func(service *ServiceSample, value float64)) {
		for _, metric := range families[name].GetMetric() {
			for _, label := range metric.GetLabel() {
				if service, known := serviceOf[label.GetValue()]; known && label.GetName() == "target" {
					update(s.service(service), metric.GetGauge().GetValue())
				}
			}
		}
	}
	forEachTarget("lugspur_target_limit", func(service *ServiceSample, value float64) { service.Limit += value })
	forEachTarget("lugspur_target_in_flight", func(service *ServiceSample, value float64) { service.InFlight += value })
	forEachTarget("lugspur_target_queued", func(service *ServiceSample, value float64) { service.Queued += value })
	forEachTarget("lugspur_target_shed_threshold", func(service *ServiceSample, value float64) {
		service.LowestThreshold = min(service.LowestThreshold, value)
		service.HighestThreshold = max(service.HighestThreshold, value)
	})
}

// sumSeries returns the sum of all series of a counter or gauge.
func (m metricFamilies) sumSeries(name string) float64 {
	total := 0.0
	for _, metric := range m[name].GetMetric() {
		total += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	}
	return total
}
