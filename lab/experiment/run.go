package experiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/mesh"
)

// Config says what is measured.
type Config struct {
	// Lugspur and Lab are the programs.
	Lugspur, Lab string
	// MeshFile is the mesh; Policies is the directory of the operators'
	// policies, or empty for policies made from the mesh's expectations.
	MeshFile, Policies string
	// ScenarioFile is the overload.
	ScenarioFile string
	// System names the system.
	System string
	// Directory receives the result and the logs.
	Directory    string
	NodesPerZone int
	Seed         uint64
}

// experiment is one run.
type experiment struct {
	config   Config
	scenario *Scenario
	system   System
	mesh     *mesh.Mesh
	cluster  *cluster.Cluster
}

// Run makes one run and returns its result, which is also written to
// result.json in the directory.
func Run(ctx context.Context, config Config) (*Result, error) {
	e, err := prepare(config)
	if err != nil {
		return nil, err
	}
	observed, err := e.observe(ctx)
	if err != nil {
		return nil, oops.In("experiment").With("step", "run").Wrapf(err, "scenario %s, system %s", e.scenario.Name, e.system.Name)
	}
	result := Measure(observed)
	return result, result.write(config.Directory)
}

// prepare reads the files and writes the mesh that the run uses.
func prepare(config Config) (*experiment, error) {
	e := &experiment{config: config}
	var err error
	if e.system, err = SystemNamed(config.System); err != nil {
		return nil, err
	}
	if e.scenario, err = LoadScenario(config.ScenarioFile); err != nil {
		return nil, err
	}
	loaded, err := mesh.Load(config.MeshFile)
	if err != nil {
		return nil, err
	}
	if err := e.scenario.Check(loaded); err != nil {
		return nil, fmt.Errorf("scenario %s and mesh %s: %w", e.scenario.Name, loaded.Name, err)
	}
	e.mesh = e.scenario.Scaled(loaded)
	if err := os.MkdirAll(config.Directory, 0o755); err != nil {
		return nil, err
	}
	content, err := toml.Marshal(e.mesh)
	if err != nil {
		return nil, err
	}
	return e, os.WriteFile(e.meshFile(), content, 0o644)
}

func (e *experiment) meshFile() string { return filepath.Join(e.config.Directory, "mesh.toml") }

// observe runs the cluster with load and faults and returns what was seen.
func (e *experiment) observe(ctx context.Context) (*Observation, error) {
	policies, err := e.policies()
	if err != nil {
		return nil, err
	}
	config := cluster.Config{
		Lugspur:      e.config.Lugspur,
		Lab:          e.config.Lab,
		MeshFile:     e.meshFile(),
		Policies:     policies,
		Directory:    e.config.Directory,
		NodesPerZone: e.config.NodesPerZone,
		NodeFlags:    e.system.NodeFlags,
		Records:      true,
		Seed:         e.config.Seed,
	}
	if e.system.TargetAttempts > 1 {
		config.TargetFlags = []string{"-downstream-attempts", fmt.Sprint(e.system.TargetAttempts)}
	}
	if e.cluster, err = cluster.Start(ctx, config); err != nil {
		return nil, err
	}
	observed, err := e.exercise(ctx)
	if err = errors.Join(err, e.cluster.Stop()); err != nil {
		return nil, err
	}
	observed.Records, err = e.readRecords()
	return observed, err
}

// exercise sends the load while the controller injects faults and samples.
func (e *experiment) exercise(ctx context.Context) (*Observation, error) {
	if err := e.setUpTargets(ctx); err != nil {
		return nil, err
	}
	control := newController(e)
	controlContext, stopControl := context.WithCancel(ctx)
	defer stopControl()
	finished := make(chan error, 1)
	go func() { finished <- control.run(controlContext) }()
	result, err := load.Run(ctx, e.plan())
	stopControl()
	if err = errors.Join(err, <-finished); err != nil {
		return nil, err
	}
	return &Observation{
		Scenario: e.scenario,
		System:   e.system,
		Mesh:     e.mesh,
		Seed:     e.config.Seed,
		Load:     result,
		Samples:  control.samples,
	}, nil
}

func (e *experiment) plan() load.Plan {
	return load.Plan{
		Mesh:        e.mesh,
		Edges:       e.edges(),
		Rate:        e.mesh.Capacity().RequestsPerSecond,
		Phases:      e.scenario.loadPhases(e.mesh),
		Seed:        e.config.Seed,
		Retry:       e.scenario.Clients.retry(),
		KeepHistory: true,
	}
}

// edges are the edge addresses of the zones that aren't lost in the run.
func (e *experiment) edges() mesh.ZoneAddresses {
	edges := e.cluster.Edges()
	for _, loss := range e.scenario.ZoneLosses {
		delete(edges, loss.Zone)
	}
	return edges
}

// setUpTargets declares and sets the targets as the system wants them.
func (e *experiment) setUpTargets(ctx context.Context) error {
	state, err := e.cluster.TargetState(ctx)
	if err != nil {
		return err
	}
	if e.system.Unlimited {
		if err := e.declareUnlimited(ctx, state); err != nil {
			return err
		}
	}
	for _, target := range state.Targets {
		if err := e.cluster.SetTargetFaults(ctx, target.Name, e.baseFaults()); err != nil {
			return err
		}
	}
	return nil
}

// baseFaults hold during the whole run: targets of a system that passes on no
// cancellation finish what they have begun.
func (e *experiment) baseFaults() emulator.Faults {
	return emulator.Faults{IgnoreCancellation: e.system.NoPropagation, ShedWaiting: e.scenario.TargetWaiting}
}

// targetObject is a target as the command line takes it.
type targetObject struct {
	Kind string          `toml:"kind"`
	Name string          `toml:"name"`
	Spec resource.Target `toml:"spec"`
}

type targetFile struct {
	Objects []targetObject `toml:"object"`
}

// declareUnlimited declares the targets without bounds.
func (e *experiment) declareUnlimited(ctx context.Context, state emulator.State) error {
	var file targetFile
	for _, target := range state.Targets {
		file.Objects = append(file.Objects, targetObject{Kind: "target", Name: target.Name, Spec: resource.Target{
			Service:     target.Service,
			Zone:        target.Zone,
			Address:     target.Address,
			Slots:       unlimited,
			Connections: unlimited,
		}})
	}
	content, err := toml.Marshal(file)
	if err != nil {
		return err
	}
	path := filepath.Join(e.config.Directory, "unlimited.toml")
	if err := os.WriteFile(path, content, 0o644); err != nil {
		return err
	}
	if _, err := e.cluster.Command(ctx, "apply", "-f", path); err != nil {
		return err
	}
	return e.cluster.AwaitReady(ctx)
}

// readRecords reads the executions after the targets have ended.
func (e *experiment) readRecords() ([]emulator.Record, error) {
	content, err := os.ReadFile(e.cluster.RecordsFile())
	if err != nil {
		return nil, err
	}
	return emulator.ReadRecords(bytes.NewReader(content))
}

// Observation is everything that was seen in a run.
type Observation struct {
	Scenario *Scenario
	System   System
	// Mesh is the mesh as it was run, scaled in time.
	Mesh    *mesh.Mesh
	Seed    uint64
	Load    *load.Result
	Records []emulator.Record
	Samples []Sample
}

// window is a part of a run.
type window struct {
	name       string
	start, end time.Time
}

func (w window) contains(moment time.Time) bool {
	return !moment.Before(w.start) && moment.Before(w.end)
}

func (w window) seconds() float64 { return w.end.Sub(w.start).Seconds() }

// windows returns the phases of the run without the warm-up.
func (o *Observation) windows() []window {
	start := o.Load.Start.Add(seconds(o.Scenario.WarmUpSeconds))
	var windows []window
	for _, phase := range o.phases() {
		end := start.Add(seconds(phase.Seconds))
		windows = append(windows, window{name: phase.name, start: start, end: end})
		start = end
	}
	return windows
}

type namedPhase struct {
	Phase
	name string
}

func (o *Observation) phases() []namedPhase {
	return []namedPhase{
		{Phase: o.Scenario.Before, name: PhaseBefore},
		{Phase: o.Scenario.During, name: PhaseDuring},
		{Phase: o.Scenario.After, name: PhaseAfter},
	}
}

// window returns the phase with the given name.
func (o *Observation) window(name string) window {
	windows := o.windows()
	return windows[slices.IndexFunc(windows, func(w window) bool { return w.name == name })]
}
