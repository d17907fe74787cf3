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

// explainVerb is the verb that tells the story of a request from log files.
type explainVerb struct {
	streams Streams
	request string
}

// Name returns the verb's name.
func (*explainVerb) Name() string { return "explain" }

// Synopsis returns the verb's purpose in one line.
func (*explainVerb) Synopsis() string { return "tell the story of a request from nodes' logs" }

// Usage returns the verb's usage, with an example.
func (*explainVerb) Usage() string {
	return "explain -request ID [FILE ...]\n  Read the log lines of all nodes, from files or standard input, and print those that touch the\n" +
		"  request, the calls that it made and the homes it was offered to, in order of time.\n\n" +
		"Example:\n  lugspur-sidecar explain -request 9c41d07be2a35f68 node-*.log\n\nFlags:\n"
}

// SetFlags adds the verb's flags.
func (e *explainVerb) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&e.request, "request", "", "`ID` of the request")
}

// Execute prints the story.
func (e *explainVerb) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e.request == "" {
		return e.streams.misused("explain takes a request's id with -request")
	}
	story := explain.NewStory(e.request)
	if flags.NArg() == 0 {
		if err := story.Read(e.streams.Input); err != nil {
			return e.streams.fail(err)
		}
	}
	for _, path := range flags.Args() {
		if err := readFile(story, path); err != nil {
			return e.streams.fail(err)
		}
	}
	if err := story.Print(e.streams.Output); err != nil {
		return e.streams.fail(err)
	}
	return ExitOK
}

func readFile(story *explain.Story, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := story.Read(io.Reader(file)); err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	return nil
}
