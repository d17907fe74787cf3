package adminclient

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/lugspur/lugspur/internal/admin"
)

// What an Error means, for errors.Is.
var (
	// ErrInvalid means that the request or its object has faults.
	ErrInvalid = errors.New("invalid")
	// ErrDenied means that the token is missing or wrong.
	ErrDenied = errors.New("denied")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that the object has another revision; the write took no
	// effect.
	ErrConflict = errors.New("conflict")
	// ErrUnknownOutcome means that the write may or may not take effect.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrUnavailable means that no node, or not the store, was reached; a write
	// took no effect.
	ErrUnavailable = errors.New("unavailable")
)

// Error is a failed request. Errors.Is finds what it means.
type Error struct {
	// Step is what failed: read, write or resolve.
	Step string
	// Address is the node that failed or answered.
	Address string
	// Problem is the node's answer; nil if there was none.
	Problem *admin.Problem
	// Cause is why there was no answer; nil if there was one.
	Cause error
	// Unknown marks a write that may have taken effect.
	Unknown bool
}

func failure(step, address string, cause error) *Error {
	return &Error{Step: step, Address: address, Cause: cause}
}

// Error says the step, the peer and what went wrong.
func (e *Error) Error() string {
	if e.Problem != nil {
		return fmt.Sprintf("%s at %s: %v", e.Step, e.Address, e.Problem)
	}
	return fmt.Sprintf("%s at %s: %v", e.Step, e.Address, e.Cause)
}

// Unwrap returns the cause and the meaning.
func (e *Error) Unwrap() []error {
	causes := []error{}
	if meaning := e.meaning(); meaning != nil {
		causes = append(causes, meaning)
	}
	if e.Cause != nil {
		causes = append(causes, e.Cause)
	}
	return causes
}

func (e *Error) meaning() error {
	if e.Unknown {
		return ErrUnknownOutcome
	}
	if e.Problem == nil {
		return ErrUnavailable
	}
	if e.Problem.Outcome == admin.OutcomeUnknown {
		return ErrUnknownOutcome
	}
	return meanings[e.Problem.Status]
}

var meanings = map[int]error{
	http.StatusBadRequest:            ErrInvalid,
	http.StatusRequestEntityTooLarge: ErrInvalid,
	http.StatusPreconditionRequired:  ErrInvalid,
	http.StatusUnauthorized:          ErrDenied,
	http.StatusForbidden:             ErrDenied,
	http.StatusNotFound:              ErrNotFound,
	http.StatusConflict:              ErrConflict,
	http.StatusServiceUnavailable:    ErrUnavailable,
}

// worthAnotherNode reports whether another node may answer a read that failed
// so.
func worthAnotherNode(err error) bool {
	var failed *Error
	if !errors.As(err, &failed) {
		return false
	}
	return failed.Problem == nil || failed.Problem.Status >= http.StatusInternalServerError
}
