package kvstore

import (
	"io"

	"github.com/google/subcommands"
)

// SetOutput makes the command print elsewhere.
func SetOutput(command subcommands.Command, out io.Writer) {
	command.(*storeCommand).out = out
}
