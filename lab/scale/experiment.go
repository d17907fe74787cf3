package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/kvstore"
)

// Config says what a run consists of.
type Config struct {
	// Lugspur and Lab are the programs.
	Lugspur, Lab string
	// Directory holds the logs and the result.
	Directory string
	// Nodes is the number of hollow nodes and Real that of real ones.
	Nodes, Real int
	// NodesPerProcess is how many hollow nodes share a process.
	NodesPerProcess int
	// Quiet is the length of the window without changes; the other windows are
	// half as long.
	Quiet time.Duration
	// Speed multiplies the rate of changes that is designed for.
	Speed float64
	// StoreRate bounds the requests a second that the store takes.
	StoreRate float64
	// Introduction is how long after the start nodes send longer datagrams;
	// windows begin after it.
	Introduction time.Duration
}

const (
	// stopTimeout bounds the planned stop of one process.
	stopTimeout = 30 * time.Second
	// startTimeout bounds the time until all nodes know each other.
	startTimeout = 90 * time.Second
)

// experiment is one run at one number of nodes.
type experiment struct {
	config    Config
	fleet     *fleet
	processes []*cluster.Process
	result    *Result
	events    []event
	// seen is what all nodes noted.
	seen Observations
	// deaths holds when nodes were killed.
	deaths map[string]int64
	// changed is the number of changes made, of which each has a target of its
	// own while there are enough.
	changed int
	started time.Time
}

// run makes one run.
func run(ctx context.Context, config Config) (result Result, err error) {
	if err := os.MkdirAll(config.Directory, 0o755); err != nil {
		return result, oops.In("scale").With("step", "directory").Wrap(err)
	}
	store, err := kvstore.Start(kvstore.Config{RequestsPerSecond: config.StoreRate, Burst: int(config.StoreRate)}, "127.0.0.1:0", "127.0.0.1:0")
	if err != nil {
		return result, err
	}
	defer store.Close()
	result = Result{Nodes: config.Nodes, Real: config.Real}
	e := &experiment{config: config, result: &result, seen: newObservations(), deaths: map[string]int64{}}
	defer func() { err = errors.Join(err, e.stop()) }()
	if err := preload(ctx, store.Address(), config.StoreRate, objects()); err != nil {
		return result, err
	}
	groups, err := e.launch()
	if err != nil {
		return result, err
	}
	e.fleet = newFleet(store, groups)
	err = e.phases(ctx)
	return result, err
}

// hollowReady is the line that a process of hollow nodes prints.
type hollowReady struct {
	Control string `json:"control"`
}

// launch starts the processes of the hollow nodes.
func (e *experiment) launch() ([]string, error) {
	var groups []string
	for index := range (e.config.Nodes + e.config.NodesPerProcess - 1) / e.config.NodesPerProcess {
		name := fmt.Sprintf("hollow-%d", index)
		var ready hollowReady
		process, err := cluster.Launch(name, filepath.Join(e.config.Directory, name+".log"), &ready, e.config.Lab, "hollow")
		if err != nil {
			return nil, err
		}
		e.processes = append(e.processes, process)
		groups = append(groups, ready.Control)
	}
	return groups, nil
}

// stop ends all processes.
func (e *experiment) stop() error {
	all := e.processes
	if e.fleet != nil {
		for _, node := range e.fleet.reals {
			all = append(all, node.Process)
		}
	}
	var mutex sync.Mutex
	var failures []error
	var stopping sync.WaitGroup
	for _, process := range all {
		stopping.Go(func() {
			err := process.Stop(stopTimeout)
			mutex.Lock()
			defer mutex.Unlock()
			failures = append(failures, err)
		})
	}
	stopping.Wait()
	return errors.Join(failures...)
}

// phases runs the parts of the run in their order.
func (e *experiment) phases(ctx context.Context) error {
	e.started = time.Now()
	for _, phase := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"start", e.startNodes},
		{"changes", e.changeHealthy},
		{"windows", e.measureWindows},
		{"memory", e.measureMemory},
		{"failures", e.failNodes},
		{"store outage", e.changeBeforeOutage},
		{"cut", e.cutZone},
		{"after the cut", e.measureAfterCut},
		{"observe", e.judge},
	} {
		fmt.Printf("%s nodes=%d phase=%s\n", time.Now().Format(time.TimeOnly), e.config.Nodes, phase.name)
		if err := phase.run(ctx); err != nil {
			return oops.In("scale").With("step", phase.name).Wrapf(err, "%s", phase.name)
		}
	}
	return nil
}

func (e *experiment) startNodes(ctx context.Context) error {
	if err := e.fleet.startHollows(ctx, e.config.Nodes); err != nil {
		return err
	}
	for index := range e.config.Real {
		if err := e.fleet.startReal(e.config.Lugspur, e.config.Directory, index); err != nil {
			return err
		}
	}
	_, err := e.fleet.awaitMembers(ctx, startTimeout)
	e.result.StartSeconds = time.Since(e.started).Seconds()
	if err != nil {
		return err
	}
	err = e.fleet.awaitReady(ctx, startTimeout)
	e.result.ReadySeconds = time.Since(e.started).Seconds()
	if err != nil {
		return err
	}
	_, err = callAll[none](ctx, e.fleet, "/record", none{})
	return err
}
