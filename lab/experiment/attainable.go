package experiment

import (
	"slices"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/lab/mesh"
)

// kindRate is a number of calls a second of one kind.
type kindRate struct {
	kind mesh.Kind
	rate float64
}

// attainable returns how many of the offered calls a mesh can complete at best
// when it serves the more important first: level by level, the rates of all
// kinds of the level grow alike until a service that they need has no free
// slot. Waiting, network and uneven routing are left out, so that it is an
// upper bound.
func attainable(m *mesh.Mesh, offered []kindRate) []kindRate {
	filling := newFilling(m, offered)
	for level := criticality.Level(0); level < criticality.LevelCount; level++ {
		filling.fillLevel(level)
	}
	return filling.served
}

// filling is the state of the computation.
type filling struct {
	offered []kindRate
	served  []kindRate
	// needs holds, for each kind, the slot seconds of each service that a call
	// takes.
	needs [][]float64
	// free holds the slots that are left of each service.
	free []float64
}

func newFilling(m *mesh.Mesh, offered []kindRate) *filling {
	f := &filling{offered: offered}
	for _, service := range m.Services {
		slots := 0
		for _, target := range m.TargetsOf(service.Name) {
			slots += target.Slots
		}
		f.free = append(f.free, float64(slots))
	}
	for _, each := range offered {
		f.needs = append(f.needs, slotSeconds(m, each.kind))
		f.served = append(f.served, kindRate{kind: each.kind})
	}
	return f
}

// slotSeconds returns what a call of the kind takes of each service.
func slotSeconds(m *mesh.Mesh, kind mesh.Kind) []float64 {
	alone := *m
	kind.Share = 1
	alone.Kinds = []mesh.Kind{kind}
	var needs []float64
	for _, service := range alone.Capacity().Services {
		needs = append(needs, service.CallsPerRequest*service.MeanSlotTime.Seconds())
	}
	return needs
}

// fillLevel grows the kinds of one level together. Each round ends with a
// service that is full, whose kinds stop, or with all kinds served.
func (f *filling) fillLevel(level criticality.Level) {
	var growing []int
	for i, each := range f.offered {
		if levelOf(each.kind) == level && each.rate > 0 {
			growing = append(growing, i)
		}
	}
	served := 0.0
	for len(growing) > 0 && served < 1 {
		step, full := f.step(growing, 1-served)
		for _, i := range growing {
			f.grow(i, step)
		}
		served += step
		growing = slices.DeleteFunc(growing, func(i int) bool { return full >= 0 && f.needs[i][full] > 0 })
	}
}

// step returns the largest share of the offered rates that all growing kinds
// can still gain, and the service that is full then, or -1.
func (f *filling) step(growing []int, most float64) (share float64, full int) {
	share, full = most, -1
	for service, free := range f.free {
		demand := 0.0
		for _, i := range growing {
			demand += f.offered[i].rate * f.needs[i][service]
		}
		if demand > 0 && free/demand < share {
			share, full = max(free/demand, 0), service
		}
	}
	return share, full
}

func (f *filling) grow(i int, share float64) {
	gained := f.offered[i].rate * share
	f.served[i].rate += gained
	for service, need := range f.needs[i] {
		f.free[service] -= gained * need
	}
}

func totalRate(rates []kindRate) float64 {
	total := 0.0
	for _, each := range rates {
		total += each.rate
	}
	return total
}

// withTimes returns a copy of the mesh with the service times multiplied.
func withTimes(m *mesh.Mesh, factorOf func(service string) float64) *mesh.Mesh {
	changed := *m
	changed.Services = append([]mesh.Service(nil), m.Services...)
	for i := range changed.Services {
		service := &changed.Services[i]
		factor := factorOf(service.Name)
		service.Time = scaledTime(service.Time, factor)
		service.Operations = append([]mesh.Operation(nil), service.Operations...)
		for j := range service.Operations {
			if own := service.Operations[j].Time; own != nil {
				scaled := scaledTime(*own, factor)
				service.Operations[j].Time = &scaled
			}
		}
	}
	return &changed
}

func scaledTime(time mesh.ServiceTime, factor float64) mesh.ServiceTime {
	time.MedianMs *= factor
	time.MeanMs *= factor
	return time
}

// meshDuring returns the mesh as the scenario's faults leave it while they
// last: slowed services are slower by the slot-weighted mean of their targets'
// speeds, and targets of lost zones are gone. Faults count in full, also where
// they cover only a part of the phase.
func (s *Scenario) meshDuring(m *mesh.Mesh) *mesh.Mesh {
	left := *m
	left.Targets = slices.DeleteFunc(slices.Clone(m.Targets), func(target mesh.Target) bool {
		return slices.ContainsFunc(s.ZoneLosses, func(loss ZoneLoss) bool { return loss.Zone == target.Zone })
	})
	factors := s.slowFactors(m)
	return withTimes(&left, func(service string) float64 {
		slots, speed := 0.0, 0.0
		for _, target := range left.TargetsOf(service) {
			factor := 1.0
			for _, slowed := range factors {
				if slowed.target == target.Name {
					factor *= slowed.factor
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

// slowTarget is a target that a fault slows.
type slowTarget struct {
	target string
	factor float64
}

func (s *Scenario) slowFactors(m *mesh.Mesh) []slowTarget {
	var slowed []slowTarget
	for _, fault := range s.Faults {
		if fault.SlowFactor == 0 {
			continue
		}
		for _, target := range fault.targetsOf(m) {
			slowed = append(slowed, slowTarget{target: target, factor: fault.SlowFactor})
		}
	}
	return slowed
}
