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

// Commands returns the lab's commands of this package.
func Commands() []subcommands.Command { return []subcommands.Command{&judgeCommand{}} }

type judgeCommand struct {
	meshFile, history, records, events string
	settings                           Settings
}

func (*judgeCommand) Name() string { return "judge" }
func (*judgeCommand) Synopsis() string {
	return "find broken promises in the recorded files of a run"
}
func (*judgeCommand) Usage() string {
	return `judge -mesh FILE -history FILE -records FILE -events FILE: find broken promises in a recorded run.

Any of the three recordings may be left out; what it proves is then not judged.
Exits with 1 if a promise was broken.

Example:
  lugspur-lab judge -mesh examples/naidu/mesh.toml -history out/history.jsonl -records out/records.jsonl -events out/events.jsonl

`
}

// SetFlags defines the command's flags.
func (c *judgeCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.meshFile, "mesh", "", "mesh `file`")
	flags.StringVar(&c.history, "history", "", "`file` of calls as callers saw them, as JSON lines")
	flags.StringVar(&c.records, "records", "", "`file` of executions at targets, as JSON lines")
	flags.StringVar(&c.events, "events", "", "`file` of events, as JSON lines")
	c.settings = DefaultSettings()
	c.settings.Register(flags)
}

// Register adds the flags of the bounds.
func (s *Settings) Register(flags *flag.FlagSet) {
	flags.IntVar(&s.RetryBound, "retry-bound", s.RetryBound, "most retries of one request")
	flags.DurationVar(&s.InversionTolerance, "inversion-tolerance", s.InversionTolerance, "`time` within which two calls count as being in the same moment")
	flags.DurationVar(&s.DrainAllowance, "drain-allowance", s.DrainAllowance, "`time` after a drain's acceptance in which its target may get new work")
	flags.DurationVar(&s.ConfigurationAllowance, "configuration-allowance", s.ConfigurationAllowance, "`time` after which an accepted change must be in force")
}

// Execute judges the files.
func (c *judgeCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	input, err := c.read()
	if err != nil {
		logrus.WithError(err).Error("read recordings")
		return subcommands.ExitUsageError
	}
	report := Judge(input)
	if err := report.WriteText(os.Stdout); err != nil {
		logrus.WithError(err).Error("print report")
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
