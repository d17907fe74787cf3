package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/store"
)

// noRevision is the default of -expected-revision.
const noRevision = -1

type remove struct {
	program  *Program
	expected int64
}

func newDelete(program *Program) subcommands.Command {
	d := &remove{program: program}
	return &verb{
		program:  program,
		name:     "delete",
		synopsis: "delete an object",
		usage:    "[-expected-revision N] KIND NAME",
		example:  "lugspur delete target houseview-1",
		connects: true,
		flags: func(flags *flag.FlagSet) {
			flags.Int64Var(&d.expected, "expected-revision", noRevision, "delete the object only at `REVISION`; default its current revision")
		},
		run: d.run,
	}
}

func (d *remove) run(ctx context.Context, arguments []string) error {
	id, err := parseID(arguments)
	if err != nil {
		return err
	}
	if d.expected != noRevision && d.expected < 1 {
		return usageErrorf("-expected-revision: allowed are whole numbers from 1")
	}
	client, err := d.program.connection.client()
	if err != nil {
		return err
	}
	expected := store.Revision(d.expected)
	if d.expected == noRevision {
		object, err := client.Get(ctx, id)
		if err != nil {
			return err
		}
		expected = object.Revision
	}
	answer, err := client.Delete(ctx, id, expected)
	if err != nil {
		return err
	}
	return printWrite(d.program, "deleted", answer)
}

// printWrite prints the result of a write; acceptedResult names an accepted one.
func printWrite(program *Program, acceptedResult string, answer admin.WriteResponse) error {
	return printResult(program, answer, func(t *table) {
		result := string(answer.Outcome)
		if answer.Outcome == admin.OutcomeAccepted {
			result = acceptedResult
		}
		t.row("OBJECT", "RESULT", "REVISION", "CHANGE")
		t.row(string(answer.Kind)+"/"+answer.Name, result, answer.Revision, answer.ChangeID)
		printSection(t, "Warnings", answer.Warnings)
	})
}
