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

// Sample is the state of all nodes and targets at one moment.
type Sample struct {
	// Seconds is the time since the start of the load.
	Seconds float64 `json:"seconds"`
	// Nodes is the number of nodes that answered.
	Nodes int `json:"nodes"`
	// Retries counts the calls that nodes sent again since their start.
	Retries float64 `json:"retries"`
	// Refusals counts the refusals of all listeners of nodes since their start.
	Refusals float64 `json:"refusals"`
	// Services are the states of the services' targets.
	Services []ServiceSample `json:"services"`
}

// ServiceSample is the state of one service's targets, summed.
type ServiceSample struct {
	Service string `json:"service"`
	// Limit, InFlight and Queued are those at the targets' homes.
	Limit    float64 `json:"limit"`
	InFlight float64 `json:"in_flight"`
	Queued   float64 `json:"queued"`
	// LowestThreshold and HighestThreshold are the rank keys from which on calls
	// for a target are refused upstream; criticality.RankCount refuses none.
	LowestThreshold  float64 `json:"lowest_threshold"`
	HighestThreshold float64 `json:"highest_threshold"`
	// Busy and Waiting are slots in use and calls in line, by the targets
	// themselves.
	Busy    int64 `json:"busy"`
	Waiting int64 `json:"waiting"`
}

// Queued is the number of calls that wait at homes, of all services.
func (s Sample) Queued() float64 {
	total := 0.0
	for _, service := range s.Services {
		total += service.Queued
	}
	return total
}

// Waiting is the number of calls in line at targets, of all services.
func (s Sample) Waiting() int64 {
	var total int64
	for _, service := range s.Services {
		total += service.Waiting
	}
	return total
}

// LowestThreshold is the lowest of all services.
func (s Sample) LowestThreshold() float64 {
	lowest := float64(criticality.RankCount)
	for _, service := range s.Services {
		lowest = min(lowest, service.LowestThreshold)
	}
	return lowest
}

// sampler reads nodes and targets.
type sampler struct {
	cluster *cluster.Cluster
	client  *http.Client
}

// sampleTimeout bounds one reading.
const sampleTimeout = 500 * time.Millisecond

func newSampler(c *cluster.Cluster) *sampler {
	return &sampler{cluster: c, client: &http.Client{Timeout: sampleTimeout}}
}

// sample reads everything at once. What doesn't answer is left out.
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
	for _, families := range s.readNodes(ctx) {
		if families != nil {
			sample.addNode(families, serviceOf)
		}
	}
	return sample
}

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

// service returns the part of a service that the mesh has.
func (s *Sample) service(name string) *ServiceSample {
	index := slices.IndexFunc(s.Services, func(each ServiceSample) bool { return each.Service == name })
	return &s.Services[index]
}

// metricFamilies are the metrics of a node by name.
type metricFamilies map[string]*dto.MetricFamily

func (s *sampler) readNodes(ctx context.Context) []metricFamilies {
	answers := make([]metricFamilies, len(s.cluster.Nodes))
	var reading sync.WaitGroup
	for i, node := range s.cluster.Nodes {
		if node.Running() {
			reading.Go(func() { answers[i] = s.readNode(ctx, node) })
		}
	}
	reading.Wait()
	return answers
}

// readNode returns the metrics of a node, or nil.
func (s *sampler) readNode(ctx context.Context, node *cluster.Node) metricFamilies {
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

func (s *Sample) addNode(families metricFamilies, serviceOf map[string]string) {
	s.Nodes++
	s.Retries += families.sum("lugspur_retries_total")
	s.Refusals += families.sum("lugspur_refusals_total")
	each := func(name string, take func(service *ServiceSample, value float64)) {
		for _, metric := range families[name].GetMetric() {
			for _, label := range metric.GetLabel() {
				if service, known := serviceOf[label.GetValue()]; known && label.GetName() == "target" {
					take(s.service(service), metric.GetGauge().GetValue())
				}
			}
		}
	}
	each("lugspur_target_limit", func(service *ServiceSample, value float64) { service.Limit += value })
	each("lugspur_target_in_flight", func(service *ServiceSample, value float64) { service.InFlight += value })
	each("lugspur_target_queued", func(service *ServiceSample, value float64) { service.Queued += value })
	each("lugspur_target_shed_threshold", func(service *ServiceSample, value float64) {
		service.LowestThreshold = min(service.LowestThreshold, value)
		service.HighestThreshold = max(service.HighestThreshold, value)
	})
}

// sum adds up all series of a counter or gauge.
func (m metricFamilies) sum(name string) float64 {
	total := 0.0
	for _, metric := range m[name].GetMetric() {
		total += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	}
	return total
}
