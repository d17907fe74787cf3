package kvstore

import (
	"io"

	"github.com/google/subcommands"
)

// SetOutput replaces the output of the command.
func SetOutput(command subcommands.Command, out io.Writer) {
	command.(*storeCommand).out = out
}
