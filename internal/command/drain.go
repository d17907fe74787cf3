package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/lugspur/lugspur/internal/resource"
)

type drain struct {
	program   *Program
	reason    string
	emergency bool
}

func newDrain(program *Program) subcommands.Command {
	d := &drain{program: program}
	return &verb{
		program:  program,
		name:     "drain",
		synopsis: "drain a target or a machine: it gets no new calls",
		usage:    "[-reason TEXT] [-emergency] target|machine NAME",
		example:  "lugspur drain -reason 'moves to the new site' target houseview-1",
		connects: true,
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&d.reason, "reason", "", "`TEXT` stored with the drain")
			flags.BoolVar(&d.emergency, "emergency", false, "if the store can't accept the drain, spread it between the nodes for a limited time")
		},
		run: d.run,
	}
}

func (d *drain) run(ctx context.Context, arguments []string) error {
	subject, err := parseDrainSubject(arguments)
	if err != nil {
		return err
	}
	client, err := d.program.connection.client()
	if err != nil {
		return err
	}
	answer, err := client.Drain(ctx, subject, resource.Drain{Reason: d.reason}, d.emergency)
	if err != nil {
		return err
	}
	return printWrite(d.program, "draining", answer)
}

func newJoin(program *Program) subcommands.Command {
	return &verb{
		program:  program,
		name:     "join",
		synopsis: "remove the drain of a target or a machine",
		usage:    "target|machine NAME",
		example:  "lugspur join target houseview-1",
		connects: true,
		run:      func(ctx context.Context, arguments []string) error { return join(ctx, program, arguments) },
	}
}

func join(ctx context.Context, program *Program, arguments []string) error {
	subject, err := parseDrainSubject(arguments)
	if err != nil {
		return err
	}
	client, err := program.connection.client()
	if err != nil {
		return err
	}
	answer, err := client.Join(ctx, subject)
	if err != nil {
		return err
	}
	return printWrite(program, "joined", answer)
}
