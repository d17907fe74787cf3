package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/mesh"
)

// The names of the phases of every run.
const (
	PhaseWarmUp = "warm-up"
	PhaseBefore = "before"
	PhaseDuring = "during"
	PhaseAfter  = "after"
)

// Scenario is an overload as a file describes it.
type Scenario struct {
	Name        string `toml:"name" validate:"required"`
	Description string `toml:"description"`
	// TimeScale multiplies all service times and deadlines of the mesh, so that
	// fewer calls a second fill it; zero means one.
	TimeScale float64 `toml:"time_scale" validate:"gte=0,lte=100"`
	// DeadlineScale multiplies the deadlines of clients besides, for clients that
	// are less patient than the mesh file says; zero means one.
	DeadlineScale float64 `toml:"deadline_scale" validate:"gte=0,lte=100"`
	// WarmUpSeconds is how long the load of Before runs before it counts.
	WarmUpSeconds float64 `toml:"warm_up_seconds" validate:"gte=0,lte=600"`
	Before        Phase   `toml:"before"`
	During        Phase   `toml:"during"`
	After         Phase   `toml:"after"`
	Clients       Clients `toml:"clients"`
	// TargetWaiting replaces the number of waiting calls past which targets
	// refuse by themselves, during the whole run; zero means never, and unset
	// the mesh's own.
	TargetWaiting *int `toml:"target_waiting" validate:"omitempty,gte=0"`
	// Faults are what goes wrong with targets.
	Faults []Fault `toml:"faults" validate:"dive"`
	// ZoneLosses are zones that go away with their nodes and targets.
	ZoneLosses []ZoneLoss `toml:"zone_losses" validate:"dive"`
}

// Phase is a part of a run.
type Phase struct {
	// Seconds is the length of the phase.
	Seconds float64 `toml:"seconds" validate:"gt=0,lte=3600"`
	// Load is the rate of calls as a multiple of the mesh's capacity.
	Load float64 `toml:"load" validate:"gte=0,lte=1000"`
	// Kinds multiply the rates of single kinds on top.
	Kinds []KindFactor `toml:"kinds" validate:"dive"`
	// Criticalities multiply the rates of all kinds of a criticality on top.
	Criticalities []CriticalityFactor `toml:"criticalities" validate:"dive"`
}

// KindFactor scales the rate of one kind of call.
type KindFactor struct {
	Kind   string  `toml:"kind" validate:"required"`
	Factor float64 `toml:"factor" validate:"gte=0"`
}

// CriticalityFactor scales the rates of the kinds of one criticality.
type CriticalityFactor struct {
	Criticality string  `toml:"criticality" validate:"required,oneof=critical-plus critical sheddable-plus sheddable"`
	Factor      float64 `toml:"factor" validate:"gte=0"`
}

// Clients say what clients do after a call that wasn't answered completely.
type Clients struct {
	// Attempts is the number of tries in all; zero means one.
	Attempts int `toml:"attempts" validate:"gte=0,lte=100"`
	// PauseMs is the pause between two tries, in milliseconds.
	PauseMs float64 `toml:"pause_ms" validate:"gte=0"`
	// IgnoreRefusals makes clients try again although they were told not to.
	IgnoreRefusals bool `toml:"ignore_refusals"`
}

// LoadScenario reads and checks a scenario file. Unknown keys are errors.
func LoadScenario(path string) (*Scenario, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("experiment").With("step", "read").With("file", path).Wrapf(err, "read scenario")
	}
	scenario, err := ParseScenario(content)
	if err != nil {
		return nil, oops.In("experiment").With("step", "parse").With("file", path).Wrapf(err, "scenario %s", path)
	}
	return scenario, nil
}

// ParseScenario reads and checks the content of a scenario file.
func ParseScenario(content []byte) (*Scenario, error) {
	var scenario Scenario
	err := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields().Decode(&scenario)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return nil, fmt.Errorf("unknown keys:\n%s", unknown.String())
	}
	if err != nil {
		return nil, err
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(&scenario); err != nil {
		return nil, err
	}
	return &scenario, scenario.checkIntervals()
}

func (s *Scenario) checkIntervals() error {
	longest := s.During.Seconds + s.After.Seconds
	check := func(what string, interval Interval) error {
		if interval.FromSeconds >= longest {
			return fmt.Errorf("%s begins %g s after the start of the overload, when the run is over", what, interval.FromSeconds)
		}
		if interval.Seconds == 0 && interval.FromSeconds >= s.During.Seconds {
			return fmt.Errorf("%s begins after the phase during and has no length", what)
		}
		return nil
	}
	for i, fault := range s.Faults {
		if err := check(fmt.Sprintf("fault %d", i+1), fault.Interval); err != nil {
			return err
		}
	}
	for i, loss := range s.ZoneLosses {
		if err := check(fmt.Sprintf("zone loss %d", i+1), loss.Interval); err != nil {
			return err
		}
	}
	return nil
}

// Check reports what the scenario names and the mesh doesn't have.
func (s *Scenario) Check(m *mesh.Mesh) error {
	for _, phase := range []Phase{s.Before, s.During, s.After} {
		for _, factor := range phase.Kinds {
			if _, ok := m.Kind(factor.Kind); !ok {
				return fmt.Errorf("unknown kind %q", factor.Kind)
			}
		}
	}
	for i, fault := range s.Faults {
		if len(fault.targetsOf(m)) == 0 {
			return fmt.Errorf("fault %d hits no target of the mesh", i+1)
		}
	}
	for _, loss := range s.ZoneLosses {
		if !hasZone(m, loss.Zone) {
			return fmt.Errorf("unknown zone %q", loss.Zone)
		}
	}
	return nil
}

func hasZone(m *mesh.Mesh, name string) bool {
	for _, zone := range m.Zones {
		if zone.Name == name {
			return true
		}
	}
	return false
}

// Scaled returns the mesh with service times and deadlines multiplied by the
// scenario's time scale, and deadlines by the scenario's deadline scale too.
func (s *Scenario) Scaled(m *mesh.Mesh) *mesh.Mesh {
	times, deadlines := orOne(s.TimeScale), orOne(s.DeadlineScale)
	scaled := withTimes(m, func(string) float64 { return times })
	scaled.Kinds = append([]mesh.Kind(nil), m.Kinds...)
	for i := range scaled.Kinds {
		scaled.Kinds[i].DeadlineMs *= times * deadlines
	}
	return scaled
}

// orOne returns one in place of a factor that is not set.
func orOne(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}

// retry returns what the load's clients do.
func (c Clients) retry() load.Retry {
	return load.Retry{
		Attempts:       max(c.Attempts, 1),
		Delay:          mesh.Milliseconds(c.PauseMs),
		IgnoreRefusals: c.IgnoreRefusals,
	}
}

// loadPhases returns the phases of the load's plan: the rate of the plan is the
// capacity of the mesh.
func (s *Scenario) loadPhases(m *mesh.Mesh) []load.Phase {
	var phases []load.Phase
	if s.WarmUpSeconds > 0 {
		warmUp := s.Before
		warmUp.Seconds = s.WarmUpSeconds
		phases = append(phases, warmUp.loadPhase(PhaseWarmUp, m))
	}
	return append(phases,
		s.Before.loadPhase(PhaseBefore, m),
		s.During.loadPhase(PhaseDuring, m),
		s.After.loadPhase(PhaseAfter, m))
}

func (p Phase) loadPhase(name string, m *mesh.Mesh) load.Phase {
	phase := load.Phase{
		Name:            name,
		Duration:        seconds(p.Seconds),
		Multiplier:      p.Load,
		KindMultipliers: make(map[string]float64, len(m.Kinds)),
	}
	for _, kind := range m.Kinds {
		phase.KindMultipliers[kind.Name] = p.factorOf(kind)
	}
	return phase
}

func (p Phase) factorOf(kind mesh.Kind) float64 {
	factor := 1.0
	for _, scaled := range p.Kinds {
		if scaled.Kind == kind.Name {
			factor *= scaled.Factor
		}
	}
	for _, scaled := range p.Criticalities {
		if scaled.Criticality == kind.Criticality {
			factor *= scaled.Factor
		}
	}
	return factor
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// levelOf returns the criticality of a kind; the mesh file was checked.
func levelOf(kind mesh.Kind) criticality.Level {
	level, err := criticality.ParseLevel(kind.Criticality)
	if err != nil {
		return criticality.Sheddable
	}
	return level
}
