package experiment

import (
	"slices"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/lab/mesh"
)

// kindRate is a rate of calls of one kind, per second.
type kindRate struct {
	kind mesh.Kind
	rate float64
}

// attainableRates returns the rates that a mesh can complete at best of the offered
// rates if higher criticalities have strict priority. For one criticality after the
// other, progressive filling increases the rates of its kinds proportionally until a
// service that they need has no free slots. The result is an upper bound, as it
// ignores queueing, network latency and uneven routing.
func attainableRates(m *mesh.Mesh, offered []kindRate) []kindRate {
	filling := newProgressiveFilling(m, offered)
	for level := criticality.Level(0); level < criticality.LevelCount; level++ {
		filling.fillLevel(level)
	}
	return filling.served
}

// progressiveFilling is the state of the computation of attainableRates.
type progressiveFilling struct {
	offered []kindRate
	served  []kindRate
	// slotSeconds contains, for each kind, the slot seconds that a call uses of each
	// service.
	slotSeconds [][]float64
	// freeSlots contains the unused slots of each service.
	freeSlots []float64
}

func newProgressiveFilling(m *mesh.Mesh, offered []kindRate) *progressiveFilling {
	f := &progressiveFilling{offered: offered}
	for _, service := range m.Services {
		slots := 0
		for _, target := range m.TargetsOf(service.Name) {
			slots += target.Slots
		}
		f.freeSlots = append(f.freeSlots, float64(slots))
	}
	for _, offer := range offered {
		f.slotSeconds = append(f.slotSeconds, slotSecondsPerService(m, offer.kind))
		f.served = append(f.served, kindRate{kind: offer.kind})
	}
	return f
}

// slotSecondsPerService returns the slot seconds that a call of the kind uses of each
// service.
func slotSecondsPerService(m *mesh.Mesh, kind mesh.Kind) []float64 {
	singleKind := *m
	kind.Share = 1
	singleKind.Kinds = []mesh.Kind{kind}
	var perService []float64
	for _, service := range singleKind.Capacity().Services {
		perService = append(perService, service.CallsPerRequest*service.MeanSlotTime.Seconds())
	}
	return perService
}

// fillLevel increases the rates of all kinds of one criticality. Each iteration ends
// when a service is saturated, which excludes its kinds from further iterations, or
// when all kinds have their offered rates.
func (f *progressiveFilling) fillLevel(level criticality.Level) {
	var growing []int
	for i, offer := range f.offered {
		if criticalityLevel(offer.kind) == level && offer.rate > 0 {
			growing = append(growing, i)
		}
	}
	servedShare := 0.0
	for len(growing) > 0 && servedShare < 1 {
		step, full := f.nextStep(growing, 1-servedShare)
		for _, i := range growing {
			f.allocate(i, step)
		}
		servedShare += step
		growing = slices.DeleteFunc(growing, func(i int) bool { return full >= 0 && f.slotSeconds[i][full] > 0 })
	}
}

// nextStep returns the largest share of the offered rates, at most maxShare, by which
// the rates of all growing kinds can increase, and the index of the service that is
// saturated then, or -1.
func (f *progressiveFilling) nextStep(growing []int, maxShare float64) (share float64, full int) {
	share, full = maxShare, -1
	for service, free := range f.freeSlots {
		demand := 0.0
		for _, i := range growing {
			demand += f.offered[i].rate * f.slotSeconds[i][service]
		}
		if demand > 0 && free/demand < share {
			share, full = max(free/demand, 0), service
		}
	}
	return share, full
}

// allocate increases the rate of a kind by a share of its offered rate.
func (f *progressiveFilling) allocate(i int, share float64) {
	rate := f.offered[i].rate * share
	f.served[i].rate += rate
	for service, slotSeconds := range f.slotSeconds[i] {
		f.freeSlots[service] -= rate * slotSeconds
	}
}

func totalRate(rates []kindRate) float64 {
	total := 0.0
	for _, kind := range rates {
		total += kind.rate
	}
	return total
}

// withScaledServiceTimes returns a copy of the mesh in which the times of each service
// are multiplied by its factor.
func withScaledServiceTimes(m *mesh.Mesh, factorOf func(service string) float64) *mesh.Mesh {
	scaled := *m
	scaled.Services = append([]mesh.Service(nil), m.Services...)
	for i := range scaled.Services {
		service := &scaled.Services[i]
		factor := factorOf(service.Name)
		service.Time = scaleServiceTime(service.Time, factor)
		service.Operations = append([]mesh.Operation(nil), service.Operations...)
		for j := range service.Operations {
			if time := service.Operations[j].Time; time != nil {
				scaled := scaleServiceTime(*time, factor)
				service.Operations[j].Time = &scaled
			}
		}
	}
	return &scaled
}

func scaleServiceTime(time mesh.ServiceTime, factor float64) mesh.ServiceTime {
	time.MedianMs *= factor
	time.MeanMs *= factor
	return time
}

// meshDuringFaults returns the mesh with the scenario's faults applied: the speed of a
// slowed service is the slot-weighted mean of its targets' speeds, and targets in lost
// zones are removed. Faults are applied fully even if they cover only a part of the
// phase.
func (s *Scenario) meshDuringFaults(m *mesh.Mesh) *mesh.Mesh {
	remaining := *m
	remaining.Targets = slices.DeleteFunc(slices.Clone(m.Targets), func(target mesh.Target) bool {
		return slices.ContainsFunc(s.ZoneLosses, func(loss ZoneLoss) bool { return loss.Zone == target.Zone })
	})
	slowdowns := s.targetSlowdowns(m)
	return withScaledServiceTimes(&remaining, func(service string) float64 {
		slots, speed := 0.0, 0.0
		for _, target := range remaining.TargetsOf(service) {
			factor := 1.0
			for _, slowdown := range slowdowns {
				if slowdown.target == target.Name {
					factor *= slowdown.factor
				}
			}
			slots += float64(target.Slots)
			speed += float64(target.Slots) / factor
		}
		if speed == 0 {
			return 1
		}
		return slots / speed
	})
}

// targetSlowdown is a target with the slow factor of a fault that affects it.
type targetSlowdown struct {
	target string
	factor float64
}

func (s *Scenario) targetSlowdowns(m *mesh.Mesh) []targetSlowdown {
	var slowdowns []targetSlowdown
	for _, fault := range s.Faults {
		if fault.SlowFactor == 0 {
			continue
		}
		for _, target := range fault.affectedTargets(m) {
			slowdowns = append(slowdowns, targetSlowdown{target: target, factor: fault.SlowFactor})
		}
	}
	return slowdowns
}
