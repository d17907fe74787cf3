package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// sidecar is the verb that runs a node beside a target on the platform. It is
// registered by the program, so that the operator's verbs do not depend on it.
type sidecar struct {
	run  func(ctx context.Context, path string) error
	path string
}

// Sidecar returns the verb "sidecar", which calls run with the path of the
// settings. Run ends when its context does.
func Sidecar(run func(ctx context.Context, path string) error) subcommands.Command {
	return &sidecar{run: run}
}

// Name returns the verb's name.
func (s *sidecar) Name() string { return "sidecar" }

// Synopsis returns the verb's purpose in one line.
func (s *sidecar) Synopsis() string { return "run a node beside a target on the platform" }

// Usage returns the verb's usage, with an example.
func (s *sidecar) Usage() string {
	return "sidecar -f FILE\n  Run a node beside one target until SIGTERM; it finishes its requests first.\n  SIGHUP checks the settings again.\n\n" +
		"Example:\n  lugspur sidecar -f /etc/lugspur/node.toml\n\nFlags:\n"
}

// SetFlags adds the verb's flags.
func (s *sidecar) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&s.path, "f", "", "settings `FILE`")
}

// Execute runs the node.
func (s *sidecar) Execute(ctx context.Context, flags *flag.FlagSet, arguments ...any) subcommands.ExitStatus {
	program := programOf(arguments)
	if flags.NArg() != 0 || s.path == "" {
		program.printError(usageErrorf("sidecar takes a settings file with -f and no arguments"))
		return ExitUsage
	}
	if err := s.run(ctx, s.path); err != nil {
		program.printError(err)
		return subcommands.ExitStatus(exitCode(err))
	}
	return ExitOK
}
