// Command lugspur-lab is the test environment of lugspur: emulators of the systems
// around it, fault injection, load generation, experiments and reports. It is not
// part of the product.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/lugspur/lugspur/lab/chaos"
	"github.com/lugspur/lugspur/lab/demo"
	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/experiment"
	"github.com/lugspur/lugspur/lab/faultproxy"
	"github.com/lugspur/lugspur/lab/judge"
	"github.com/lugspur/lugspur/lab/kvstore"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/machinelist"
	"github.com/lugspur/lugspur/lab/overhead"
	"github.com/lugspur/lugspur/lab/replay"
	"github.com/lugspur/lugspur/lab/report"
	"github.com/lugspur/lugspur/lab/soak"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "lugspur-lab")
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	for _, commands := range [][]subcommands.Command{
		chaos.Commands(),
		demo.Commands(),
		emulator.Commands(),
		experiment.Commands(),
		faultproxy.Commands(),
		judge.Commands(),
		kvstore.Commands(),
		load.Commands(),
		machinelist.Commands(),
		overhead.Commands(),
		replay.Commands(),
		report.Commands(),
		soak.Commands(),
	} {
		for _, command := range commands {
			commander.Register(command, "")
		}
	}
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
