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

// Commands returns the lab's commands of this package.
func Commands() []subcommands.Command {
	return []subcommands.Command{&replayCommand{}, &recordCommand{}}
}

// exitNotPlayed is the exit status when a trace could not be played.
const exitNotPlayed subcommands.ExitStatus = 3

type replayCommand struct{ all bool }

func (*replayCommand) Name() string { return "replay" }
func (*replayCommand) Synopsis() string {
	return "play recorded traces against their stated outcomes"
}
func (*replayCommand) Usage() string {
	return `replay [-all] FILE...: play recorded traces in virtual time and compare with the outcomes that they state.

Traces in which a call waits in a queue are played by the tests of lab/replay alone; they are told here as not played.
Exits with 0 if all outcomes were met, 1 if one was not, 2 if a file can't be read, 3 if a trace could not be played.

Example:
  lugspur-lab replay -all lab/replay/testdata/retry-budget.jsonl

`
}

// SetFlags defines the command's flags.
func (c *replayCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.all, "all", false, "print the outcomes that were met too")
}

// Execute plays the files.
func (c *replayCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 {
		logrus.Error("replay needs the file of a trace")
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, path := range flags.Args() {
		found := c.playFile(path)
		if status == subcommands.ExitSuccess || found == subcommands.ExitFailure {
			status = found
		}
	}
	return status
}

func (c *replayCommand) playFile(path string) subcommands.ExitStatus {
	trace, err := ReadFile(path)
	if err != nil {
		logrus.WithError(err).WithField("file", path).Error("read trace")
		return subcommands.ExitUsageError
	}
	report, err := Play(trace)
	switch {
	case errors.Is(err, ErrQueues):
		fmt.Printf("%s: not played: %v\n", trace.Header.Trace, err)
		return exitNotPlayed
	case err != nil:
		logrus.WithError(err).WithField("file", path).Error("play trace")
		return exitNotPlayed
	}
	if err := report.WriteText(os.Stdout, c.all); err != nil {
		logrus.WithError(err).Error("print report")
		return subcommands.ExitFailure
	}
	if !report.Holds() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
