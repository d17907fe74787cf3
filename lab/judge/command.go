package judge

import (
	"context"
	"errors"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/mesh"
)

// Commands returns the commands that this package adds to lugspur-lab.
func Commands() []subcommands.Command { return []subcommands.Command{&judgeCommand{}} }

type judgeCommand struct {
	meshFile, history, records, events string
	settings                           Settings
}

func (*judgeCommand) Name() string { return "judge" }
func (*judgeCommand) Synopsis() string {
	return "check the recorded files of a run for violated guarantees"
}
func (*judgeCommand) Usage() string {
	return `judge -mesh FILE -history FILE -records FILE -events FILE: check a recorded run for violated guarantees.

Any of the three recordings may be omitted; guarantees that depend on it are then not checked.
Exits with 1 if a guarantee was violated.

Example:
  lugspur-lab judge -mesh examples/naidu/mesh.toml -history out/history.jsonl -records out/records.jsonl -events out/events.jsonl

`
}

// SetFlags defines the command's flags.
func (c *judgeCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.meshFile, "mesh", "", "mesh `file`")
	flags.StringVar(&c.history, "history", "", "`file` of calls as seen by their callers, as JSON lines")
	flags.StringVar(&c.records, "records", "", "`file` of executions at targets, as JSON lines")
	flags.StringVar(&c.events, "events", "", "`file` of events, as JSON lines")
	c.settings = DefaultSettings()
	c.settings.Register(flags)
}

// Register adds the flags of the thresholds.
func (s *Settings) Register(flags *flag.FlagSet) {
	flags.IntVar(&s.RetryBound, "retry-bound", s.RetryBound, "maximum `number` of retries of one request")
	flags.DurationVar(&s.InversionTolerance, "inversion-tolerance", s.InversionTolerance, "`time` within which two calls count as simultaneous")
	flags.DurationVar(&s.DrainAllowance, "drain-allowance", s.DrainAllowance, "`time` after the acceptance of a drain in which its target may get new work")
	flags.DurationVar(&s.ConfigurationAllowance, "configuration-allowance", s.ConfigurationAllowance, "`time` within which an accepted change must take effect")
}

// Execute checks the recorded files.
func (c *judgeCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	input, err := c.read()
	if err != nil {
		logrus.WithError(err).Error("reading the recordings failed")
		return subcommands.ExitUsageError
	}
	report := Judge(input)
	if err := report.WriteText(os.Stdout); err != nil {
		logrus.WithError(err).Error("printing the report failed")
		return subcommands.ExitFailure
	}
	if !report.Clean() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *judgeCommand) read() (Input, error) {
	input := Input{Settings: c.settings}
	var errs [4]error
	input.Mesh, errs[0] = mesh.Load(c.meshFile)
	input.Calls, errs[1] = readIfGiven[Call](c.history)
	input.Records, errs[2] = readIfGiven[emulator.Record](c.records)
	input.Events, errs[3] = readIfGiven[Event](c.events)
	return input, errors.Join(errs[:]...)
}

func readIfGiven[T any](path string) ([]T, error) {
	if path == "" {
		return nil, nil
	}
	return ReadLines[T](path)
}
