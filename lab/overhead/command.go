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

// Commands returns the lab's commands of this package.
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
func (*overheadCommand) Synopsis() string { return "measure what a node adds to a call" }
func (*overheadCommand) Usage() string {
	return `overhead [flags]: call a target directly and through a node, interleaved.

Prints latencies of both ways, what the node adds, and the node's processor
time and allocation for each call. Exits with 1 if a call failed or, with
-limit, if the node adds more at the 99th percentile.

Example:
  lugspur-lab overhead -lugspur bin/lugspur -rate 2000 -duration 10s

`
}

// SetFlags defines the command's flags.
func (c *overheadCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.lugspur, "lugspur", "bin/lugspur", "lugspur `program`")
	flags.StringVar(&c.directory, "out", "", "`directory` for logs; empty means a temporary one")
	flags.IntVar(&c.calls, "calls", 5000, "calls on each way, one at a time")
	flags.Float64Var(&c.rate, "rate", 2000, "calls a `second` on each way")
	flags.DurationVar(&c.duration, "duration", 10*time.Second, "`length` of the run at the rate")
	flags.DurationVar(&c.limit, "limit", 0, "most that the node may add at the 99th percentile; 0 is no limit")
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
	target, err := serveTarget()
	if err != nil {
		return err
	}
	defer func() { _ = target.Close() }()
	node, err := cluster.StartSingleNode(ctx, c.lugspur, c.directory, alone(target.Addr().String()))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, node.Stop(stopTimeout)) }()
	return c.compare(ctx, node, "http://"+target.Addr().String()+"/", out)
}

// stopTimeout bounds the node's planned stop.
const stopTimeout = 20 * time.Second

// alone returns the objects of the one service and target.
func alone(address string) string {
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

func (c *overheadCommand) compare(ctx context.Context, node *cluster.Node, direct string, out io.Writer) error {
	through := "http://" + node.Addresses.Edge + "/echo/"
	OneAtATime(ctx, direct, through, c.calls/10)
	first, err := c.measure(ctx, node, out, "one at a time", func() Comparison {
		return OneAtATime(ctx, direct, through, c.calls)
	})
	if err != nil {
		return err
	}
	second, err := c.measure(ctx, node, out, fmt.Sprintf("at %g calls/s", c.rate), func() Comparison {
		return AtRate(ctx, direct, through, c.rate, c.duration)
	})
	if err != nil {
		return err
	}
	for _, comparison := range []Comparison{first, second} {
		if c.limit > 0 && comparison.Added(99) > c.limit {
			return fmt.Errorf("the node adds %s at the 99th percentile, allowed are %s", comparison.Added(99), c.limit)
		}
	}
	return nil
}

// measure runs a comparison and prints it with what the node spent on it.
func (c *overheadCommand) measure(ctx context.Context, node *cluster.Node, out io.Writer, name string, run func() Comparison) (Comparison, error) {
	before, err := node.Usage(ctx)
	if err != nil {
		return Comparison{}, err
	}
	comparison := run()
	after, err := node.Usage(ctx)
	if err != nil {
		return Comparison{}, err
	}
	calls := comparison.Through.Latencies.TotalCount()
	fmt.Fprintf(out, "%s: %d calls on each way in %.1f s, start delay p99 %s\n", name, calls, comparison.Duration.Seconds(), comparison.Lateness99.Round(time.Microsecond))
	for _, quantile := range []float64{50, 90, 99, 99.9} {
		fmt.Fprintf(out, "  p%-5g direct %8s  through %8s  added %8s\n", quantile,
			rounded(comparison.Direct.Quantile(quantile)), rounded(comparison.Through.Quantile(quantile)), rounded(comparison.Added(quantile)))
	}
	processor := after.CPUTime - before.CPUTime
	fmt.Fprintf(out, "  node: %s of processor time a call, %.0f calls/s per core, %.0f bytes allocated a call\n",
		rounded(processor/time.Duration(max(calls, 1))), float64(calls)/processor.Seconds(), (after.Allocated-before.Allocated)/float64(max(calls, 1)))
	if failures := comparison.Direct.Failures + comparison.Through.Failures; failures > 0 {
		return comparison, fmt.Errorf("%d calls failed (see %s)", failures, filepath.Join(c.directory, "*.log"))
	}
	return comparison, nil
}

func rounded(duration time.Duration) time.Duration { return duration.Round(time.Microsecond) }
