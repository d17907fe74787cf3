// Command lugspur-sidecar runs a node of the overload control layer beside a
// target on the platform, validates its settings, and explains its logs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/lugspur/lugspur/internal/sidecarcommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := sidecarcommand.Execute(ctx, os.Args[1:], sidecarcommand.Streams{Input: os.Stdin, Output: os.Stdout, Errors: os.Stderr})
	stop()
	os.Exit(code)
}
