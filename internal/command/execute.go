package command

import (
	"context"
	"flag"
	"io"
	"os"
	"slices"

	"github.com/google/subcommands"
)

// Program holds the streams and the environment that the verbs use.
type Program struct {
	Output      io.Writer
	ErrorOutput io.Writer
	// Getenv reads the environment.
	Getenv func(string) string

	connection *connection
}

// NewProgram returns a program on the process's streams and environment.
func NewProgram() *Program {
	return &Program{Output: os.Stdout, ErrorOutput: os.Stderr, Getenv: os.Getenv}
}

// Execute runs the verb named by the arguments, either one of the operator's verbs
// or an additional one, and returns the exit code. The arguments are those of the
// process without the program name.
func Execute(ctx context.Context, program *Program, arguments []string, additional ...subcommands.Command) int {
	program.connection = newConnection(program.Getenv)
	flags := flag.NewFlagSet("lugspur", flag.ContinueOnError)
	flags.SetOutput(program.ErrorOutput)
	program.connection.register(flags)
	commander := newCommander(flags, "lugspur", program)
	for _, verb := range verbs(program) {
		commander.Register(verb, "")
	}
	for _, verb := range additional {
		commander.Register(verb, "")
	}
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	if err := flags.Parse(arguments); err != nil {
		return usageExit(arguments)
	}
	code := int(commander.Execute(ctx, program))
	if code == ExitUsage {
		return usageExit(arguments)
	}
	return code
}

func newCommander(flags *flag.FlagSet, name string, program *Program) *subcommands.Commander {
	commander := subcommands.NewCommander(flags, name)
	commander.Output = program.Output
	commander.Error = program.ErrorOutput
	return commander
}

// usageExit returns the exit code after a usage text: ExitOK if help was requested.
func usageExit(arguments []string) int {
	for _, help := range []string{"-h", "--h", "-help", "--help"} {
		if slices.Contains(arguments, help) {
			return ExitOK
		}
	}
	return ExitUsage
}

func verbs(program *Program) []subcommands.Command {
	return []subcommands.Command{
		newApply(program),
		newGet(program),
		newDelete(program),
		newHistory(program),
		newDrain(program),
		newJoin(program),
		newStatus(program),
		newPolicy(program),
		newConfig(program),
		newVersion(program),
	}
}
