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

// Config says what a run consists of.
type Config struct {
	// Cluster is the mesh and its nodes; Records is always on.
	Cluster cluster.Config
	// Duration is the time with faults.
	Duration time.Duration
	// Settle is the time without faults after it, with calls going on.
	Settle time.Duration
	// Rate is the calls a second.
	Rate     float64
	Settings judge.Settings
}

// Times of a run.
const (
	// DefaultSettle is longer than an accepted change may take to be in force.
	DefaultSettle = 10 * time.Second
	// recoveryTime is the last part of the settling, whose calls show whether
	// the mesh has recovered.
	recoveryTime = 3 * time.Second
	// runReserve bounds what a run takes besides its durations.
	runReserve = 3 * time.Minute
	// historyTimeout bounds the reading of histories at the end.
	historyTimeout = 20 * time.Second
)

// Names of the files that a run writes.
const (
	ScheduleFile = "schedule.json"
	HistoryFile  = "history.jsonl"
	EventsFile   = "events.jsonl"
	ResultFile   = "result.json"
)

// run is a run while it lasts.
type run struct {
	config   Config
	schedule []Fault
	cluster  *cluster.ProxiedCluster
	recorder *recorder
	callers  *callers
	injector *injector
	// settled is when the last fault had ended.
	settled time.Time
	// ended is when the last call was begun.
	ended time.Time
}

// Run runs a mesh through the faults of the seed and judges what came of it.
// The result is not nil if the run got as far as being judged.
func Run(ctx context.Context, config Config) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, config.Duration+config.Settle+runReserve)
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
	failed := r.disturb(ctx)
	failed = errors.Join(failed, r.cluster.Stop())
	result, err := r.judge()
	return result, errors.Join(failed, err)
}

// disturb makes the calls and the faults.
func (r *run) disturb(ctx context.Context) error {
	watching, stopWatching := context.WithCancel(ctx)
	var observers sync.WaitGroup
	defer observers.Wait()
	defer stopWatching()
	operators := &operators{admins: map[string]string{}, recorder: r.recorder}
	var edges []edge
	for _, node := range r.cluster.Nodes {
		operators.admins[node.Name] = node.Addresses.Admin
		edges = append(edges, edge{zone: node.Zone, address: node.Addresses.Edge})
		observer, err := newObserver(node.Name, node.Addresses.Admin, r.recorder)
		if err != nil {
			return err
		}
		r.recorder.note(judge.Event{Kind: judge.NodeStarted, Node: node.Name})
		observers.Go(func() { observer.run(watching) })
	}
	r.callers = newCallers(r.cluster.Mesh, edges, r.recorder, r.config.Cluster.Seed)
	r.injector = newInjector(r.cluster, r.recorder, operators, r.callers)
	err := r.callAndInject(ctx)
	r.noteHistories(ctx, operators)
	return err
}

func (r *run) callAndInject(ctx context.Context) error {
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var calls sync.WaitGroup
	calls.Go(func() { r.callers.run(calling, ctx, r.config.Rate) })
	err := r.injectAll(ctx)
	r.settled = time.Now()
	pause.For(ctx, r.config.Settle)
	r.ended = time.Now()
	stopCalling()
	calls.Wait()
	if ctx.Err() != nil {
		err = errors.Join(err, fmt.Errorf("the run was ended early: %w", context.Cause(ctx)))
	}
	return err
}

// injectAll makes all faults at their times and waits for their ends.
func (r *run) injectAll(ctx context.Context) error {
	start := time.Now()
	failures := make([]error, len(r.schedule))
	var faults sync.WaitGroup
	for index, fault := range r.schedule {
		faults.Go(func() {
			if !pause.For(ctx, time.Until(start.Add(fault.begin()))) {
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

func (r *run) noteHistories(ctx context.Context, operators *operators) {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	var services []string
	for _, service := range r.cluster.Mesh.Services {
		services = append(services, service.Name)
	}
	operators.noteHistories(ctx, services)
}

// judge reads the executions, judges the run and writes its files.
func (r *run) judge() (*Result, error) {
	records, err := judge.ReadLines[emulator.Record](r.cluster.RecordsFile())
	if err != nil {
		return nil, err
	}
	events, calls := r.recorder.recorded()
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
