package overhead

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
)

// Commands returns the lab commands of this package.
func Commands() []subcommands.Command { return []subcommands.Command{&overheadCommand{}} }

type overheadCommand struct {
	lugspur   string
	directory string
	calls     int
	rate      float64
	duration  time.Duration
	limit     time.Duration
}

func (*overheadCommand) Name() string     { return "overhead" }
func (*overheadCommand) Synopsis() string { return "measure the latency that a node adds to calls" }
func (*overheadCommand) Usage() string {
	return `overhead [flags]: call a target directly and through a node, alternately.

Prints the latencies of both paths, the latency that the node adds, and the
node's CPU time and allocated bytes per call. Exits with 1 if a call failed or,
with -limit, if the added latency at the 99th percentile exceeds the limit.

Example:
  lugspur-lab overhead -lugspur bin/lugspur -rate 2000 -duration 10s

`
}

// SetFlags defines the command's flags.
func (c *overheadCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.lugspur, "lugspur", "bin/lugspur", "lugspur `program`")
	flags.StringVar(&c.directory, "out", "", "`directory` for logs; empty creates a temporary one")
	flags.IntVar(&c.calls, "calls", 5000, "number of sequential calls on each path")
	flags.Float64Var(&c.rate, "rate", 2000, "calls per `second` on each path")
	flags.DurationVar(&c.duration, "duration", 10*time.Second, "`length` of the run with -rate")
	flags.DurationVar(&c.limit, "limit", 0, "maximum added latency at the 99th percentile; 0 means no limit")
}

// Execute runs the measurement.
func (c *overheadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *overheadCommand) run(ctx context.Context, out io.Writer) (err error) {
	if c.directory == "" {
		if c.directory, err = os.MkdirTemp("", "lugspur-overhead-"); err != nil {
			return err
		}
	}
	target, err := startTarget()
	if err != nil {
		return err
	}
	defer func() { _ = target.Close() }()
	node, err := cluster.StartSingleNode(ctx, c.lugspur, c.directory, targetConfig(target.Addr().String()))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, node.Stop(stopTimeout)) }()
	return c.compareAll(ctx, node, "http://"+target.Addr().String()+"/", out)
}

// stopTimeout is the timeout of the node's graceful shutdown.
const stopTimeout = 20 * time.Second

// targetConfig returns the object file with the service and its single target.
func targetConfig(address string) string {
	return fmt.Sprintf(`[[object]]
kind = "service"
name = "echo"
[object.spec]
timeout_ms = 5000

[[object]]
kind = "target"
name = "echo-1"
[object.spec]
service = "echo"
zone = "alone"
address = %q
slots = 512
connections = 512
`, address)
}

func (c *overheadCommand) compareAll(ctx context.Context, node *cluster.Node, directURL string, out io.Writer) error {
	throughURL := "http://" + node.Addresses.Edge + "/echo/"
	CompareSequential(ctx, directURL, throughURL, c.calls/10)
	sequential, err := c.runComparison(ctx, node, out, "sequential calls", func() Comparison {
		return CompareSequential(ctx, directURL, throughURL, c.calls)
	})
	if err != nil {
		return err
	}
	atRate, err := c.runComparison(ctx, node, out, fmt.Sprintf("at %g calls/s", c.rate), func() Comparison {
		return CompareAtRate(ctx, directURL, throughURL, c.rate, c.duration)
	})
	if err != nil {
		return err
	}
	for _, comparison := range []Comparison{sequential, atRate} {
		if c.limit > 0 && comparison.Added(99) > c.limit {
			return fmt.Errorf("the added latency at the 99th percentile is %s, which exceeds the limit of %s", comparison.Added(99), c.limit)
		}
	}
	return nil
}

// runComparison runs a comparison and prints its result with the node's resource
// usage.
func (c *overheadCommand) runComparison(ctx context.Context, node *cluster.Node, out io.Writer, name string, run func() Comparison) (Comparison, error) {
	before, err := node.Usage(ctx)
	if err != nil {
		return Comparison{}, err
	}
	comparison := run()
	after, err := node.Usage(ctx)
	if err != nil {
		return Comparison{}, err
	}
	calls := comparison.ThroughNode.Latencies.TotalCount()
	fmt.Fprintf(out, "%s: %d calls on each path in %.1f s, start delay p99 %s\n", name, calls, comparison.Duration.Seconds(), comparison.Lateness99.Round(time.Microsecond))
	for _, quantile := range []float64{50, 90, 99, 99.9} {
		fmt.Fprintf(out, "  p%-5g direct %8s  through %8s  added %8s\n", quantile,
			roundToMicroseconds(comparison.Direct.Quantile(quantile)), roundToMicroseconds(comparison.ThroughNode.Quantile(quantile)), roundToMicroseconds(comparison.Added(quantile)))
	}
	cpuTime := after.CPUTime - before.CPUTime
	fmt.Fprintf(out, "  node: %s of CPU time per call, %.0f calls/s per core, %.0f bytes allocated per call\n",
		roundToMicroseconds(cpuTime/time.Duration(max(calls, 1))), float64(calls)/cpuTime.Seconds(), (after.Allocated-before.Allocated)/float64(max(calls, 1)))
	if failures := comparison.Direct.Failures + comparison.ThroughNode.Failures; failures > 0 {
		return comparison, fmt.Errorf("%d calls failed (see %s)", failures, filepath.Join(c.directory, "*.log"))
	}
	return comparison, nil
}

func roundToMicroseconds(duration time.Duration) time.Duration {
	return duration.Round(time.Microsecond)
}
