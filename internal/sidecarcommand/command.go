// Package sidecarcommand implements the command line of lugspur-sidecar.
package sidecarcommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/lugspur/lugspur/internal/sidecar"
	"github.com/lugspur/lugspur/internal/version"
)

// Exit codes.
const (
	ExitOK = iota
	// ExitFailure: the command failed.
	ExitFailure
	// ExitUsage: the command line is invalid.
	ExitUsage
)

// Streams are the standard streams of a command.
type Streams struct {
	Input          io.Reader
	Output, Errors io.Writer
}

// Execute runs the subcommand named by the arguments and returns the exit code.
func Execute(ctx context.Context, arguments []string, streams Streams) int {
	flags := flag.NewFlagSet("lugspur-sidecar", flag.ContinueOnError)
	flags.SetOutput(streams.Errors)
	commander := subcommands.NewCommander(flags, "lugspur-sidecar")
	commander.Output = streams.Output
	commander.Error = streams.Errors
	for _, command := range []subcommands.Command{
		&runCommand{streams: streams}, &checkCommand{streams: streams}, &explainCommand{streams: streams}, &quarantineCommand{streams: streams}, &versionCommand{streams: streams}, commander.HelpCommand(),
	} {
		commander.Register(command, "")
	}
	if err := flags.Parse(arguments); err != nil {
		return ExitUsage
	}
	return int(commander.Execute(ctx))
}

// fail prints an error and returns ExitFailure.
func (s Streams) fail(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(s.Errors, "lugspur-sidecar: %v\n", err)
	return ExitFailure
}

// usageError prints a message about an invalid command line and returns ExitUsage.
func (s Streams) usageError(message string) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(s.Errors, "lugspur-sidecar: %s\n", message)
	return ExitUsage
}

// runCommand runs a node.
type runCommand struct {
	streams Streams
	path    string
}

// Name returns the command's name.
func (*runCommand) Name() string { return "run" }

// Synopsis returns the command's purpose in one line.
func (*runCommand) Synopsis() string { return "run the sidecar node of a target until it is stopped" }

// Usage returns the command's usage, with an example.
func (*runCommand) Usage() string {
	return "run -f FILE\n  Run a node until SIGTERM; it finishes its requests before it exits. SIGHUP reloads the settings; new policies take effect at once.\n" +
		"  Logs are written to standard output as JSON lines.\n\nExample:\n  lugspur-sidecar run -f node.toml\n\nFlags:\n"
}

// SetFlags adds the command's flags.
func (r *runCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&r.path, "f", "", "settings `FILE`")
}

// Execute runs the node.
func (r *runCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 0 || r.path == "" {
		return r.streams.usageError("run requires a settings file (-f) and takes no arguments")
	}
	// Without this, the first log line after its reader has gone would end the process.
	signal.Ignore(syscall.SIGPIPE)
	watch := sidecar.WatchSettings(r.path)
	settings, err := sidecar.AwaitSettings(ctx, r.path, r.streams.Output)
	if ctx.Err() != nil {
		return ExitOK
	}
	if err != nil {
		return r.streams.fail(err)
	}
	node, err := sidecar.New(settings, r.streams.Output)
	if err != nil {
		return r.streams.fail(err)
	}
	if err := node.Run(ctx, watch); err != nil {
		return r.streams.fail(err)
	}
	return ExitOK
}

// checkCommand checks a settings file.
type checkCommand struct {
	streams Streams
	path    string
}

// Name returns the command's name.
func (*checkCommand) Name() string { return "check" }

// Synopsis returns the command's purpose in one line.
func (*checkCommand) Synopsis() string { return "check a settings file" }

// Usage returns the command's usage, with an example.
func (*checkCommand) Usage() string {
	return "check -f FILE\n  Read the settings as a node would and report every error.\n\nExample:\n  lugspur-sidecar check -f node.toml\n\nFlags:\n"
}

// SetFlags adds the command's flags.
func (c *checkCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.path, "f", "", "settings `FILE`")
}

// Execute checks the settings.
func (c *checkCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 0 || c.path == "" {
		return c.streams.usageError("check requires a settings file (-f) and takes no arguments")
	}
	settings, err := sidecar.Load(c.path)
	if err != nil {
		return c.streams.fail(err)
	}
	_, _ = fmt.Fprintf(c.streams.Output, "the settings of %s are valid\n", settings.Name)
	return ExitOK
}

// versionCommand prints the build version.
type versionCommand struct {
	streams Streams
}

// Name returns the command's name.
func (*versionCommand) Name() string { return "version" }

// Synopsis returns the command's purpose in one line.
func (*versionCommand) Synopsis() string {
	return "print the version, commit and Go version of the build"
}

// Usage returns the command's usage, with an example.
func (*versionCommand) Usage() string { return "version\n\nExample:\n  lugspur-sidecar version\n" }

// SetFlags adds no flags.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the build version.
func (v *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	build := version.Current()
	_, _ = fmt.Fprintf(v.streams.Output, "%s %s %s\n", build.Version, build.Commit, build.Go)
	return ExitOK
}
