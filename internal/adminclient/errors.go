package adminclient

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/lugspur/lugspur/internal/admin"
)

// Errors that an Error wraps, for errors.Is.
var (
	// ErrInvalid means that the request or its object is invalid.
	ErrInvalid = errors.New("invalid")
	// ErrDenied means that the token is missing or wrong.
	ErrDenied = errors.New("denied")
	// ErrNotFound means that the object doesn't exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that the object has another revision; the write had no
	// effect.
	ErrConflict = errors.New("conflict")
	// ErrUnknownOutcome means that the write may or may not take effect.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrUnavailable means that no node responded or that the store was
	// unavailable; a write had no effect.
	ErrUnavailable = errors.New("unavailable")
)

// Error is a failed request. It wraps its cause and the error above that applies,
// if any.
type Error struct {
	// Step is the failed operation, such as read, write or resolve.
	Step string
	// Address is the address of the node.
	Address string
	// Problem is the problem document of the node or, for an unresolved write, of
	// the client; nil if there was no valid response.
	Problem *admin.Problem
	// Cause is the error of the request, such as a lost response; nil if a problem
	// document was received.
	Cause error
	// Unknown marks a write that may take effect.
	Unknown bool
}

func newError(step, address string, cause error) *Error {
	return &Error{Step: step, Address: address, Cause: cause}
}

// Error returns the step, the address and the problem or cause.
func (e *Error) Error() string {
	if e.Problem != nil {
		return fmt.Sprintf("%s at %s: %v", e.Step, e.Address, e.Problem)
	}
	return fmt.Sprintf("%s at %s: %v", e.Step, e.Address, e.Cause)
}

// Unwrap returns the sentinel error and the cause.
func (e *Error) Unwrap() []error {
	causes := []error{}
	if sentinel := e.sentinel(); sentinel != nil {
		causes = append(causes, sentinel)
	}
	if e.Cause != nil {
		causes = append(causes, e.Cause)
	}
	return causes
}

func (e *Error) sentinel() error {
	if e.Unknown {
		return ErrUnknownOutcome
	}
	if e.Problem == nil {
		return ErrUnavailable
	}
	if e.Problem.Outcome == admin.OutcomeUnknown {
		return ErrUnknownOutcome
	}
	return statusErrors[e.Problem.Status]
}

var statusErrors = map[int]error{
	http.StatusBadRequest:            ErrInvalid,
	http.StatusRequestEntityTooLarge: ErrInvalid,
	http.StatusPreconditionRequired:  ErrInvalid,
	http.StatusUnauthorized:          ErrDenied,
	http.StatusForbidden:             ErrDenied,
	http.StatusNotFound:              ErrNotFound,
	http.StatusConflict:              ErrConflict,
	http.StatusServiceUnavailable:    ErrUnavailable,
}

// isRetryableElsewhere reports whether a failed read may succeed at another node.
func isRetryableElsewhere(err error) bool {
	var failed *Error
	if !errors.As(err, &failed) {
		return false
	}
	return failed.Problem == nil || failed.Problem.Status >= http.StatusInternalServerError
}
