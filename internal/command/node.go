package command

import (
	"context"
	"errors"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/lugspur/lugspur/internal/settings"
)

// node is the verb that runs a node. The main package registers it, so that the
// operator's verbs do not depend on the node.
type node struct {
	run       func(ctx context.Context, settings settings.Node) error
	path      string
	overrides settings.Overrides
}

// Node returns the verb "node", which loads the settings and calls run with them.
// run must return once its context is cancelled.
func Node(run func(ctx context.Context, settings settings.Node) error) subcommands.Command {
	return &node{run: run}
}

// Name returns the verb's name.
func (n *node) Name() string { return "node" }

// Synopsis returns a one-line description of the verb.
func (n *node) Synopsis() string { return "run a node until it is stopped" }

// Usage returns the verb's usage, with an example.
func (n *node) Usage() string {
	return "node [-f FILE] [flags of settings]\n  Run a node until SIGTERM or SIGINT; calls in flight are completed first.\n\n" +
		"Example:\n  lugspur node -f zone-a.toml -name node-a1 -listen-edge 10.1.0.1:7400\n\nFlags:\n"
}

// SetFlags adds a flag for every setting.
func (n *node) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&n.path, "f", "", "settings `FILE`")
	n.overrides.Register(flags)
}

// Execute loads the settings and runs the node.
func (n *node) Execute(ctx context.Context, flags *flag.FlagSet, arguments ...any) subcommands.ExitStatus {
	program := programFrom(arguments)
	if flags.NArg() != 0 {
		program.printError(usageErrorf("node takes no arguments: give the file with -f"))
		return ExitUsage
	}
	node, err := settings.Load(n.path, n.overrides)
	if err == nil {
		err = n.run(ctx, node)
	}
	if err == nil || errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return ExitOK
	}
	program.printError(err)
	return subcommands.ExitStatus(exitCode(err))
}

// programFrom returns the program among the arguments of Execute.
func programFrom(arguments []any) *Program {
	for _, argument := range arguments {
		if program, ok := argument.(*Program); ok {
			return program
		}
	}
	program := NewProgram()
	program.connection = newConnection(os.Getenv)
	return program
}
