package command

import (
	"errors"
	"fmt"

	"github.com/lugspur/lugspur/internal/adminclient"
	"github.com/lugspur/lugspur/internal/command/objectfile"
	"github.com/lugspur/lugspur/internal/settings"
)

// The exit codes.
const (
	// ExitOK means that everything was done.
	ExitOK = 0
	// ExitFailed means a failure that no other code names.
	ExitFailed = 1
	// ExitUsage means a faulty command line, file, object or setting; nothing
	// was changed by what is faulty.
	ExitUsage = 2
	// ExitConflict means that an object has another revision; it was not
	// changed.
	ExitConflict = 3
	// ExitUnknown means that a change may or may not take effect.
	ExitUnknown = 4
	// ExitUnavailable means that no node, or not the store, was reached;
	// nothing more was changed.
	ExitUnavailable = 5
	// ExitNotFound means that there is no such object.
	ExitNotFound = 6
)

// usageError is a faulty command line.
type usageError struct{ message string }

// Error returns what is wrong with the command line.
func (e *usageError) Error() string { return e.message }

func usageErrorf(format string, arguments ...any) error {
	return &usageError{message: fmt.Sprintf(format, arguments...)}
}

// errFailed ends a verb that has printed what failed.
var errFailed = errors.New("failed")

// exitCode returns the exit code for an error. When several failures are
// joined, the one that needs the operator most decides.
func exitCode(err error) int {
	var usage *usageError
	var faultyFiles *objectfile.Error
	var faultySettings *settings.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, adminclient.ErrUnknownOutcome):
		return ExitUnknown
	case errors.Is(err, adminclient.ErrConflict):
		return ExitConflict
	case errors.Is(err, adminclient.ErrUnavailable):
		return ExitUnavailable
	case errors.Is(err, adminclient.ErrNotFound):
		return ExitNotFound
	case errors.As(err, &usage), errors.As(err, &faultyFiles), errors.As(err, &faultySettings),
		errors.Is(err, adminclient.ErrInvalid):
		return ExitUsage
	}
	return ExitFailed
}
