// Command lugspur is the overload control layer for service call graphs. It runs
// a node and provides the operator's commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/internal/command"
	"github.com/lugspur/lugspur/internal/node"
	"github.com/lugspur/lugspur/internal/settings"
)

func main() {
	// The handlers stay registered until the exit: a signal that arrives before it would otherwise end
	// the process with the signal's status.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	os.Exit(command.Execute(ctx, command.NewProgram(), os.Args[1:], command.Node(runNode)))
}

// runNode runs a node that logs JSON lines to standard error. SIGHUP stops it as SIGTERM does,
// unless it is ignored: by default it would end the process with the calls in flight.
func runNode(ctx context.Context, nodeSettings settings.Node) error {
	if !signal.Ignored(syscall.SIGHUP) {
		ctx, _ = signal.NotifyContext(ctx, syscall.SIGHUP)
	}
	level, err := logrus.ParseLevel(nodeSettings.Log.Level)
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{})
	return node.Run(ctx, nodeSettings, logrus.NewEntry(log))
}
