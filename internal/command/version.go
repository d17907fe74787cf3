package command

import (
	"context"

	"github.com/google/subcommands"

	"github.com/lugspur/lugspur/internal/version"
)

func newVersion(program *Program) subcommands.Command {
	return &verb{
		program:  program,
		name:     "version",
		synopsis: "show the program's version",
		example:  "lugspur version -output json",
		run: func(context.Context, []string) error {
			build := version.Current()
			return printResult(program, build, func(t *table) {
				t.row("VERSION", "COMMIT", "MODIFIED", "GO")
				t.row(build.Version, build.Commit, build.Modified, build.Go)
			})
		},
	}
}
