package scale

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"
)

// Commands returns the lab's commands of this package.
func Commands() []subcommands.Command {
	return []subcommands.Command{&scaleCommand{}, &hollowCommand{}}
}

// maxProcesses bounds the child processes of one run.
const maxProcesses = 60

type scaleCommand struct {
	config Config
	nodes  string
}

// Name implements subcommands.Command.
func (*scaleCommand) Name() string { return "scale" }

// Synopsis implements subcommands.Command.
func (*scaleCommand) Synopsis() string {
	return "run many hollow nodes beside real ones and measure them"
}

// Usage implements subcommands.Command.
func (*scaleCommand) Usage() string {
	return `lugspur-lab scale [flags]

Runs hollow nodes in a few processes beside real nodes, changes the
configuration, kills and replaces nodes, stops the store and cuts a zone off.
Prints what a node used and how long news took to reach the last node, and
writes it to result.json in the directory of -out. With several numbers of
nodes, one run follows the other, and slopes are worked out.

Example:
  lugspur-lab scale -lugspur bin/lugspur -nodes 50,200,820 -real 3 -out scale

`
}

// SetFlags implements subcommands.Command.
func (c *scaleCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.config.Lugspur, "lugspur", "bin/lugspur", "lugspur `program`")
	flags.StringVar(&c.nodes, "nodes", "50,200,820", "numbers of hollow nodes, one run each")
	flags.IntVar(&c.config.Real, "real", 3, "real nodes beside them")
	flags.IntVar(&c.config.NodesPerProcess, "per-process", 100, "hollow nodes in one process")
	flags.DurationVar(&c.config.Quiet, "duration", 30*time.Second, "length of the quiet window; the others are half as long")
	flags.Float64Var(&c.config.Speed, "speed", 100, "how much faster than 4100 a day changes come in their window")
	flags.Float64Var(&c.config.StoreRate, "store-rate", 100, "requests a second that the store takes")
	flags.DurationVar(&c.config.Introduction, "introduction", 65*time.Second, "time after the start before the windows begin")
	flags.StringVar(&c.config.Directory, "out", "", "`directory` for logs and the result; empty means a temporary one")
}

// Execute implements subcommands.Command.
func (c *scaleCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	counts, err := parseCounts(c.nodes)
	if err == nil {
		err = c.check(counts)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if err := c.prepare(); err != nil {
		logrus.WithError(err).Error("the run was not prepared")
		return subcommands.ExitFailure
	}
	report, err := c.runAll(ctx, counts)
	report.setSlopes()
	report.print(os.Stdout)
	if writeErr := c.writeReport(report); writeErr != nil {
		logrus.WithError(writeErr).Error("the result was not written")
		return subcommands.ExitFailure
	}
	if err != nil {
		logrus.WithError(err).Error("a run ended early")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// parseCounts reads numbers of nodes.
func parseCounts(text string) ([]int, error) {
	var counts []int
	for field := range strings.SplitSeq(text, ",") {
		count, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil {
			return nil, fmt.Errorf("-nodes %q: %w", text, err)
		}
		counts = append(counts, count)
	}
	return counts, nil
}

func (c *scaleCommand) check(counts []int) error {
	const least = 4 * failures
	for _, count := range counts {
		processes := c.config.Real + (count+c.config.NodesPerProcess-1)/max(c.config.NodesPerProcess, 1)
		switch {
		case count < least:
			return fmt.Errorf("-nodes %d: at least %d are needed", count, least)
		case c.config.NodesPerProcess < 1 || processes > maxProcesses:
			return fmt.Errorf("%d processes: at most %d are allowed; see -per-process and -real", processes, maxProcesses)
		}
	}
	return nil
}

func (c *scaleCommand) prepare() error {
	lab, err := os.Executable()
	if err != nil {
		return err
	}
	c.config.Lab = lab
	if c.config.Directory == "" {
		c.config.Directory, err = os.MkdirTemp("", "lugspur-scale-")
		return err
	}
	return os.MkdirAll(c.config.Directory, 0o755)
}

func (c *scaleCommand) runAll(ctx context.Context, counts []int) (Report, error) {
	var report Report
	for _, count := range counts {
		config := c.config
		config.Nodes = count
		config.Directory = filepath.Join(c.config.Directory, fmt.Sprintf("nodes-%d", count))
		result, err := run(ctx, config)
		if err != nil {
			result.Failure = err.Error()
		}
		report.Runs = append(report.Runs, result)
		if err != nil {
			return report, err
		}
	}
	return report, nil
}

func (c *scaleCommand) writeReport(report Report) error {
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.config.Directory, "result.json"), encoded, 0o644)
}

type hollowCommand struct{}

// Name implements subcommands.Command.
func (*hollowCommand) Name() string { return "hollow" }

// Synopsis implements subcommands.Command.
func (*hollowCommand) Synopsis() string { return "hold hollow nodes; started by scale" }

// Usage implements subcommands.Command.
func (*hollowCommand) Usage() string {
	return `lugspur-lab hollow

Holds hollow nodes until SIGTERM, SIGINT or the end of the process that started
it. Prints the address of its control as one JSON line; the command scale tells
it which nodes to start.

Example:
  lugspur-lab hollow

`
}

// SetFlags implements subcommands.Command.
func (*hollowCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*hollowCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	started, address, err := startGroup()
	if err != nil {
		logrus.WithError(err).Error("the group did not start")
		return subcommands.ExitFailure
	}
	defer started.close()
	if err := json.NewEncoder(os.Stdout).Encode(hollowReady{Control: address}); err != nil {
		logrus.WithError(err).Error("the address could not be printed")
		return subcommands.ExitFailure
	}
	awaitEnd(ctx, os.Getppid())
	return subcommands.ExitSuccess
}

// awaitEnd waits for the end of the context or of the parent process.
func awaitEnd(ctx context.Context, parent int) {
	for ctx.Err() == nil && os.Getppid() == parent {
		_ = pause(ctx, time.Second)
	}
}
