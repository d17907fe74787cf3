package command

import (
	"context"

	"github.com/google/subcommands"
)

func newHistory(program *Program) subcommands.Command {
	return &verb{
		program:  program,
		name:     "history",
		synopsis: "show the last changes of an object, also of a deleted one",
		usage:    "KIND NAME",
		example:  "lugspur history policy ventctl",
		connects: true,
		run:      func(ctx context.Context, arguments []string) error { return history(ctx, program, arguments) },
	}
}

func history(ctx context.Context, program *Program, arguments []string) error {
	id, err := parseID(arguments)
	if err != nil {
		return err
	}
	client, err := program.connection.client()
	if err != nil {
		return err
	}
	document, err := client.History(ctx, id)
	if err != nil {
		return err
	}
	return printResult(program, document, func(t *table) {
		t.row("REVISION", "REPLACES", "AT", "BY", "CHANGE", "DELETED")
		for _, change := range document.Changes {
			t.row(change.Revision, change.Replaces, timeText(change.At), change.Author, change.ID, change.Deleted)
		}
	})
}
