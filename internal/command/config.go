package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/lugspur/lugspur/internal/settings"
)

func newConfig(program *Program) subcommands.Command {
	return &group{
		program:  program,
		name:     "config",
		synopsis: "check a node's settings, without starting it",
		verbs:    []subcommands.Command{newConfigCheck(program)},
	}
}

// SettingsCheck is the result of a check of settings.
type SettingsCheck struct {
	File  string `json:"file,omitempty"`
	Node  string `json:"node"`
	Zone  string `json:"zone"`
	Valid bool   `json:"valid"`
}

type configCheck struct {
	program   *Program
	path      string
	overrides settings.Overrides
}

func newConfigCheck(program *Program) subcommands.Command {
	c := &configCheck{program: program}
	return &verb{
		program:  program,
		name:     "check",
		synopsis: "check a settings file, with flags overriding it as for the verb node",
		usage:    "-f FILE [flags of settings]",
		example:  "lugspur config check -f node.toml -name node-a1",
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&c.path, "f", "", "settings `FILE`")
			c.overrides.Register(flags)
		},
		run: c.run,
	}
}

func (c *configCheck) run(_ context.Context, arguments []string) error {
	if len(arguments) != 0 {
		return usageErrorf("config check takes no arguments: give the file with -f")
	}
	node, err := settings.Load(c.path, c.overrides)
	if err != nil {
		return err
	}
	check := SettingsCheck{File: c.path, Node: node.Name, Zone: node.Zone, Valid: true}
	return printResult(c.program, check, func(t *table) {
		t.row("NODE", "ZONE", "RESULT", "FILE")
		t.row(check.Node, check.Zone, "valid", check.File)
	})
}
