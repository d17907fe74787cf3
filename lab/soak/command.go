package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
)

// Commands returns the lab's commands of this package.
func Commands() []subcommands.Command { return []subcommands.Command{&soakCommand{}} }

type soakCommand struct{ config Config }

func (*soakCommand) Name() string { return "soak" }
func (*soakCommand) Synopsis() string {
	return "run platform nodes through seeded faults and check the guarantees"
}
func (*soakCommand) Usage() string {
	return `soak [flags]: run platform nodes as processes through a seeded schedule of faults and check the guarantees
against the observations of callers and targets.

Writes schedule.json, requests.jsonl, result.json and the logs of all nodes to the
output directory. Exits with 1 if a guarantee was violated or the run failed.

Example:
  lugspur-lab soak -lugspur bin/lugspur-sidecar -seed 7 -duration 60s -out out

`
}

// Bounds of the flags.
const (
	maxMachines = 24
	maxRate     = 500
	maxDuration = time.Hour
	// maxZoneLosses is the highest number that the nodes' settings accept.
	maxZoneLosses = 16
)

// SetFlags defines the command's flags.
func (c *soakCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.config.Program, "lugspur", "bin/lugspur-sidecar", "lugspur-sidecar `program`")
	flags.StringVar(&c.config.Directory, "out", "", "`directory` for the run's files; empty means a temporary one")
	flags.IntVar(&c.config.Machines, "machines", 6, "number of nodes, each with a target")
	flags.Uint64Var(&c.config.Seed, "seed", 0, "`seed` of faults and requests; 0 derives one from the clock")
	flags.DurationVar(&c.config.Duration, "duration", time.Minute, "`time` during which faults are injected")
	flags.IntVar(&c.config.Restores, "restores", 2, "`number` of restores of the store from a backup")
	flags.IntVar(&c.config.Announcements, "announcements", 4, "`number` of times that a target announces a rate limit or that it is leaving")
	flags.IntVar(&c.config.ResourceFaults, "resource-faults", 6, "`number` of faults that use up nodes' memory, are input that no sound peer sends, or keep nodes from starting")
	flags.IntVar(&c.config.ZoneLosses, "zone-losses", 1, "`number` of zones whose loss the nodes are told to tolerate; 0 disables the decisions for shortage")
	flags.Float64Var(&c.config.Rate, "rate", 40, "requests per `second` of each machine's callers")
}

// Execute runs the soak.
func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.prepare(); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return subcommands.ExitUsageError
	}
	fmt.Println("files and logs in", c.config.Directory)
	result, err := Run(ctx, c.config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return subcommands.ExitFailure
	}
	result.WriteText(os.Stdout)
	if len(result.Breaches) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *soakCommand) prepare() error {
	if c.config.Machines < 2 || c.config.Machines > maxMachines {
		return fmt.Errorf("machines must be between 2 and %d", maxMachines)
	}
	if !(c.config.Rate > 0 && c.config.Rate <= maxRate) {
		return fmt.Errorf("rate must be greater than 0 and at most %d", maxRate)
	}
	if c.config.ZoneLosses < 0 || c.config.ZoneLosses > maxZoneLosses {
		return fmt.Errorf("zone-losses must be between 0 and %d", maxZoneLosses)
	}
	if c.config.Duration <= 0 || c.config.Duration > maxDuration {
		return fmt.Errorf("duration must be greater than 0 and at most %s", maxDuration)
	}
	if c.config.Seed == 0 {
		c.config.Seed = uint64(time.Now().UnixNano())
	}
	if c.config.Directory == "" {
		directory, err := os.MkdirTemp("", "lugspur-soak-")
		c.config.Directory = directory
		return err
	}
	return os.MkdirAll(c.config.Directory, 0o700)
}
