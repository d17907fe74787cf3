// Package sidecarcommand is the command line of lugspur-sidecar.
package sidecarcommand

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"github.com/lugspur/lugspur/internal/sidecar"
	"github.com/lugspur/lugspur/internal/version"
)

// Exit codes.
const (
	ExitOK = iota
	// ExitFailure: the verb was understood and failed.
	ExitFailure
	// ExitUsage: the command line was not understood.
	ExitUsage
)

// Streams are what verbs read and write.
type Streams struct {
	Input          io.Reader
	Output, Errors io.Writer
}

// Execute runs the verb that the arguments name and returns the exit code.
func Execute(ctx context.Context, arguments []string, streams Streams) int {
	flags := flag.NewFlagSet("lugspur-sidecar", flag.ContinueOnError)
	flags.SetOutput(streams.Errors)
	commander := subcommands.NewCommander(flags, "lugspur-sidecar")
	commander.Output = streams.Output
	commander.Error = streams.Errors
	for _, verb := range []subcommands.Command{
		&run{streams: streams}, &check{streams: streams}, &explainVerb{streams: streams}, &quarantineVerb{streams: streams}, &versionVerb{streams: streams}, commander.HelpCommand(),
	} {
		commander.Register(verb, "")
	}
	if err := flags.Parse(arguments); err != nil {
		return ExitUsage
	}
	return int(commander.Execute(ctx))
}

// fail prints an error and returns the exit code of a failure.
func (s Streams) fail(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(s.Errors, "lugspur-sidecar: %v\n", err)
	return ExitFailure
}

func (s Streams) misused(what string) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(s.Errors, "lugspur-sidecar: %s\n", what)
	return ExitUsage
}

// run is the verb that runs a node.
type run struct {
	streams Streams
	path    string
}

// Name returns the verb's name.
func (*run) Name() string { return "run" }

// Synopsis returns the verb's purpose in one line.
func (*run) Synopsis() string { return "run a node beside a target until it is told to stop" }

// Usage returns the verb's usage, with an example.
func (*run) Usage() string {
	return "run -f FILE\n  Run a node until SIGTERM; it finishes its requests first. SIGHUP reads the settings again: policies are in force at once.\n" +
		"  Logs go to standard output as JSON lines.\n\nExample:\n  lugspur-sidecar run -f node.toml\n\nFlags:\n"
}

// SetFlags adds the verb's flags.
func (r *run) SetFlags(flags *flag.FlagSet) { flags.StringVar(&r.path, "f", "", "settings `FILE`") }

// Execute runs the node.
func (r *run) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 0 || r.path == "" {
		return r.streams.misused("run takes a settings file with -f and no arguments")
	}
	settings, err := sidecar.Load(r.path)
	if err != nil {
		return r.streams.fail(err)
	}
	node, err := sidecar.New(settings, r.streams.Output)
	if err != nil {
		return r.streams.fail(err)
	}
	go node.Reload(ctx, r.path)
	if err := node.Run(ctx); err != nil {
		return r.streams.fail(err)
	}
	return ExitOK
}

// check is the verb that checks settings.
type check struct {
	streams Streams
	path    string
}

// Name returns the verb's name.
func (*check) Name() string { return "check" }

// Synopsis returns the verb's purpose in one line.
func (*check) Synopsis() string { return "check a settings file" }

// Usage returns the verb's usage, with an example.
func (*check) Usage() string {
	return "check -f FILE\n  Read the settings as a node would and name every fault.\n\nExample:\n  lugspur-sidecar check -f node.toml\n\nFlags:\n"
}

// SetFlags adds the verb's flags.
func (c *check) SetFlags(flags *flag.FlagSet) { flags.StringVar(&c.path, "f", "", "settings `FILE`") }

// Execute checks the settings.
func (c *check) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 0 || c.path == "" {
		return c.streams.misused("check takes a settings file with -f and no arguments")
	}
	settings, err := sidecar.Load(c.path)
	if err != nil {
		return c.streams.fail(err)
	}
	_, _ = fmt.Fprintf(c.streams.Output, "the settings of %s are good\n", settings.Name)
	return ExitOK
}

// versionVerb is the verb that tells the build.
type versionVerb struct {
	streams Streams
}

// Name returns the verb's name.
func (*versionVerb) Name() string { return "version" }

// Synopsis returns the verb's purpose in one line.
func (*versionVerb) Synopsis() string { return "tell what the program was built from" }

// Usage returns the verb's usage, with an example.
func (*versionVerb) Usage() string { return "version\n\nExample:\n  lugspur-sidecar version\n" }

// SetFlags adds no flags.
func (*versionVerb) SetFlags(*flag.FlagSet) {}

// Execute tells the build.
func (v *versionVerb) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	build := version.Current()
	_, _ = fmt.Fprintf(v.streams.Output, "%s %s %s\n", build.Version, build.Commit, build.Go)
	return ExitOK
}
