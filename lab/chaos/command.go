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

// Commands returns the commands that this package adds to lugspur-lab.
func Commands() []subcommands.Command { return []subcommands.Command{&chaosCommand{}} }

// nodeFlags shorten the claim retention of the nodes. It must exceed the time
// over which a caller resends a call, and be short enough that claim replicas
// that lost their state serve again within a run. The maximum call timeout must
// not exceed the claim retention.
var nodeFlags = []string{"-claims-retention-s", "25", "-limits-max-timeout-ms", "10000"}

type chaosCommand struct {
	config        Config
	claimReplicas int
}

func (*chaosCommand) Name() string { return "chaos" }
func (*chaosCommand) Synopsis() string {
	return "inject a seeded schedule of faults into a mesh and check its guarantees"
}
func (*chaosCommand) Usage() string {
	return `chaos [flags]: inject a seeded schedule of faults into a mesh and check its guarantees.

Writes schedule.json, history.jsonl, records.jsonl, events.jsonl, result.json and
the logs of all processes to the output directory. Exits with 1 if a guarantee
was violated or the run failed.

Example:
  lugspur-lab chaos -lugspur bin/lugspur -mesh examples/ppba/mesh.toml -policies examples/policies -seed 7 -duration 30s -rate 100 -out out

`
}

// SetFlags defines the command's flags.
func (c *chaosCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.config.Cluster.Lugspur, "lugspur", "bin/lugspur", "lugspur `program`")
	flags.StringVar(&c.config.Cluster.MeshFile, "mesh", "examples/naidu/mesh.toml", "mesh `file`")
	flags.StringVar(&c.config.Cluster.Policies, "policies", "examples/policies", "`directory` of policies")
	flags.StringVar(&c.config.Cluster.Directory, "out", "", "output `directory`; empty means a temporary directory")
	flags.IntVar(&c.config.Cluster.NodesPerZone, "nodes", 2, "`number` of nodes in each zone")
	flags.Uint64Var(&c.config.Cluster.Seed, "seed", 1, "`seed` of the fault schedule and the call arrivals")
	flags.DurationVar(&c.config.Duration, "duration", 30*time.Second, "`duration` of the phase with faults")
	flags.DurationVar(&c.config.Settle, "settle", DefaultSettle, "`duration` of the phase without faults that follows")
	flags.Float64Var(&c.config.Rate, "rate", 100, "`calls` per second")
	flags.IntVar(&c.claimReplicas, "claim-replicas", settings.Default().Claims.Replicas, "`number` of nodes that replicate the claims of calls with idempotency keys: 1, 3, 5 or 7")
	c.config.Settings = judge.DefaultSettings()
	c.config.Settings.Register(flags)
}

// Execute runs the command.
func (c *chaosCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.prepare(); err != nil {
		fmt.Fprintln(os.Stderr, "chaos:", err)
		return subcommands.ExitUsageError
	}
	fmt.Println("output files and logs are in", c.config.Cluster.Directory)
	result, err := Run(ctx, c.config)
	if result != nil {
		if printed := result.WriteText(os.Stdout); printed != nil {
			return subcommands.ExitFailure
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "chaos run failed:", err)
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
