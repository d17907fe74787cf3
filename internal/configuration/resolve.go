package configuration

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// Resolution is the known outcome of a change.
type Resolution string

// The resolutions of a change.
const (
	// Accepted: the change was accepted; later changes may have replaced it.
	Accepted Resolution = "accepted"
	// Refused: the change did not take effect and never will.
	Refused Resolution = "refused"
	// Undetermined: the outcome is not known; the change may still take effect,
	// or the object's history no longer reaches back to it.
	Undetermined Resolution = "undetermined"
)

// Resolve determines the outcome of a change that was made against the expected
// revision, from the replica or else by reading the store. Pass
// UnknownError.Expected if the write returned one, and otherwise the revision
// that was passed to the write. The returned revision is that of the accepted
// change. With an expected revision of zero, Refused is final only if no node
// still processes the write, that is, once the call has returned or its deadline
// has passed; with any other revision it is final at once. An error means that
// the store could not be read and the replica alone did not determine the
// outcome.
func (w *Writer) Resolve(ctx context.Context, id resource.ID, changeID string, expected store.Revision) (Resolution, store.Revision, error) {
	if cached, ok := w.replica.Get(id); ok {
		if resolution, revision := resolveFromHistory(cached, changeID, expected); resolution != Undetermined {
			return resolution, revision, nil
		}
	}
	current, err := w.read(ctx, id)
	if err != nil {
		return Undetermined, 0, oops.In("configuration").With("step", "resolve change").With("change", changeID).Wrap(err)
	}
	resolution, revision := resolveFromHistory(current, changeID, expected)
	return resolution, revision, nil
}

// resolveFromHistory determines the outcome of a change from an accepted version
// of the object. Every change in the history contains the revision that it
// replaced, and the store accepts at most one change against a revision. If
// another change replaced the expected revision, this change can never take
// effect; if the history does not reach back to that revision, the outcome is
// undetermined.
func resolveFromHistory(current resource.Versioned, changeID string, expected store.Revision) (Resolution, store.Revision) {
	if revision, found := acceptedAt(current, changeID); found {
		return Accepted, revision
	}
	if expected == 0 {
		return resolveCreation(current), 0
	}
	for _, change := range current.History {
		if change.Replaces == expected {
			return Refused, 0
		}
	}
	return Undetermined, 0
}

// resolveCreation determines the outcome of a change that creates an object and
// is not in the history. It was made against no version or against a deletion,
// neither of which is the current version while the object exists.
func resolveCreation(current resource.Versioned) Resolution {
	exists := current.Revision != 0 && !current.Deleted
	if exists && isHistoryComplete(current) {
		return Refused
	}
	return Undetermined
}

// isHistoryComplete reports whether the history has not been truncated.
func isHistoryComplete(current resource.Versioned) bool {
	length := len(current.History)
	return length > 0 && current.History[length-1].Replaces == 0
}

// acceptedAt returns the revision at which a change in the history was
// accepted, which is the revision that the next change replaced.
func acceptedAt(current resource.Versioned, changeID string) (store.Revision, bool) {
	for index, change := range current.History {
		if change.ID != changeID {
			continue
		}
		if index == 0 {
			return current.Revision, true
		}
		return current.History[index-1].Replaces, true
	}
	return 0, false
}

// read returns the store's version of an object; its revision is zero if the
// store holds none.
func (w *Writer) read(ctx context.Context, id resource.ID) (resource.Versioned, error) {
	current := resource.Versioned{}
	current.ID = id
	entry, err := w.store.Get(ctx, id.Key())
	if errors.Is(err, store.ErrNotFound) {
		return current, nil
	}
	if err != nil {
		return current, oops.In("configuration").With("step", "read current version").With("object", id.String()).Wrap(err)
	}
	return decodeStoreEntry(entry)
}
