// Package earlyhangup keeps SIGHUP from ending a program before its main function runs. Programs
// import it for that effect. It imports little, so that it is initialized before most packages.
package earlyhangup

import (
	"os"
	"os/signal"
	"syscall"
)

// The channel is never read: the program reads its settings after main has begun.
func init() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }
