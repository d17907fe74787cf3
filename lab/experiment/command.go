package experiment

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// Commands returns the lab commands of this package.
func Commands() []subcommands.Command { return []subcommands.Command{&experimentCommand{}} }

type experimentCommand struct{ config Config }

func (*experimentCommand) Name() string { return "experiment" }
func (*experimentCommand) Synopsis() string {
	return "measure goodput and recovery of a system under overload"
}

func (*experimentCommand) Usage() string {
	return `experiment -scenario FILE -system NAME [flags]: measure goodput and recovery under overload.

The systems are lugspur and the baselines local (no coordination between nodes),
static (fixed limits, three retries per hop) and none (no limits, retries at every
hop). Writes result.json and logs to the -out directory. Exits with 1 if the run
failed and with 3 if its result is invalid, because the lab was too slow.

Example:
  lugspur-lab experiment -lugspur bin/lugspur -mesh examples/naidu/mesh.toml -policies examples/policies \
    -scenario examples/scenarios/surge-2x.toml -system lugspur -seed 1 -out /tmp/surge-2x-lugspur-1

`
}

// SetFlags defines the command's flags.
func (c *experimentCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.config.Lugspur, "lugspur", "bin/lugspur", "lugspur `program`")
	flags.StringVar(&c.config.MeshFile, "mesh", "examples/naidu/mesh.toml", "mesh `file`")
	flags.StringVar(&c.config.Policies, "policies", "", "`directory` of policies; empty generates policies with the criticalities of the mesh file")
	flags.StringVar(&c.config.ScenarioFile, "scenario", "", "scenario `file`")
	flags.StringVar(&c.config.System, "system", "lugspur", "`name` of the system: lugspur, local, static or none")
	flags.StringVar(&c.config.Directory, "out", "", "`directory` for the result and logs")
	flags.IntVar(&c.config.NodesPerZone, "nodes", 1, "nodes in each zone")
	flags.Uint64Var(&c.config.Seed, "seed", 1, "`seed` of arrivals and service times")
}

// exitInvalidRun is the exit status of a run with an invalid result.
const exitInvalidRun subcommands.ExitStatus = 3

// Execute runs the experiment.
func (c *experimentCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.config.ScenarioFile == "" || c.config.Directory == "" {
		fmt.Fprintln(os.Stderr, "-scenario and -out are required")
		return subcommands.ExitUsageError
	}
	result, err := c.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "experiment failed:", err)
		return subcommands.ExitFailure
	}
	if err := result.WriteTable(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if !result.Valid() {
		return exitInvalidRun
	}
	return subcommands.ExitSuccess
}

func (c *experimentCommand) run(ctx context.Context) (*Result, error) {
	var err error
	if c.config.Lab, err = os.Executable(); err != nil {
		return nil, err
	}
	return Run(ctx, c.config)
}
