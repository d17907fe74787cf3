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

// Names of the phases of a run.
const (
	PhaseWarmUp = "warm-up"
	PhaseBefore = "before"
	PhaseDuring = "during"
	PhaseAfter  = "after"
)

// Scenario is the content of a scenario file, which describes an overload.
type Scenario struct {
	Name        string `toml:"name" validate:"required"`
	Description string `toml:"description"`
	// TimeScale multiplies all service times and deadlines of the mesh, so that
	// fewer calls per second saturate it; zero means one.
	TimeScale float64 `toml:"time_scale" validate:"gte=0,lte=100"`
	// DeadlineScale additionally multiplies the deadlines of clients, for clients
	// with shorter timeouts than in the mesh file; zero means one.
	DeadlineScale float64 `toml:"deadline_scale" validate:"gte=0,lte=100"`
	// WarmUpSeconds is the length of the warm-up, which has the load of Before and
	// isn't measured.
	WarmUpSeconds float64     `toml:"warm_up_seconds" validate:"gte=0,lte=600"`
	Before        Phase       `toml:"before"`
	During        Phase       `toml:"during"`
	After         Phase       `toml:"after"`
	Clients       ClientRetry `toml:"clients"`
	// TargetWaiting replaces the number of waiting calls above which targets
	// refuse calls themselves, for the whole run; zero disables these refusals,
	// and nil means the mesh's value.
	TargetWaiting *int `toml:"target_waiting" validate:"omitempty,gte=0"`
	// Faults are the faults injected into targets.
	Faults []Fault `toml:"faults" validate:"dive"`
	// ZoneLosses are failures of whole zones.
	ZoneLosses []ZoneLoss `toml:"zone_losses" validate:"dive"`
}

// Phase is a part of a run with a constant load.
type Phase struct {
	// Seconds is the length of the phase.
	Seconds float64 `toml:"seconds" validate:"gt=0,lte=3600"`
	// Load is the rate of calls as a multiple of the mesh's capacity.
	Load float64 `toml:"load" validate:"gte=0,lte=1000"`
	// Kinds additionally multiply the rates of single kinds.
	Kinds []KindFactor `toml:"kinds" validate:"dive"`
	// Criticalities additionally multiply the rates of all kinds of a criticality.
	Criticalities []CriticalityFactor `toml:"criticalities" validate:"dive"`
}

// KindFactor multiplies the rate of one kind of call.
type KindFactor struct {
	Kind   string  `toml:"kind" validate:"required"`
	Factor float64 `toml:"factor" validate:"gte=0"`
}

// CriticalityFactor multiplies the rates of the kinds of one criticality.
type CriticalityFactor struct {
	Criticality string  `toml:"criticality" validate:"required,oneof=critical-plus critical sheddable-plus sheddable"`
	Factor      float64 `toml:"factor" validate:"gte=0"`
}

// ClientRetry is the retry policy of clients for calls that weren't answered
// completely.
type ClientRetry struct {
	// Attempts is the maximum number of attempts, including the first; zero means
	// one.
	Attempts int `toml:"attempts" validate:"gte=0,lte=100"`
	// PauseMs is the delay between two attempts in milliseconds.
	PauseMs float64 `toml:"pause_ms" validate:"gte=0"`
	// IgnoreRefusals makes clients retry calls whose refusal says not to retry.
	IgnoreRefusals bool `toml:"ignore_refusals"`
}

// LoadScenario reads and validates a scenario file. Unknown keys are errors.
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

// ParseScenario parses and validates the content of a scenario file.
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
	return &scenario, scenario.validateIntervals()
}

func (s *Scenario) validateIntervals() error {
	runEnd := s.During.Seconds + s.After.Seconds
	validate := func(what string, interval Interval) error {
		if interval.FromSeconds >= runEnd {
			return fmt.Errorf("%s starts %g s after the start of the overload, after the end of the run", what, interval.FromSeconds)
		}
		if interval.Seconds == 0 && interval.FromSeconds >= s.During.Seconds {
			return fmt.Errorf("%s starts after the end of the \"during\" phase and needs a value for seconds", what)
		}
		return nil
	}
	for i, fault := range s.Faults {
		if err := validate(fmt.Sprintf("fault %d", i+1), fault.Interval); err != nil {
			return err
		}
	}
	for i, loss := range s.ZoneLosses {
		if err := validate(fmt.Sprintf("zone loss %d", i+1), loss.Interval); err != nil {
			return err
		}
	}
	return nil
}

// ValidateFor returns an error if the scenario refers to kinds, targets or zones
// that the mesh doesn't have.
func (s *Scenario) ValidateFor(m *mesh.Mesh) error {
	for _, phase := range []Phase{s.Before, s.During, s.After} {
		for _, factor := range phase.Kinds {
			if _, ok := m.Kind(factor.Kind); !ok {
				return fmt.Errorf("unknown kind %q", factor.Kind)
			}
		}
	}
	for i, fault := range s.Faults {
		if len(fault.affectedTargets(m)) == 0 {
			return fmt.Errorf("fault %d affects no target of the mesh", i+1)
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

// ScaledMesh returns a copy of the mesh with service times and deadlines multiplied
// by TimeScale, and deadlines also by DeadlineScale.
func (s *Scenario) ScaledMesh(m *mesh.Mesh) *mesh.Mesh {
	timeScale, deadlineScale := oneIfUnset(s.TimeScale), oneIfUnset(s.DeadlineScale)
	scaled := withScaledServiceTimes(m, func(string) float64 { return timeScale })
	scaled.Kinds = append([]mesh.Kind(nil), m.Kinds...)
	for i := range scaled.Kinds {
		scaled.Kinds[i].DeadlineMs *= timeScale * deadlineScale
	}
	return scaled
}

// oneIfUnset returns the factor, or one if it is zero.
func oneIfUnset(factor float64) float64 {
	if factor == 0 {
		return 1
	}
	return factor
}

// retryPolicy returns the retry policy for the load generator.
func (c ClientRetry) retryPolicy() load.Retry {
	return load.Retry{
		Attempts:       max(c.Attempts, 1),
		Delay:          mesh.Milliseconds(c.PauseMs),
		IgnoreRefusals: c.IgnoreRefusals,
	}
}

// loadPhases returns the phases for the load generator. Their multipliers are
// relative to the plan's rate, which is the capacity of the mesh.
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
		phase.KindMultipliers[kind.Name] = p.kindMultiplier(kind)
	}
	return phase
}

func (p Phase) kindMultiplier(kind mesh.Kind) float64 {
	factor := 1.0
	for _, kindFactor := range p.Kinds {
		if kindFactor.Kind == kind.Name {
			factor *= kindFactor.Factor
		}
	}
	for _, criticalityFactor := range p.Criticalities {
		if criticalityFactor.Criticality == kind.Criticality {
			factor *= criticalityFactor.Factor
		}
	}
	return factor
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// criticalityLevel returns the criticality of a kind. Parsing can't fail, as loading
// the mesh file validates criticalities.
func criticalityLevel(kind mesh.Kind) criticality.Level {
	level, err := criticality.ParseLevel(kind.Criticality)
	if err != nil {
		return criticality.Sheddable
	}
	return level
}
