package configuration

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// Resolution says what is certain about a change.
type Resolution string

// The resolutions of a change.
const (
	// Accepted: the change was accepted; later changes may have replaced it.
	Accepted Resolution = "accepted"
	// Refused: the change is not in force and can never take effect.
	Refused Resolution = "refused"
	// Undetermined: nothing is certain; the change may still take effect, or the
	// object's history no longer reaches back to it.
	Undetermined Resolution = "undetermined"
)

// Resolve says what became of a change that was made against the expected
// revision, by reading the store. Give UnknownError.Expected, if there was one,
// and else the revision that the write was given. The revision returned is that
// of the accepted change. With the expected revision zero, a refusal is certain
// provided that no node still works on the write, that is, once the write's
// call has returned or its deadline has passed; with any other revision it is
// certain at once. The error says that the store was not read; the resolution
// then rests on the replica alone.
func (w *Writer) Resolve(ctx context.Context, id resource.ID, changeID string, expected store.Revision) (Resolution, store.Revision, error) {
	if known, ok := w.replica.Get(id); ok {
		if resolution, revision := judge(known, changeID, expected); resolution != Undetermined {
			return resolution, revision, nil
		}
	}
	current, err := w.read(ctx, id)
	if err != nil {
		return Undetermined, 0, oops.In("configuration").With("step", "resolve change").With("change", changeID).Wrap(err)
	}
	resolution, revision := judge(current, changeID, expected)
	return resolution, revision, nil
}

// judge decides from an object's accepted version. Every entry of the history
// names the revision that it replaced, so the entry that replaced the expected
// revision is the one that won it: the store accepts one change against a
// revision and no more. When the entry is another change's, this change has
// lost for good; when the history does not reach back to it, nothing is certain.
func judge(current resource.Versioned, changeID string, expected store.Revision) (Resolution, store.Revision) {
	if revision, found := acceptedAt(current, changeID); found {
		return Accepted, revision
	}
	if expected == 0 {
		return judgeCreation(current), 0
	}
	for _, change := range current.History {
		if change.Replaces == expected {
			return Refused, 0
		}
	}
	return Undetermined, 0
}

// judgeCreation decides on a change that creates an object and is not in the
// history. It was made against no version or against a deletion; while the
// object exists, no such revision is the object's current one.
func judgeCreation(current resource.Versioned) Resolution {
	exists := current.Revision != 0 && !current.Deleted
	if exists && wholeHistory(current) {
		return Refused
	}
	return Undetermined
}

// wholeHistory reports whether no change has been cut off the history.
func wholeHistory(current resource.Versioned) bool {
	length := len(current.History)
	return length > 0 && current.History[length-1].Replaces == 0
}

// acceptedAt returns the revision at which a change in the history was
// accepted: the one that its successor replaced.
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
	return decodeEntry(entry)
}
