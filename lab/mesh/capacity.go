package mesh

import "time"

// ServiceCapacity is the total capacity of the targets of one service.
type ServiceCapacity struct {
	Service string
	Slots   int
	// MeanSlotTime is the mean time for which a call occupies a slot, weighted by
	// the kinds' shares, without queueing and network latency.
	MeanSlotTime time.Duration
	// CallsPerSecond is Slots divided by MeanSlotTime.
	CallsPerSecond float64
	// CallsPerRequest is the mean number of calls of the service per client
	// request.
	CallsPerRequest float64
}

// Capacity is the throughput of a mesh whose slots are always busy. It is an upper
// bound: queueing, latency and uneven routing reduce the throughput.
type Capacity struct {
	Services []ServiceCapacity
	// RequestsPerSecond is the maximum rate of client requests, given the kinds'
	// shares.
	RequestsPerSecond float64
	// Bottleneck is the service that limits RequestsPerSecond.
	Bottleneck string
}

// serviceDemand is the mean demand of a client request on one service.
type serviceDemand struct {
	calls       float64
	slotSeconds float64
}

// Capacity computes the capacity of each service and of the whole mesh.
func (m *Mesh) Capacity() Capacity {
	demands := make(map[string]*serviceDemand, len(m.Services))
	for _, service := range m.Services {
		demands[service.Name] = &serviceDemand{}
	}
	total := 0.0
	for _, kind := range m.Kinds {
		total += kind.Share
	}
	for _, kind := range m.Kinds {
		m.addDemand(demands, kind.Service, kind.Method, kind.Path, kind.Share/total)
	}
	var capacity Capacity
	for _, service := range m.Services {
		capacity.add(m.serviceCapacity(service, *demands[service.Name]))
	}
	return capacity
}

func (c *Capacity) add(service ServiceCapacity) {
	c.Services = append(c.Services, service)
	if service.CallsPerRequest == 0 {
		return
	}
	rate := service.CallsPerSecond / service.CallsPerRequest
	if c.Bottleneck == "" || rate < c.RequestsPerSecond {
		c.RequestsPerSecond = rate
		c.Bottleneck = service.Service
	}
}

func (m *Mesh) serviceCapacity(service Service, demand serviceDemand) ServiceCapacity {
	slots := 0
	for _, target := range m.TargetsOf(service.Name) {
		slots += target.Slots
	}
	slotTime := service.Time.Mean()
	if demand.calls > 0 {
		slotTime = time.Duration(demand.slotSeconds / demand.calls * float64(time.Second))
	}
	return ServiceCapacity{
		Service:         service.Name,
		Slots:           slots,
		MeanSlotTime:    slotTime,
		CallsPerSecond:  float64(slots) / slotTime.Seconds(),
		CallsPerRequest: demand.calls,
	}
}

func (m *Mesh) addDemand(demands map[string]*serviceDemand, name, method, path string, weight float64) {
	service, _ := m.Service(name)
	work, ok := service.Work(method, path)
	if !ok {
		return
	}
	demand := demands[name]
	demand.calls += weight
	demand.slotSeconds += weight * m.meanSlotTime(service, work).Seconds()
	for _, call := range work.Calls {
		m.addDemand(demands, call.Service, call.Method, call.Path, weight)
	}
}

// meanSlotTime returns the mean time of the own work plus, for a service that keeps
// its slot during downstream calls, the mean time of those calls.
func (m *Mesh) meanSlotTime(service Service, work Work) time.Duration {
	if service.ReleaseWhileCalling {
		return work.Time.Mean()
	}
	return work.Time.Mean() + m.meanDownstreamTime(work)
}

func (m *Mesh) meanDownstreamTime(work Work) time.Duration {
	var sequential, longest time.Duration
	for _, call := range work.Calls {
		service, _ := m.Service(call.Service)
		child, _ := service.Work(call.Method, call.Path)
		answer := child.Time.Mean() + m.meanDownstreamTime(child)
		if !call.Parallel {
			sequential += answer
			continue
		}
		longest = max(longest, answer)
	}
	return sequential + longest
}
