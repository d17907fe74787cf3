package configuration

import (
	"errors"
	"fmt"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// ErrUnavailable means that the store is unavailable: the call had no effect
// and will have none later.
var ErrUnavailable = errors.New("configuration store unavailable")

// ErrTooManyObjects means that the write would exceed MaxObjects; it had no
// effect.
var ErrTooManyObjects = errors.New("too many objects")

// ErrChangeIDReused means that an accepted change of the object has the same
// change ID but different contents; the write had no effect.
var ErrChangeIDReused = errors.New("change id names another change")

// InvalidError means that the object or the change failed validation; the write
// had no effect.
type InvalidError struct{ Cause error }

func (e *InvalidError) Error() string { return "invalid object: " + e.Cause.Error() }

// Unwrap returns the validation error.
func (e *InvalidError) Unwrap() error { return e.Cause }

// ConflictError means that the object is not at the expected revision: the call
// had no effect and will have none later.
type ConflictError struct {
	// Current is the object's newest known version; its revision is zero if
	// there is none.
	Current resource.Versioned
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision conflict: %s is at revision %d", e.Current.ID, visibleRevision(e.Current))
}

// UnknownError means that the store's response was lost: the change may have
// taken effect, may take effect later, or never. Writer.Resolve determines its
// outcome.
type UnknownError struct {
	ChangeID string
	// Expected is the revision that the store compares with; pass it to
	// Resolve. For an object created after a deletion it is the revision of the
	// deletion.
	Expected store.Revision
	Cause    error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome of change %s unknown: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the error of the lost response.
func (e *UnknownError) Unwrap() error { return e.Cause }

// visibleRevision returns the revision that a writer must expect: zero for an
// object that does not exist or is deleted.
func visibleRevision(current resource.Versioned) store.Revision {
	if current.Deleted {
		return 0
	}
	return current.Revision
}
