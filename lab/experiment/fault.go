package experiment

import (
	"slices"

	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/mesh"
)

// Interval is a part of the run, counted from the start of the phase "during".
type Interval struct {
	// FromSeconds is the beginning.
	FromSeconds float64 `toml:"from_seconds" validate:"gte=0"`
	// Seconds is the length; zero means until the end of the phase "during".
	Seconds float64 `toml:"seconds" validate:"gte=0"`
}

// Fault is what goes wrong with the named targets, all targets of the named
// services and all targets in the named zones.
type Fault struct {
	Interval
	Targets  []string `toml:"targets"`
	Services []string `toml:"services"`
	Zones    []string `toml:"zones"`
	// SlowFactor multiplies service times; zero means one.
	SlowFactor float64 `toml:"slow_factor" validate:"gte=0"`
	// ErrorRate is the fraction of calls answered 500 after their work.
	ErrorRate float64 `toml:"error_rate" validate:"gte=0,lte=1"`
	// ResetRate is the fraction of calls whose connection is reset after their
	// work.
	ResetRate float64 `toml:"reset_rate" validate:"gte=0,lte=1"`
	// LoadOverride replaces the reported load.
	LoadLie *float64 `toml:"load_lie" validate:"omitempty,gte=0,lte=1"`
	// HealthOverride replaces the reported health.
	HealthLie string `toml:"health_lie" validate:"omitempty,oneof=healthy draining unhealthy"`
	// Restart resets connections at the beginning and makes the targets cold.
	Restart bool `toml:"restart"`
}

// ZoneLoss takes a zone away: its nodes are killed and its targets reset all
// connections. Afterwards the nodes start anew and the targets are cold.
// Clients that enter by the zone enter by others from the start of the run, as
// the load has fixed addresses.
type ZoneLoss struct {
	Interval
	Zone string `toml:"zone" validate:"required"`
}

// targetsOf returns the names of the mesh's targets that the fault hits.
func (f Fault) targetsOf(m *mesh.Mesh) []string {
	var names []string
	for _, target := range m.Targets {
		if slices.Contains(f.Targets, target.Name) || slices.Contains(f.Services, target.Service) || slices.Contains(f.Zones, target.Zone) {
			names = append(names, target.Name)
		}
	}
	return names
}

func (f Fault) emulated() emulator.Faults {
	return emulator.Faults{
		SlowFactor:     f.SlowFactor,
		ErrorRate:      f.ErrorRate,
		ResetRate:      f.ResetRate,
		LoadOverride:   f.LoadLie,
		HealthOverride: emulator.Health(f.HealthLie),
	}
}

// end returns the end of the interval in seconds from the start of "during".
func (i Interval) end(during Phase) float64 {
	if i.Seconds == 0 {
		return during.Seconds
	}
	return i.FromSeconds + i.Seconds
}
