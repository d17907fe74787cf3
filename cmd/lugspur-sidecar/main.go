// Command lugspur-sidecar runs a node of the overload control layer beside a
// target on the platform, validates its settings, and explains its logs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	_ "github.com/lugspur/lugspur/internal/earlyhangup"
	"github.com/lugspur/lugspur/internal/sidecarcommand"
)

func main() {
	// The handlers stay registered until the exit: a signal that arrives before it would otherwise end
	// the process with the signal's status.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	os.Exit(sidecarcommand.Execute(ctx, os.Args[1:], sidecarcommand.Streams{Input: os.Stdin, Output: os.Stdout, Errors: os.Stderr}))
}
