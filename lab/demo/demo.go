// Package demo demonstrates lugspur with one command: it runs a whole mesh in
// separate processes, applies policies with the command line, sends calls of
// every kind and drains a target while they run.
package demo

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/load"
)

// drainGracePeriod is how long after the drain was accepted the target may still
// receive new calls.
const drainGracePeriod = 3 * time.Second

// Commands returns the commands of this package.
func Commands() []subcommands.Command { return []subcommands.Command{&demoCommand{}} }

type demoCommand struct {
	config          cluster.Config
	drainTargetName string
	rate            float64
	duration        time.Duration
}

func (*demoCommand) Name() string { return "demo" }
func (*demoCommand) Synopsis() string {
	return "run a mesh with lugspur, send calls and drain a target"
}
func (*demoCommand) Usage() string {
	return `demo [flags]: run a mesh with lugspur in front, send calls of each kind and drain a target.

Exits with 0 only if every call received a complete response and the drained target
received no new calls.

Example:
  lugspur-lab demo -lugspur bin/lugspur -mesh examples/naidu/mesh.toml -policies examples/policies

`
}

// SetFlags defines the command's flags.
func (c *demoCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.config.Lugspur, "lugspur", "bin/lugspur", "lugspur `program`")
	flags.StringVar(&c.config.MeshFile, "mesh", "examples/naidu/mesh.toml", "mesh `file`")
	flags.StringVar(&c.config.Policies, "policies", "examples/policies", "`directory` of policies")
	flags.StringVar(&c.config.Directory, "out", "", "`directory` for logs; empty means a temporary directory")
	flags.IntVar(&c.config.NodesPerZone, "nodes", 1, "number of nodes in each zone")
	flags.Uint64Var(&c.config.Seed, "seed", 1, "`seed` of arrivals and service times")
	flags.StringVar(&c.drainTargetName, "drain", "cropcal-1", "`target` to drain while calls run")
	flags.Float64Var(&c.rate, "rate", 100, "`calls` per second")
	flags.DurationVar(&c.duration, "duration", 10*time.Second, "`duration` of the load")
}

// Execute runs the demo.
func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		return subcommands.ExitFailure
	}
	fmt.Println("demo passed: every call received a complete response, and the drained target received no new calls")
	return subcommands.ExitSuccess
}

func (c *demoCommand) run(ctx context.Context, output io.Writer) (err error) {
	if c.config.Lab, err = os.Executable(); err != nil {
		return err
	}
	if c.config.Directory == "" {
		if c.config.Directory, err = os.MkdirTemp("", "lugspur-demo-"); err != nil {
			return err
		}
	}
	fmt.Fprintln(output, "starting store, targets and nodes; log directory:", c.config.Directory)
	deployment, err := cluster.Start(ctx, c.config)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, deployment.Stop()) }()
	fmt.Fprintf(output, "%d nodes in %d zones, %d targets; policies applied\n", len(deployment.Nodes), len(deployment.Mesh.Zones), len(deployment.Mesh.Targets))
	return c.runLoad(ctx, deployment, output)
}

// runLoad sends the load and drains the target a quarter of the way through it. It
// fails unless all calls received complete responses and the drain took effect.
func (c *demoCommand) runLoad(ctx context.Context, deployment *cluster.Cluster, output io.Writer) error {
	drainResults := make(chan drainResult, 1)
	go func() {
		time.Sleep(c.duration / 4)
		drainResults <- c.drainTarget(ctx, deployment)
	}()
	result, err := load.Run(ctx, load.Plan{
		Mesh:   deployment.Mesh,
		Edges:  deployment.Edges(),
		Rate:   c.rate,
		Phases: []load.Phase{{Name: "steady", Duration: c.duration, Multiplier: 1}},
		Seed:   c.config.Seed,
	})
	drain := <-drainResults
	if err = errors.Join(err, drain.err); err != nil {
		return err
	}
	if err := result.WriteTable(output); err != nil {
		return err
	}
	if !result.AllComplete() {
		return fmt.Errorf("not every call received a complete response (see %s)", filepath.Join(c.config.Directory, "*.log"))
	}
	return c.checkDrain(ctx, deployment, drain, output)
}

// drainResult is the time at which the drain command returned, and its error.
type drainResult struct {
	accepted time.Time
	err      error
}

func (c *demoCommand) drainTarget(ctx context.Context, deployment *cluster.Cluster) drainResult {
	_, err := deployment.Command(ctx, "drain", "target", c.drainTargetName)
	return drainResult{accepted: time.Now(), err: err}
}

// checkDrain fails if an execution started at the drained target after the grace
// period. It also fails if none started until then, because the check would then
// verify nothing.
func (c *demoCommand) checkDrain(ctx context.Context, deployment *cluster.Cluster, drain drainResult, output io.Writer) error {
	records, err := deployment.Records(ctx)
	if err != nil {
		return err
	}
	before, late := 0, 0
	for _, record := range records {
		switch {
		case record.Target != c.drainTargetName:
		case record.Start.After(drain.accepted.Add(drainGracePeriod)):
			late++
		default:
			before++
		}
	}
	fmt.Fprintf(output, "drained %s: %d calls before the drain or in the grace period, %d calls later than %s after the drain\n", c.drainTargetName, before, late, drainGracePeriod)
	if late > 0 {
		return fmt.Errorf("the drained target %s received %d new calls", c.drainTargetName, late)
	}
	if before == 0 {
		return fmt.Errorf("the target %s received no calls before its drain or in the grace period, so the drain is not verified", c.drainTargetName)
	}
	return nil
}
