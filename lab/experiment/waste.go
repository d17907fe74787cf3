package experiment

import (
	"time"

	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/mesh"
)

// answeredRequests returns the ids of the requests that were answered
// completely. Each try of a client is a request of its own.
func (o *Observation) answeredRequests() map[string]bool {
	answered := make(map[string]bool)
	for _, call := range o.Load.History {
		if last := call.Last(); last.Verdict == load.VerdictComplete {
			answered[last.RequestID] = true
		}
	}
	return answered
}

// counted returns the executions that began in the counted phases or after
// them.
func (o *Observation) counted() []emulator.Record {
	begin := o.window(PhaseBefore).start
	var counted []emulator.Record
	for _, record := range o.Records {
		if !record.Start.Before(begin) {
			counted = append(counted, record)
		}
	}
	return counted
}

// waste joins executions with what clients were told. The time of an execution
// is the time that it held its slot, including its downstream calls.
func (o *Observation) waste() Waste {
	answered := o.answeredRequests()
	var waste Waste
	services := make([]ServiceWaste, len(o.Mesh.Services))
	for i, service := range o.Mesh.Services {
		services[i].Service = service.Name
	}
	for _, record := range o.counted() {
		held := record.End.Sub(record.Start).Seconds()
		wasted := waste.add(record, answered[record.RequestID], held)
		for i := range services {
			if services[i].Service == record.Service {
				services[i].SlotSeconds += held
				services[i].Wasted += wasted
			}
		}
	}
	waste.Services = services
	waste.Share = ratio(waste.FailedRequests+waste.Discarded, waste.SlotSeconds)
	return waste
}

// add counts one execution and returns how much of its time was wasted.
func (w *Waste) add(record emulator.Record, answered bool, held float64) float64 {
	w.Executions++
	w.SlotSeconds += held
	switch {
	case !answered:
		w.FailedRequests += held
	case record.Outcome != emulator.OutcomeComplete:
		w.Discarded += held
	default:
		return 0
	}
	return held
}

// retries counts what was done again.
func (o *Observation) retries(executions int) Retries {
	retries := Retries{Nodes: o.nodeRetries()}
	needed := 0
	begin := o.window(PhaseBefore).start
	for _, call := range o.Load.History {
		if call.Intended.Before(begin) {
			continue
		}
		retries.Clients += max(len(call.Attempts)-1, 0)
		if kind, ok := o.Mesh.Kind(call.Kind); ok && call.Verdict() == load.VerdictComplete {
			needed += treeSize(o.Mesh, kind.Service, kind.Method, kind.Path)
		}
	}
	retries.Amplification = ratio(float64(executions), float64(needed))
	retries.MostExecutions, retries.MostPerService = o.mostExecutions()
	return retries
}

// nodeRetries returns the growth of the nodes' counters since the warm-up. A
// node that was started again counts from zero, so that falls are left out.
func (o *Observation) nodeRetries() float64 {
	total, before := 0.0, -1.0
	for _, sample := range o.Samples {
		if sample.Seconds < o.Scenario.WarmUpSeconds {
			continue
		}
		if before >= 0 {
			total += max(sample.Retries-before, 0)
		}
		before = sample.Retries
	}
	return total
}

// treeSize is the number of executions that one call needs.
func treeSize(m *mesh.Mesh, name, method, path string) int {
	service, _ := m.Service(name)
	work, _ := service.Work(method, path)
	size := 1
	for _, call := range work.Calls {
		size += treeSize(m, call.Service, call.Method, call.Path)
	}
	return size
}

// mostExecutions returns the most executions of one request, in all and of one
// service.
func (o *Observation) mostExecutions() (all, perService int) {
	type requestService struct{ request, service string }
	byRequest := make(map[string]int)
	byService := make(map[requestService]int)
	for _, record := range o.counted() {
		if record.RequestID == "" {
			continue
		}
		byRequest[record.RequestID]++
		all = max(all, byRequest[record.RequestID])
		key := requestService{request: record.RequestID, service: record.Service}
		byService[key]++
		perService = max(perService, byService[key])
	}
	return all, perService
}

// targetStretch compares the time of executions with the mean of the drawn
// times, for services that call no others and that no fault slows. Only
// executions that ended by themselves count.
func (o *Observation) targetStretch(w window) float64 {
	took, drawn := 0.0, 0.0
	for _, record := range o.Records {
		if !w.contains(record.Start) || record.Outcome != emulator.OutcomeComplete {
			continue
		}
		expected, known := o.expectedTime(record)
		if known {
			took += record.End.Sub(record.Start).Seconds()
			drawn += expected.Seconds()
		}
	}
	if drawn == 0 {
		return 1
	}
	return took / drawn
}

func (o *Observation) expectedTime(record emulator.Record) (time.Duration, bool) {
	service, ok := o.Mesh.Service(record.Service)
	if !ok || o.disturbed(record.Target) {
		return 0, false
	}
	work, ok := service.Work(record.Method, record.Path)
	if !ok || len(work.Calls) > 0 {
		return 0, false
	}
	return work.Time.Mean(), true
}

// disturbed reports whether a fault hits the target at any time of the run.
func (o *Observation) disturbed(target string) bool {
	for _, fault := range o.Scenario.Faults {
		for _, hit := range fault.targetsOf(o.Mesh) {
			if hit == target {
				return true
			}
		}
	}
	for _, loss := range o.Scenario.ZoneLosses {
		for _, hit := range (Fault{Zones: []string{loss.Zone}}).targetsOf(o.Mesh) {
			if hit == target {
				return true
			}
		}
	}
	return false
}
