package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// verb is one command of the operator's command line.
type verb struct {
	program  *Program
	name     string
	synopsis string
	// usage describes the arguments after the name.
	usage string
	// example is a complete command line.
	example string
	// connects means that the verb sends requests to nodes.
	connects bool
	flags    func(*flag.FlagSet)
	run      func(ctx context.Context, arguments []string) error
}

// Name returns the verb's name.
func (v *verb) Name() string { return v.name }

// Synopsis returns a one-line description of the verb.
func (v *verb) Synopsis() string { return v.synopsis }

// Usage returns the verb's usage, with an example.
func (v *verb) Usage() string {
	return fmt.Sprintf("%s %s\n  %s.\n\nExample:\n  %s\n\nFlags:\n", v.name, v.usage, v.synopsis, v.example)
}

// SetFlags adds the verb's flags.
func (v *verb) SetFlags(flags *flag.FlagSet) {
	flags.SetOutput(v.program.ErrorOutput)
	v.program.connection.registerOutput(flags)
	if v.connects {
		v.program.connection.registerNodes(flags)
	}
	if v.flags != nil {
		v.flags(flags)
	}
}

// Execute runs the verb and prints its error.
func (v *verb) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := v.run(ctx, flags.Args())
	if err == nil {
		return ExitOK
	}
	v.program.printError(err)
	return subcommands.ExitStatus(exitCode(err))
}

// group is a command with subcommands.
type group struct {
	program  *Program
	name     string
	synopsis string
	verbs    []subcommands.Command
}

// Name returns the group's name.
func (g *group) Name() string { return g.name }

// Synopsis returns a one-line description of the group.
func (g *group) Synopsis() string { return g.synopsis }

// Usage returns the group's usage.
func (g *group) Usage() string {
	usage := fmt.Sprintf("%s SUBCOMMAND\n  %s.\n\nSubcommands:\n", g.name, g.synopsis)
	for _, verb := range g.verbs {
		usage += fmt.Sprintf("  %-10s %s\n", verb.Name(), verb.Synopsis())
	}
	return usage
}

// SetFlags adds no flags: the subcommands have their own.
func (g *group) SetFlags(flags *flag.FlagSet) { flags.SetOutput(g.program.ErrorOutput) }

// Execute runs the subcommand named by the arguments.
func (g *group) Execute(ctx context.Context, flags *flag.FlagSet, arguments ...any) subcommands.ExitStatus {
	commander := newCommander(flags, "lugspur "+g.name, g.program)
	for _, verb := range g.verbs {
		commander.Register(verb, "")
	}
	return commander.Execute(ctx, arguments...)
}
