package sidecarcommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/lugspur/lugspur/internal/explain"
)

// explainCommand prints the timeline of a request from log files.
type explainCommand struct {
	streams Streams
	request string
}

// Name returns the command's name.
func (*explainCommand) Name() string { return "explain" }

// Synopsis returns the command's purpose in one line.
func (*explainCommand) Synopsis() string {
	return "print the timeline of a request from the logs of nodes"
}

// Usage returns the command's usage, with an example.
func (*explainCommand) Usage() string {
	return "explain -request ID [FILE ...]\n  Read the log lines of all nodes from files or standard input and print, ordered by time, those\n" +
		"  of the request and of the calls that it made, and state changes at the nodes involved.\n\n" +
		"Example:\n  lugspur-sidecar explain -request 9c41d07be2a35f68 node-*.log\n\nFlags:\n"
}

// SetFlags adds the command's flags.
func (e *explainCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&e.request, "request", "", "`ID` of the request")
}

// Execute prints the timeline.
func (e *explainCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e.request == "" {
		return e.streams.usageError("explain requires the id of a request (-request)")
	}
	timeline := explain.NewTimeline(e.request)
	if flags.NArg() == 0 {
		if err := timeline.Read(e.streams.Input); err != nil {
			return e.streams.fail(err)
		}
	}
	for _, path := range flags.Args() {
		if err := readFile(timeline, path); err != nil {
			return e.streams.fail(err)
		}
	}
	if err := timeline.Print(e.streams.Output); err != nil {
		return e.streams.fail(err)
	}
	return ExitOK
}

func readFile(timeline *explain.Timeline, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := timeline.Read(io.Reader(file)); err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	return nil
}
