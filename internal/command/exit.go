package command

import (
	"errors"
	"fmt"

	"github.com/lugspur/lugspur/internal/adminclient"
	"github.com/lugspur/lugspur/internal/command/objectfile"
	"github.com/lugspur/lugspur/internal/settings"
)

// Exit codes.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means a failure without a code of its own.
	ExitFailed = 1
	// ExitUsage means an invalid command line, file, object or setting; invalid
	// input changed nothing.
	ExitUsage = 2
	// ExitConflict means that the object has a different revision and was not
	// changed.
	ExitConflict = 3
	// ExitUnknown means that a change may or may not take effect.
	ExitUnknown = 4
	// ExitUnavailable means that no node, or not the store, was reachable;
	// nothing more was changed.
	ExitUnavailable = 5
	// ExitNotFound means that the object does not exist.
	ExitNotFound = 6
)

// usageError reports an invalid command line.
type usageError struct{ message string }

// Error returns the message.
func (e *usageError) Error() string { return e.message }

func usageErrorf(format string, arguments ...any) error {
	return &usageError{message: fmt.Sprintf(format, arguments...)}
}

// errFailed ends a verb that has already printed its failures.
var errFailed = errors.New("failed")

// exitCode returns the exit code for an error. Of several joined errors, the one
// that most needs the operator's attention decides.
func exitCode(err error) int {
	var usageFailure *usageError
	var fileFailure *objectfile.Error
	var settingsFailure *settings.Error
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
	case errors.As(err, &usageFailure), errors.As(err, &fileFailure), errors.As(err, &settingsFailure),
		errors.Is(err, adminclient.ErrInvalid):
		return ExitUsage
	}
	return ExitFailed
}
