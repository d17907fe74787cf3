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

// Config is the configuration of a run.
type Config struct {
	// Lugspur and Lab are the paths of the programs.
	Lugspur, Lab string
	// MeshFile is the path of the mesh file. Policies is the directory of the
	// operators' policies; empty generates policies with the criticalities of the
	// mesh file.
	MeshFile, Policies string
	// ScenarioFile is the path of the scenario file.
	ScenarioFile string
	// System is the name of the system, one of those in Systems.
	System string
	// Directory is the directory for the result and the logs.
	Directory    string
	NodesPerZone int
	Seed         uint64
}

// experiment is the state of one run.
type experiment struct {
	config   Config
	scenario *Scenario
	system   System
	mesh     *mesh.Mesh
	cluster  *cluster.Cluster
}

// Run runs one experiment and returns its result, which is also written to
// ResultFile in the directory.
func Run(ctx context.Context, config Config) (*Result, error) {
	e, err := prepare(config)
	if err != nil {
		return nil, err
	}
	observation, err := e.runCluster(ctx)
	if err != nil {
		return nil, oops.In("experiment").With("step", "run").Wrapf(err, "scenario %s, system %s", e.scenario.Name, e.system.Name)
	}
	result := Measure(observation)
	return result, result.writeFile(config.Directory)
}

// prepare loads the scenario and the mesh file and writes the scaled mesh for the
// run.
func prepare(config Config) (*experiment, error) {
	e := &experiment{config: config}
	var err error
	if e.system, err = SystemByName(config.System); err != nil {
		return nil, err
	}
	if e.scenario, err = LoadScenario(config.ScenarioFile); err != nil {
		return nil, err
	}
	unscaled, err := mesh.Load(config.MeshFile)
	if err != nil {
		return nil, err
	}
	if err := e.scenario.ValidateFor(unscaled); err != nil {
		return nil, fmt.Errorf("scenario %s and mesh %s: %w", e.scenario.Name, unscaled.Name, err)
	}
	e.mesh = e.scenario.ScaledMesh(unscaled)
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

// runCluster starts the cluster, runs the load and the faults, and stops the cluster.
func (e *experiment) runCluster(ctx context.Context) (*Observation, error) {
	policies, err := e.policyDirectory()
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
	observation, err := e.runLoad(ctx)
	if err = errors.Join(err, e.cluster.Stop()); err != nil {
		return nil, err
	}
	observation.Records, err = e.readRecords()
	return observation, err
}

// runLoad sends the load while the controller injects faults and takes samples.
func (e *experiment) runLoad(ctx context.Context) (*Observation, error) {
	if err := e.configureTargets(ctx); err != nil {
		return nil, err
	}
	controller := newController(e)
	controlContext, stopControl := context.WithCancel(ctx)
	defer stopControl()
	finished := make(chan error, 1)
	go func() { finished <- controller.run(controlContext) }()
	result, err := load.Run(ctx, e.loadPlan())
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
		Samples:  controller.samples,
	}, nil
}

func (e *experiment) loadPlan() load.Plan {
	return load.Plan{
		Mesh:        e.mesh,
		Edges:       e.edges(),
		Rate:        e.mesh.Capacity().RequestsPerSecond,
		Phases:      e.scenario.loadPhases(e.mesh),
		Seed:        e.config.Seed,
		Retry:       e.scenario.Clients.retryPolicy(),
		KeepHistory: true,
	}
}

// edges returns the edge addresses of the zones that don't fail in the run.
func (e *experiment) edges() mesh.ZoneAddresses {
	edges := e.cluster.Edges()
	for _, loss := range e.scenario.ZoneLosses {
		delete(edges, loss.Zone)
	}
	return edges
}

// configureTargets applies the system's target configuration and base faults.
func (e *experiment) configureTargets(ctx context.Context) error {
	state, err := e.cluster.TargetState(ctx)
	if err != nil {
		return err
	}
	if e.system.Unlimited {
		if err := e.applyUnlimitedTargets(ctx, state); err != nil {
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

// baseFaults returns the faults that are set for the whole run. With NoPropagation,
// targets complete every execution that they have started. TargetWaiting limits the
// waiting calls of targets.
func (e *experiment) baseFaults() emulator.Faults {
	return emulator.Faults{IgnoreCancellation: e.system.NoPropagation, ShedWaiting: e.scenario.TargetWaiting}
}

// targetObject is a target in the format of lugspur's object files.
type targetObject struct {
	Kind string          `toml:"kind"`
	Name string          `toml:"name"`
	Spec resource.Target `toml:"spec"`
}

// targetFile is an object file with targets.
type targetFile struct {
	Objects []targetObject `toml:"object"`
}

// applyUnlimitedTargets configures the targets without effective limits and waits
// until the cluster is ready.
func (e *experiment) applyUnlimitedTargets(ctx context.Context, state emulator.State) error {
	var file targetFile
	for _, target := range state.Targets {
		file.Objects = append(file.Objects, targetObject{Kind: "target", Name: target.Name, Spec: resource.Target{
			Service:     target.Service,
			Zone:        target.Zone,
			Address:     target.Address,
			Slots:       unlimitedCapacity,
			Connections: unlimitedCapacity,
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

// readRecords reads the targets' records of executions. They are complete once the
// targets have stopped.
func (e *experiment) readRecords() ([]emulator.Record, error) {
	content, err := os.ReadFile(e.cluster.RecordsFile())
	if err != nil {
		return nil, err
	}
	return emulator.ReadRecords(bytes.NewReader(content))
}

// Observation is the data collected in a run, from which the result is computed.
type Observation struct {
	Scenario *Scenario
	System   System
	// Mesh is the mesh of the run, scaled by the scenario.
	Mesh    *mesh.Mesh
	Seed    uint64
	Load    *load.Result
	Records []emulator.Record
	Samples []Sample
}

// window is a time interval of a run. The end is exclusive.
type window struct {
	name       string
	start, end time.Time
}

func (w window) contains(t time.Time) bool {
	return !t.Before(w.start) && t.Before(w.end)
}

func (w window) seconds() float64 { return w.end.Sub(w.start).Seconds() }

// phaseWindows returns the windows of the measured phases, which are all but the
// warm-up.
func (o *Observation) phaseWindows() []window {
	start := o.Load.Start.Add(seconds(o.Scenario.WarmUpSeconds))
	var windows []window
	for _, phase := range o.phases() {
		end := start.Add(seconds(phase.Seconds))
		windows = append(windows, window{name: phase.name, start: start, end: end})
		start = end
	}
	return windows
}

// namedPhase is a phase with its name.
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

// phaseWindow returns the window of the measured phase with the given name.
func (o *Observation) phaseWindow(name string) window {
	windows := o.phaseWindows()
	return windows[slices.IndexFunc(windows, func(w window) bool { return w.name == name })]
}
