package experiment

import (
	"time"

	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/mesh"
)

// answeredRequests returns the IDs of the requests that were answered completely. Each
// attempt of a client has its own request ID.
func (o *Observation) answeredRequests() map[string]bool {
	answered := make(map[string]bool)
	for _, call := range o.Load.History {
		if last := call.Last(); last.Verdict == load.VerdictComplete {
			answered[last.RequestID] = true
		}
	}
	return answered
}

// measuredRecords returns the executions that started after the warm-up.
func (o *Observation) measuredRecords() []emulator.Record {
	measuredFrom := o.phaseWindow(PhaseBefore).start
	var measured []emulator.Record
	for _, record := range o.Records {
		if !record.Start.Before(measuredFrom) {
			measured = append(measured, record)
		}
	}
	return measured
}

// measureWaste computes the wasted slot time by matching executions with the answers
// that clients received. The slot time of an execution includes its downstream calls.
func (o *Observation) measureWaste() Waste {
	answered := o.answeredRequests()
	var waste Waste
	services := make([]ServiceWaste, len(o.Mesh.Services))
	for i, service := range o.Mesh.Services {
		services[i].Service = service.Name
	}
	for _, record := range o.measuredRecords() {
		slotSeconds := record.End.Sub(record.Start).Seconds()
		wasted := waste.add(record, answered[record.RequestID], slotSeconds)
		for i := range services {
			if services[i].Service == record.Service {
				services[i].SlotSeconds += slotSeconds
				services[i].Wasted += wasted
			}
		}
	}
	waste.Services = services
	waste.Share = ratio(waste.FailedRequests+waste.Discarded, waste.SlotSeconds)
	return waste
}

// add adds one execution and returns its wasted slot time.
func (w *Waste) add(record emulator.Record, answered bool, slotSeconds float64) float64 {
	w.Executions++
	w.SlotSeconds += slotSeconds
	switch {
	case !answered:
		w.FailedRequests += slotSeconds
	case record.Outcome != emulator.OutcomeComplete:
		w.Discarded += slotSeconds
	default:
		return 0
	}
	return slotSeconds
}

// measureRetries computes the retries of clients and nodes, and the number of
// executions in relation to those that were required.
func (o *Observation) measureRetries(executions int) Retries {
	retries := Retries{Nodes: o.nodeRetries()}
	required := 0
	measuredFrom := o.phaseWindow(PhaseBefore).start
	for _, call := range o.Load.History {
		if call.Intended.Before(measuredFrom) {
			continue
		}
		retries.Clients += max(len(call.Attempts)-1, 0)
		if kind, ok := o.Mesh.Kind(call.Kind); ok && call.Verdict() == load.VerdictComplete {
			required += callTreeSize(o.Mesh, kind.Service, kind.Method, kind.Path)
		}
	}
	retries.Amplification = ratio(float64(executions), float64(required))
	retries.MostExecutions, retries.MostPerService = o.maxExecutions()
	return retries
}

// nodeRetries returns the increase of the nodes' retry counters since the warm-up. The
// counters of a restarted node start from zero, so decreases are ignored.
func (o *Observation) nodeRetries() float64 {
	total, previous := 0.0, -1.0
	for _, sample := range o.Samples {
		if sample.Seconds < o.Scenario.WarmUpSeconds {
			continue
		}
		if previous >= 0 {
			total += max(sample.Retries-previous, 0)
		}
		previous = sample.Retries
	}
	return total
}

// callTreeSize returns the number of executions that a call requires, including its
// downstream calls.
func callTreeSize(m *mesh.Mesh, name, method, path string) int {
	service, _ := m.Service(name)
	work, _ := service.Work(method, path)
	size := 1
	for _, call := range work.Calls {
		size += callTreeSize(m, call.Service, call.Method, call.Path)
	}
	return size
}

// maxExecutions returns the maximum number of executions of one request, in total and
// by one service.
func (o *Observation) maxExecutions() (all, perService int) {
	type requestService struct{ request, service string }
	byRequest := make(map[string]int)
	byService := make(map[requestService]int)
	for _, record := range o.measuredRecords() {
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

// targetStretch returns the ratio of the measured time of executions to the configured
// mean service time. It includes only complete executions at targets without faults
// and without downstream calls. Without any it returns one.
func (o *Observation) targetStretch(w window) float64 {
	measured, expected := 0.0, 0.0
	for _, record := range o.Records {
		if !w.contains(record.Start) || record.Outcome != emulator.OutcomeComplete {
			continue
		}
		serviceTime, known := o.expectedServiceTime(record)
		if known {
			measured += record.End.Sub(record.Start).Seconds()
			expected += serviceTime.Seconds()
		}
	}
	if expected == 0 {
		return 1
	}
	return measured / expected
}

// expectedServiceTime returns the configured mean service time of an execution, or
// false if its time can't be predicted, due to faults or downstream calls.
func (o *Observation) expectedServiceTime(record emulator.Record) (time.Duration, bool) {
	service, ok := o.Mesh.Service(record.Service)
	if !ok || o.hasFault(record.Target) {
		return 0, false
	}
	work, ok := service.Work(record.Method, record.Path)
	if !ok || len(work.Calls) > 0 {
		return 0, false
	}
	return work.Time.Mean(), true
}

// hasFault reports whether a fault affects the target at any time of the run.
func (o *Observation) hasFault(target string) bool {
	for _, fault := range o.Scenario.Faults {
		for _, hit := range fault.affectedTargets(o.Mesh) {
			if hit == target {
				return true
			}
		}
	}
	for _, loss := range o.Scenario.ZoneLosses {
		for _, hit := range (Fault{Zones: []string{loss.Zone}}).affectedTargets(o.Mesh) {
			if hit == target {
				return true
			}
		}
	}
	return false
}
