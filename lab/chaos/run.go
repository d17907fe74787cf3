package chaos

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/judge"
	"github.com/lugspur/lugspur/lab/mesh"
)

// Config configures a run.
type Config struct {
	// Cluster configures the mesh and its nodes. Run always sets Records.
	Cluster cluster.Config
	// Duration is the length of the phase with faults.
	Duration time.Duration
	// Settle is the length of the phase without faults that follows. Calls
	// continue during it.
	Settle time.Duration
	// Rate is the number of calls per second.
	Rate     float64
	Settings judge.Settings
}

// Durations of a run.
const (
	// DefaultSettle is longer than the time within which an accepted change must
	// take effect.
	DefaultSettle = 10 * time.Second
	// recoveryWindow is the last part of the settle phase. The calls in it show
	// whether the mesh has recovered.
	recoveryWindow = 3 * time.Second
	// runOverhead limits the time that a run takes in addition to its phases.
	runOverhead = 3 * time.Minute
	// historyTimeout limits the time for reading change histories at the end.
	historyTimeout = 20 * time.Second
)

// Names of the files that a run writes.
const (
	ScheduleFile = "schedule.json"
	HistoryFile  = "history.jsonl"
	EventsFile   = "events.jsonl"
	ResultFile   = "result.json"
)

// run is the state of a run in progress.
type run struct {
	config   Config
	schedule []Fault
	cluster  *cluster.ProxiedCluster
	recorder *recorder
	callers  *callers
	injector *injector
	// faultsEnded is when the last fault had ended.
	faultsEnded time.Time
	// loadEnded is when callers stopped starting new calls.
	loadEnded time.Time
}

// Run injects the faults that the seed determines and checks the run for violated
// guarantees. The result may be non-nil together with an error: it is set
// whenever the run was checked.
func Run(ctx context.Context, config Config) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, config.Duration+config.Settle+runOverhead)
	defer cancel()
	config.Cluster.Records = true
	loaded, err := mesh.Load(config.Cluster.MeshFile)
	if err != nil {
		return nil, err
	}
	r := &run{
		config:   config,
		recorder: &recorder{},
		schedule: NewSchedule(loaded, config.Cluster.NodesPerZone, config.Cluster.Seed, config.Duration),
	}
	r.cluster, err = cluster.StartProxied(ctx, config.Cluster)
	if err != nil {
		return nil, err
	}
	failed := r.runLoadAndFaults(ctx)
	failed = errors.Join(failed, r.cluster.Stop())
	result, err := r.judge()
	return result, errors.Join(failed, err)
}

// runLoadAndFaults generates the calls, injects the faults and observes the
// nodes.
func (r *run) runLoadAndFaults(ctx context.Context) error {
	observing, stopObserving := context.WithCancel(ctx)
	var observers sync.WaitGroup
	defer observers.Wait()
	defer stopObserving()
	operators := &operators{adminAddresses: map[string]string{}, recorder: r.recorder}
	var edges []edge
	for _, node := range r.cluster.Nodes {
		operators.adminAddresses[node.Name] = node.Addresses.Admin
		edges = append(edges, edge{zone: node.Zone, address: node.Addresses.Edge})
		observer, err := newObserver(node.Name, node.Addresses.Admin, r.recorder)
		if err != nil {
			return err
		}
		r.recorder.record(judge.Event{Kind: judge.NodeStarted, Node: node.Name})
		observers.Go(func() { observer.run(observing) })
	}
	r.callers = newCallers(r.cluster.Mesh, edges, r.recorder, r.config.Cluster.Seed)
	r.injector = newInjector(r.cluster, r.recorder, operators, r.callers)
	err := r.injectUnderLoad(ctx)
	r.recordHistories(ctx, operators)
	return err
}

func (r *run) injectUnderLoad(ctx context.Context) error {
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var calls sync.WaitGroup
	calls.Go(func() { r.callers.run(calling, ctx, r.config.Rate) })
	err := r.injectAll(ctx)
	r.faultsEnded = time.Now()
	pause.For(ctx, r.config.Settle)
	r.loadEnded = time.Now()
	stopCalling()
	calls.Wait()
	if ctx.Err() != nil {
		err = errors.Join(err, fmt.Errorf("the run was stopped early: %w", context.Cause(ctx)))
	}
	return err
}

// injectAll injects all faults at their scheduled times and waits until they have
// ended.
func (r *run) injectAll(ctx context.Context) error {
	start := time.Now()
	failures := make([]error, len(r.schedule))
	var faults sync.WaitGroup
	for index, fault := range r.schedule {
		faults.Go(func() {
			if !pause.For(ctx, time.Until(start.Add(fault.start()))) {
				return
			}
			if err := r.injector.inject(ctx, fault); err != nil {
				failures[index] = fmt.Errorf("fault %d, %s: %w", index+1, fault.Kind, err)
			}
		})
	}
	pause.For(ctx, r.config.Duration)
	faults.Wait()
	return errors.Join(failures...)
}

func (r *run) recordHistories(ctx context.Context, operators *operators) {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	var services []string
	for _, service := range r.cluster.Mesh.Services {
		services = append(services, service.Name)
	}
	operators.recordHistories(ctx, services)
}

// judge reads the execution records, checks the run and writes the output files.
func (r *run) judge() (*Result, error) {
	records, err := judge.ReadLines[emulator.Record](r.cluster.RecordsFile())
	if err != nil {
		return nil, err
	}
	events, calls := r.recorder.snapshot()
	input := judge.Input{Mesh: r.cluster.Mesh, Calls: calls, Records: records, Events: events, Settings: r.config.Settings}
	result := newResult(r, input)
	return result, errors.Join(
		judge.WriteLines(r.file(HistoryFile), calls),
		judge.WriteLines(r.file(EventsFile), events),
		writeJSON(r.file(ScheduleFile), r.schedule),
		writeJSON(r.file(ResultFile), result),
	)
}

func (r *run) file(name string) string { return filepath.Join(r.config.Cluster.Directory, name) }
