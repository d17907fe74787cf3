package chaos

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/lugspur/lugspur/internal/settings"
	"github.com/lugspur/lugspur/lab/judge"
)

// Commands returns the lab's commands of this package.
func Commands() []subcommands.Command { return []subcommands.Command{&chaosCommand{}} }

// nodeFlags shorten how long the nodes hold claims: longer than any caller
// sends a call again, and short enough that claim replicas which have lost
// their memory serve again within a run. No call may last longer than a claim.
var nodeFlags = []string{"-claims-retention-s", "25", "-limits-max-timeout-ms", "10000"}

type chaosCommand struct {
	config        Config
	claimReplicas int
}

func (*chaosCommand) Name() string { return "chaos" }
func (*chaosCommand) Synopsis() string {
	return "run a mesh through a seeded schedule of faults and judge what came of it"
}
func (*chaosCommand) Usage() string {
	return `chaos [flags]: run a mesh through a seeded schedule of faults and judge what came of it.

Writes schedule.json, history.jsonl, records.jsonl, events.jsonl, result.json and
the logs of all processes to the output directory. Exits with 1 if a promise was
broken or the run failed.

Example:
  lugspur-lab chaos -lugspur bin/lugspur -mesh examples/ppba/mesh.toml -policies examples/policies -seed 7 -duration 30s -rate 100 -out out

`
}

// SetFlags defines the command's flags.
func (c *chaosCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.config.Cluster.Lugspur, "lugspur", "bin/lugspur", "lugspur `program`")
	flags.StringVar(&c.config.Cluster.MeshFile, "mesh", "examples/naidu/mesh.toml", "mesh `file`")
	flags.StringVar(&c.config.Cluster.Policies, "policies", "examples/policies", "`directory` of policies")
	flags.StringVar(&c.config.Cluster.Directory, "out", "", "`directory` for the run's files; empty means a temporary one")
	flags.IntVar(&c.config.Cluster.NodesPerZone, "nodes", 2, "nodes in each zone")
	flags.Uint64Var(&c.config.Cluster.Seed, "seed", 1, "`seed` of the schedule and the arrivals")
	flags.DurationVar(&c.config.Duration, "duration", 30*time.Second, "`time` with faults")
	flags.DurationVar(&c.config.Settle, "settle", DefaultSettle, "`time` without faults after it")
	flags.Float64Var(&c.config.Rate, "rate", 100, "calls a `second`")
	flags.IntVar(&c.claimReplicas, "claim-replicas", settings.Default().Claims.Replicas, "`nodes` that hold the claims of keyed calls: 1, 3, 5 or 7")
	c.config.Settings = judge.DefaultSettings()
	c.config.Settings.Register(flags)
}

// Execute runs the faults.
func (c *chaosCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.prepare(); err != nil {
		fmt.Fprintln(os.Stderr, "chaos:", err)
		return subcommands.ExitUsageError
	}
	fmt.Println("files and logs in", c.config.Cluster.Directory)
	result, err := Run(ctx, c.config)
	if result != nil {
		if printed := result.WriteText(os.Stdout); printed != nil {
			return subcommands.ExitFailure
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "chaos failed:", err)
		return subcommands.ExitFailure
	}
	if !result.Report.Clean() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *chaosCommand) prepare() (err error) {
	if c.config.Duration <= 0 || c.config.Rate <= 0 || c.config.Cluster.NodesPerZone < 1 {
		return fmt.Errorf("duration, rate and nodes must be positive")
	}
	c.config.Cluster.NodeFlags = append(slices.Clone(nodeFlags), "-claims-replicas", strconv.Itoa(c.claimReplicas))
	if c.config.Cluster.Lab, err = os.Executable(); err != nil {
		return err
	}
	if c.config.Cluster.Directory == "" {
		c.config.Cluster.Directory, err = os.MkdirTemp("", "lugspur-chaos-")
	}
	return err
}
