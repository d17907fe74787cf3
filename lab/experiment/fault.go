package experiment

import (
	"slices"

	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/mesh"
)

// Interval is a part of the run. Its start is relative to the start of the "during"
// phase.
type Interval struct {
	// FromSeconds is the start.
	FromSeconds float64 `toml:"from_seconds" validate:"gte=0"`
	// Seconds is the length; zero means until the end of the "during"
	// phase.
	Seconds float64 `toml:"seconds" validate:"gte=0"`
}

// Fault is a fault injected into the named targets, all targets of the named
// services and all targets in the named zones.
type Fault struct {
	Interval
	Targets  []string `toml:"targets"`
	Services []string `toml:"services"`
	Zones    []string `toml:"zones"`
	// SlowFactor multiplies service times; zero means one.
	SlowFactor float64 `toml:"slow_factor" validate:"gte=0"`
	// ErrorRate is the fraction of calls answered with status 500 after their
	// work.
	ErrorRate float64 `toml:"error_rate" validate:"gte=0,lte=1"`
	// ResetRate is the fraction of calls whose connection is reset after their
	// work.
	ResetRate float64 `toml:"reset_rate" validate:"gte=0,lte=1"`
	// LoadOverride replaces the reported load; nil means the actual load.
	LoadOverride *float64 `toml:"load_lie" validate:"omitempty,gte=0,lte=1"`
	// HealthOverride replaces the reported health; empty means the actual health.
	HealthOverride string `toml:"health_lie" validate:"omitempty,oneof=healthy draining unhealthy"`
	// Restart restarts the targets at the start of the interval: connections are
	// reset and the targets have a cold start.
	Restart bool `toml:"restart"`
}

// ZoneLoss is the failure of a zone: its nodes are killed and its targets reset all
// connections. At the end of the interval, the nodes are restarted and the targets
// have a cold start. The load generator's edge addresses are fixed for a run, so
// clients of the zone use the edges of other zones from the start of the run.
type ZoneLoss struct {
	Interval
	Zone string `toml:"zone" validate:"required"`
}

// affectedTargets returns the names of the mesh's targets that the fault affects.
func (f Fault) affectedTargets(m *mesh.Mesh) []string {
	var names []string
	for _, target := range m.Targets {
		if slices.Contains(f.Targets, target.Name) || slices.Contains(f.Services, target.Service) || slices.Contains(f.Zones, target.Zone) {
			names = append(names, target.Name)
		}
	}
	return names
}

func (f Fault) emulatorFaults() emulator.Faults {
	return emulator.Faults{
		SlowFactor:     f.SlowFactor,
		ErrorRate:      f.ErrorRate,
		ResetRate:      f.ResetRate,
		LoadOverride:   f.LoadOverride,
		HealthOverride: emulator.Health(f.HealthOverride),
	}
}

// end returns the end of the interval in seconds after the start of the "during"
// phase.
func (i Interval) end(during Phase) float64 {
	if i.Seconds == 0 {
		return during.Seconds
	}
	return i.FromSeconds + i.Seconds
}
