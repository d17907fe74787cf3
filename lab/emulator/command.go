package emulator

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/lab/mesh"
)

// Commands returns the lab commands of this package.
func Commands() []subcommands.Command { return []subcommands.Command{&targetsCommand{}} }

type targetsCommand struct {
	meshFile      string
	meshAddresses mesh.ZoneAddresses
	control       string
	recordsFile   string
	seed          uint64
	attempts      int
}

func (*targetsCommand) Name() string     { return "targets" }
func (*targetsCommand) Synopsis() string { return "run emulated targets for a mesh file" }
func (*targetsCommand) Usage() string {
	return `targets -mesh FILE [flags]: run emulated targets for a mesh file.

Prints one JSON line with the addresses, then runs until it is interrupted.

Example:
  lugspur-lab targets -mesh examples/naidu/mesh.toml -mesh-address nadi=127.0.0.1:7200 -control 127.0.0.1:0

`
}

// SetFlags defines the command's flags.
func (c *targetsCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.meshFile, "mesh", "", "mesh `file`")
	flags.Var(&c.meshAddresses, "mesh-address", "`zone=address` of a mesh listener, separated by commas; may be repeated")
	flags.StringVar(&c.control, "control", "127.0.0.1:0", "`address` of the control listener")
	flags.StringVar(&c.recordsFile, "records", "", "`file` to which finished executions are written, as JSON lines")
	flags.Uint64Var(&c.seed, "seed", 1, "`seed` of service times and faults")
	flags.IntVar(&c.attempts, "downstream-attempts", 1, "maximum `attempts` of a target for each of its downstream calls")
}

// startLine is the line that the command prints once its targets listen.
type startLine struct {
	Targets []TargetInfo `json:"targets"`
	Control string       `json:"control"`
}

// Execute runs the targets until an interrupt.
func (c *targetsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	loaded, err := mesh.Load(c.meshFile)
	if err != nil {
		logrus.WithError(err).Error("load mesh file")
		return subcommands.ExitUsageError
	}
	records, closeRecords, err := openRecords(c.recordsFile)
	if err != nil {
		logrus.WithError(err).Error("open records file")
		return subcommands.ExitFailure
	}
	defer closeRecords()
	started, err := Start(Config{
		Mesh:               loaded,
		MeshAddresses:      c.meshAddresses.First(),
		ControlAddress:     c.control,
		Records:            records,
		Seed:               c.seed,
		DownstreamAttempts: c.attempts,
	})
	if err != nil {
		logrus.WithError(err).Error("start targets")
		return subcommands.ExitFailure
	}
	return runUntilInterrupt(ctx, started)
}

func runUntilInterrupt(ctx context.Context, started *Emulator) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	line := startLine{Targets: started.Targets(), Control: started.ControlAddress()}
	if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
		logrus.WithError(err).Error("print addresses")
	}
	<-ctx.Done()
	if err := started.Close(); err != nil {
		logrus.WithError(err).Error("close targets")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func openRecords(path string) (io.Writer, func(), error) {
	if path == "" {
		return nil, func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	return file, func() { _ = file.Close() }, nil
}
