package replay

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"
)

// Commands returns the commands of this package.
func Commands() []subcommands.Command {
	return []subcommands.Command{&replayCommand{}, &recordTraceCommand{}}
}

// exitNotPlayed is the exit status if a trace could not be played.
const exitNotPlayed subcommands.ExitStatus = 3

type replayCommand struct{ printAll bool }

func (*replayCommand) Name() string { return "replay" }
func (*replayCommand) Synopsis() string {
	return "play recorded traces and compare the results with the expected outcomes"
}
func (*replayCommand) Usage() string {
	return `replay [-all] FILE...: play recorded traces in virtual time and compare the results with the expected outcomes.

Traces in which a call waits in a queue can only be played by the tests of lab/replay; they are reported as not played.
Exits with 0 if all outcomes are as expected, 1 if one is not, 2 if a file can't be read, 3 if a trace could not be played.

Example:
  lugspur-lab replay -all lab/replay/testdata/retry-budget.jsonl

`
}

// SetFlags defines the command's flags.
func (c *replayCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.printAll, "all", false, "also print the outcomes that are as expected")
}

// Execute plays the trace files.
func (c *replayCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 {
		logrus.Error("replay needs at least one trace file")
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, path := range flags.Args() {
		fileStatus := c.playFile(path)
		if status == subcommands.ExitSuccess || fileStatus == subcommands.ExitFailure {
			status = fileStatus
		}
	}
	return status
}

func (c *replayCommand) playFile(path string) subcommands.ExitStatus {
	trace, err := ReadFile(path)
	if err != nil {
		logrus.WithError(err).WithField("file", path).Error("failed to read the trace")
		return subcommands.ExitUsageError
	}
	report, err := Play(trace)
	switch {
	case errors.Is(err, ErrCallQueued):
		fmt.Printf("%s: not played: %v\n", trace.Header.Name, err)
		return exitNotPlayed
	case err != nil:
		logrus.WithError(err).WithField("file", path).Error("failed to play the trace")
		return exitNotPlayed
	}
	if err := report.WriteText(os.Stdout, c.printAll); err != nil {
		logrus.WithError(err).Error("failed to print the report")
		return subcommands.ExitFailure
	}
	if !report.Passed() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
