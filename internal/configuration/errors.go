package configuration

import (
	"errors"
	"fmt"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// ErrUnavailable means that the store could not be used: this call put nothing
// in force and nothing of it will take effect later.
var ErrUnavailable = errors.New("configuration store unavailable")

// ErrTooManyObjects means that the write would create an object beyond
// MaxObjects; it is not in force.
var ErrTooManyObjects = errors.New("too many objects")

// ErrChangeIDReused means that the change id already names an accepted change
// of the object that has other contents; this write is not in force.
var ErrChangeIDReused = errors.New("change id names another change")

// InvalidError means that the object breaks a rule; it is not in force.
type InvalidError struct{ Cause error }

// Error names the rule.
func (e *InvalidError) Error() string { return "invalid object: " + e.Cause.Error() }

// Unwrap returns the rule's error.
func (e *InvalidError) Unwrap() error { return e.Cause }

// ConflictError means that the object is not at the expected revision: this
// call put nothing in force and nothing of it will take effect later.
type ConflictError struct {
	// Current is the object's newest known version; its revision is zero if
	// there is none.
	Current resource.Versioned
}

// Error names the object and its revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision conflict: %s is at revision %d", e.Current.ID, visibleRevision(e.Current))
}

// UnknownError means that the store's answer was lost: the change may be in
// force, may take effect later, or never. Writer.Resolve tells.
type UnknownError struct {
	// ChangeID names the change.
	ChangeID string
	// Expected is the revision that the store compares with, to be given to
	// Resolve. For an object created after a deletion it is the revision of the
	// deletion.
	Expected store.Revision
	Cause    error
}

// Error names the change.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome of change %s unknown: %v", e.ChangeID, e.Cause)
}

// Unwrap returns what became of the answer.
func (e *UnknownError) Unwrap() error { return e.Cause }

// visibleRevision is the revision that writers see: zero for an object that
// does not exist or is deleted.
func visibleRevision(current resource.Versioned) store.Revision {
	if current.Deleted {
		return 0
	}
	return current.Revision
}
