// Package demo shows lugspur at work in one command: a whole mesh in separate
// processes, policies applied by the command line, calls of every kind, and a
// target drained meanwhile.
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

// drainAllowance is how long after the drain's acceptance a target may still
// get new work.
const drainAllowance = 3 * time.Second

// Commands returns the lab's commands of this package.
func Commands() []subcommands.Command { return []subcommands.Command{&demoCommand{}} }

type demoCommand struct {
	config   cluster.Config
	drain    string
	rate     float64
	duration time.Duration
}

func (*demoCommand) Name() string { return "demo" }
func (*demoCommand) Synopsis() string {
	return "run a mesh with lugspur, send calls and drain a target"
}
func (*demoCommand) Usage() string {
	return `demo [flags]: run a mesh with lugspur in front, send calls of each kind and drain a target.

Exits with 0 only if every call was answered completely and the drained target
got no new work.

Example:
  lugspur-lab demo -lugspur bin/lugspur -mesh examples/naidu/mesh.toml -policies examples/policies

`
}

// SetFlags defines the command's flags.
func (c *demoCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.config.Lugspur, "lugspur", "bin/lugspur", "lugspur `program`")
	flags.StringVar(&c.config.MeshFile, "mesh", "examples/naidu/mesh.toml", "mesh `file`")
	flags.StringVar(&c.config.Policies, "policies", "examples/policies", "`directory` of policies")
	flags.StringVar(&c.config.Directory, "out", "", "`directory` for logs; empty means a temporary one")
	flags.IntVar(&c.config.NodesPerZone, "nodes", 1, "nodes in each zone")
	flags.Uint64Var(&c.config.Seed, "seed", 1, "`seed` of arrivals and service times")
	flags.StringVar(&c.drain, "drain", "cropcal-1", "`target` that is drained while calls go on")
	flags.Float64Var(&c.rate, "rate", 100, "calls a `second`")
	flags.DurationVar(&c.duration, "duration", 10*time.Second, "`length` of the load")
}

// Execute runs the demonstration.
func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		return subcommands.ExitFailure
	}
	fmt.Println("demo passed: every call was answered completely, and the drained target got no new work")
	return subcommands.ExitSuccess
}

func (c *demoCommand) run(ctx context.Context, out io.Writer) (err error) {
	if c.config.Lab, err = os.Executable(); err != nil {
		return err
	}
	if c.config.Directory == "" {
		if c.config.Directory, err = os.MkdirTemp("", "lugspur-demo-"); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "starting store, targets and nodes; logs in", c.config.Directory)
	running, err := cluster.Start(ctx, c.config)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, running.Stop()) }()
	fmt.Fprintf(out, "%d nodes in %d zones, %d targets; policies applied\n", len(running.Nodes), len(running.Mesh.Zones), len(running.Mesh.Targets))
	return c.exercise(ctx, running, out)
}

// exercise sends the load, drains the target in the middle of it and checks
// what came of both.
func (c *demoCommand) exercise(ctx context.Context, running *cluster.Cluster, out io.Writer) error {
	drained := make(chan drainResult, 1)
	go func() {
		time.Sleep(c.duration / 4)
		drained <- c.drainTarget(ctx, running)
	}()
	result, err := load.Run(ctx, load.Plan{
		Mesh:   running.Mesh,
		Edges:  running.Edges(),
		Rate:   c.rate,
		Phases: []load.Phase{{Name: "steady", Duration: c.duration, Multiplier: 1}},
		Seed:   c.config.Seed,
	})
	drain := <-drained
	if err = errors.Join(err, drain.err); err != nil {
		return err
	}
	if err := result.WriteTable(out); err != nil {
		return err
	}
	if !result.AllComplete() {
		return fmt.Errorf("not every call was answered completely (see %s)", filepath.Join(c.config.Directory, "*.log"))
	}
	return c.checkDrain(ctx, running, drain, out)
}

// drainResult is when the drain was accepted.
type drainResult struct {
	at  time.Time
	err error
}

func (c *demoCommand) drainTarget(ctx context.Context, running *cluster.Cluster) drainResult {
	_, err := running.Command(ctx, "drain", "target", c.drain)
	return drainResult{at: time.Now(), err: err}
}

// checkDrain looks for executions at the drained target that began after the
// allowance.
func (c *demoCommand) checkDrain(ctx context.Context, running *cluster.Cluster, drain drainResult, out io.Writer) error {
	records, err := running.Records(ctx)
	if err != nil {
		return err
	}
	before, late := 0, 0
	for _, record := range records {
		switch {
		case record.Target != c.drain:
		case record.Start.After(drain.at.Add(drainAllowance)):
			late++
		default:
			before++
		}
	}
	fmt.Fprintf(out, "drained %s: %d calls before and shortly after, %d later than %s after the drain\n", c.drain, before, late, drainAllowance)
	if late > 0 {
		return fmt.Errorf("the drained target %s got %d new calls", c.drain, late)
	}
	if before == 0 {
		return fmt.Errorf("the target %s got no call before its drain, which proves nothing", c.drain)
	}
	return nil
}
