package mesh

import "time"

// ServiceCapacity is what the targets of one service can do together.
type ServiceCapacity struct {
	Service string
	Slots   int
	// MeanSlotTime is how long a call holds a slot on the average over the
	// kinds' shares, without any waiting and without the network.
	MeanSlotTime time.Duration
	// CallsPerSecond is Slots over MeanSlotTime.
	CallsPerSecond float64
	// CallsPerRequest is the mean number of calls that reach the service for
	// one request of a client.
	CallsPerRequest float64
}

// Capacity is what a mesh can do when every slot is always busy. It is an upper
// bound: waiting, latency and uneven routing take their share.
type Capacity struct {
	Services []ServiceCapacity
	// RequestsPerSecond is the peak rate of whole requests at the kinds'
	// shares.
	RequestsPerSecond float64
	// Bottleneck is the service that is full first.
	Bottleneck string
}

// visit is what a mean request asks of one service.
type visit struct {
	calls float64
	hold  float64 // seconds
}

// Capacity computes the capacity of each service and of the whole mesh.
func (m *Mesh) Capacity() Capacity {
	visits := make(map[string]*visit, len(m.Services))
	for _, service := range m.Services {
		visits[service.Name] = &visit{}
	}
	total := 0.0
	for _, kind := range m.Kinds {
		total += kind.Share
	}
	for _, kind := range m.Kinds {
		m.addVisits(visits, kind.Service, kind.Method, kind.Path, kind.Share/total)
	}
	var capacity Capacity
	for _, service := range m.Services {
		capacity.add(m.serviceCapacity(service, *visits[service.Name]))
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

func (m *Mesh) serviceCapacity(service Service, seen visit) ServiceCapacity {
	slots := 0
	for _, target := range m.TargetsOf(service.Name) {
		slots += target.Slots
	}
	hold := service.Time.Mean()
	if seen.calls > 0 {
		hold = time.Duration(seen.hold / seen.calls * float64(time.Second))
	}
	return ServiceCapacity{
		Service:         service.Name,
		Slots:           slots,
		MeanSlotTime:    hold,
		CallsPerSecond:  float64(slots) / hold.Seconds(),
		CallsPerRequest: seen.calls,
	}
}

func (m *Mesh) addVisits(visits map[string]*visit, name, method, path string, weight float64) {
	service, _ := m.Service(name)
	work, ok := service.Work(method, path)
	if !ok {
		return
	}
	seen := visits[name]
	seen.calls += weight
	seen.hold += weight * m.meanHold(service, work).Seconds()
	for _, call := range work.Calls {
		m.addVisits(visits, call.Service, call.Method, call.Path, weight)
	}
}

// meanHold is the own work plus, for a service that keeps its slot while it
// calls, the mean time of its downstream calls.
func (m *Mesh) meanHold(service Service, work Work) time.Duration {
	if service.ReleaseWhileCalling {
		return work.Time.Mean()
	}
	return work.Time.Mean() + m.meanDownstream(work)
}

func (m *Mesh) meanDownstream(work Work) time.Duration {
	var sequential, longest time.Duration
	for _, call := range work.Calls {
		service, _ := m.Service(call.Service)
		child, _ := service.Work(call.Method, call.Path)
		answer := child.Time.Mean() + m.meanDownstream(child)
		if !call.Parallel {
			sequential += answer
			continue
		}
		longest = max(longest, answer)
	}
	return sequential + longest
}
