package load

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/lab/mesh"
)

// Commands returns the lab commands of this package.
func Commands() []subcommands.Command { return []subcommands.Command{&loadCommand{}} }

type loadCommand struct {
	meshFile        string
	edges           mesh.ZoneAddresses
	rate            float64
	duration        time.Duration
	seed            uint64
	historyFile     string
	attempts        int
	clientLatency   bool
	requireComplete bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "send open-loop load to a mesh and check every answer" }
func (*loadCommand) Usage() string {
	return `load -mesh FILE -edge ZONE=ADDRESS,... -rate N -duration D [flags]: send open-loop load.

Prints a table by kind. Exits with 1 if the run is invalid or, with
-require-complete, if a call wasn't answered completely.

Example:
  lugspur-lab load -mesh examples/naidu/mesh.toml -edge nadi=127.0.0.1:7100 -rate 200 -duration 10s -seed 1

`
}

// SetFlags defines the command's flags.
func (c *loadCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.meshFile, "mesh", "", "mesh `file`")
	flags.Var(&c.edges, "edge", "`zone=address` of an edge listener, separated by commas; may be repeated")
	flags.Float64Var(&c.rate, "rate", 100, "calls per `second`")
	flags.DurationVar(&c.duration, "duration", 10*time.Second, "`length` of the run")
	flags.Uint64Var(&c.seed, "seed", 1, "`seed` of arrivals")
	flags.StringVar(&c.historyFile, "out", "", "`file` to which the calls are written, as JSON lines")
	flags.IntVar(&c.attempts, "attempts", 1, "maximum `attempts` of a client for each call; retries follow without a delay, also after refusals")
	flags.BoolVar(&c.clientLatency, "client-latency", false, "emulate the latency between zones and clients that the mesh file sets")
	flags.BoolVar(&c.requireComplete, "require-complete", false, "fail unless every call was answered completely")
}

// Execute runs the load.
func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	loaded, err := mesh.Load(c.meshFile)
	if err != nil {
		logrus.WithError(err).Error("load mesh file")
		return subcommands.ExitUsageError
	}
	result, err := c.run(ctx, loaded)
	if err != nil {
		logrus.WithError(err).Error("run load")
		return subcommands.ExitFailure
	}
	if err := result.WriteTable(os.Stdout); err != nil {
		logrus.WithError(err).Error("print result")
		return subcommands.ExitFailure
	}
	return c.status(result)
}

func (c *loadCommand) run(ctx context.Context, loaded *mesh.Mesh) (*Result, error) {
	plan := Plan{
		Mesh:                 loaded,
		Edges:                c.edges,
		Rate:                 c.rate,
		Phases:               []Phase{{Name: "steady", Duration: c.duration, Multiplier: 1}},
		Seed:                 c.seed,
		Retry:                ImmediateRetry(c.attempts),
		EmulateClientLatency: c.clientLatency,
	}
	if c.historyFile == "" {
		return Run(ctx, plan)
	}
	file, err := os.Create(c.historyFile)
	if err != nil {
		return nil, err
	}
	plan.History = io.Writer(file)
	result, err := Run(ctx, plan)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		return nil, closeErr
	}
	return result, err
}

func (c *loadCommand) status(result *Result) subcommands.ExitStatus {
	if result.Invalid != "" || (c.requireComplete && !result.AllComplete()) {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
