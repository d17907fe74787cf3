package command

import (
	"context"
	"time"

	"github.com/google/subcommands"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/resource"
)

func newGet(program *Program) subcommands.Command {
	return &verb{
		program:  program,
		name:     "get",
		synopsis: "show the objects of a kind, or one of them",
		usage:    "KIND [NAME]",
		example:  "lugspur get -output json target houseview-1",
		connects: true,
		run:      func(ctx context.Context, arguments []string) error { return get(ctx, program, arguments) },
	}
}

func get(ctx context.Context, program *Program, arguments []string) error {
	client, err := program.connection.client()
	if err != nil {
		return err
	}
	if len(arguments) == 1 {
		kind, err := parseKind(arguments[0])
		if err != nil {
			return err
		}
		list, err := client.List(ctx, kind)
		if err != nil {
			return err
		}
		return printResult(program, list, func(t *table) { objectRows(t, list.Items) })
	}
	id, err := parseID(arguments)
	if err != nil {
		return err
	}
	object, err := client.Get(ctx, id)
	if err != nil {
		return err
	}
	return printResult(program, object, func(t *table) { objectRows(t, []admin.Object{object}) })
}

func objectRows(t *table, objects []admin.Object) {
	t.row("NAME", "REVISION", "CHANGED", "BY", "SPEC")
	for _, object := range objects {
		change := resource.Change{}
		if object.LastChange != nil {
			change = *object.LastChange
		}
		t.row(object.Name, object.Revision, timeText(change.At), change.Author, string(object.Spec))
	}
}

func timeText(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.UTC().Format(time.RFC3339)
}
