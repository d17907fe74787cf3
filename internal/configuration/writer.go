package configuration

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// Limits of writes.
const (
	// MaxObjects limits the objects, not counting deleted ones. A write that
	// would create another one is rejected.
	MaxObjects = 10_000
	// MaxChangeIDLength limits a change's ID and author, in bytes.
	MaxChangeIDLength = 128
	// DefaultWriteTimeout limits a write whose context has no earlier deadline.
	DefaultWriteTimeout = 10 * time.Second

	minWriteBackoff = 20 * time.Millisecond
	maxWriteBackoff = time.Second
)

// Writer changes objects in the store by compare-and-swap. It is safe for
// concurrent use.
type Writer struct {
	store    store.Store
	replica  *Replica
	announce func(versions ...resource.Versioned)
	now      func() time.Time
}

// NewWriter returns a writer. The function announce is called with versions that
// are new to this node; it must not block.
func NewWriter(store store.Store, replica *Replica, announce func(versions ...resource.Versioned), now func() time.Time) *Writer {
	return &Writer{store: store, replica: replica, announce: announce, now: now}
}

// writeRequest holds the arguments of Writer.Write.
type writeRequest struct {
	next     resource.Envelope
	expected store.Revision
	change   resource.Change
}

// Write changes an object to the specification of next, or deletes it if
// change.Deleted is set, provided that the object is at the expected revision;
// zero means that it does not exist or is deleted. The change needs an ID that
// is unique among the object's changes: a write whose change was accepted before
// returns the accepted version. The errors *InvalidError, *ConflictError,
// ErrUnavailable, ErrTooManyObjects and ErrChangeIDReused mean that the call has
// no effect, now or later; *UnknownError means that it, or an earlier call with
// the same change, may have one.
func (w *Writer) Write(ctx context.Context, next resource.Envelope, expected store.Revision, change resource.Change) (resource.Versioned, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultWriteTimeout)
	defer cancel()
	request := writeRequest{next: next, expected: expected, change: w.withTimestamp(change)}
	if change.Deleted {
		request.next = resource.Envelope{ID: next.ID, Deleted: true}
	}
	if err := request.validate(); err != nil {
		return resource.Versioned{}, &InvalidError{Cause: err}
	}
	current, err := w.currentVersion(ctx, request)
	if err != nil {
		return resource.Versioned{}, err
	}
	if _, found := acceptedAt(current, change.ID); found {
		return request.acceptedVersion(current)
	}
	if visibleRevision(current) != expected {
		return resource.Versioned{}, &ConflictError{Current: current}
	}
	if expected == 0 && w.replica.Digest().Count >= MaxObjects {
		return resource.Versioned{}, ErrTooManyObjects
	}
	return w.submit(ctx, request, current)
}

// withTimestamp sets the time of the change if it is zero and truncates it to
// the precision that is stored.
func (w *Writer) withTimestamp(change resource.Change) resource.Change {
	if change.At.IsZero() {
		change.At = w.now()
	}
	change.At = change.At.UTC().Truncate(time.Second)
	return change
}

func (r writeRequest) validate() error {
	if r.change.ID == "" || len(r.change.ID) > MaxChangeIDLength {
		return oops.Errorf("change id: allowed are 1 to %d bytes", MaxChangeIDLength)
	}
	if len(r.change.Author) > MaxChangeIDLength {
		return oops.Errorf("author: allowed are at most %d bytes", MaxChangeIDLength)
	}
	if r.expected < 0 || r.change.Deleted && r.expected == 0 {
		return oops.Errorf("expected revision %d: a deletion needs the revision that it deletes", r.expected)
	}
	return r.next.Validate()
}

// currentVersion returns the version to write against: the replica's if it is at
// the expected revision or contains the change, and otherwise the store's. If
// the store is unavailable, a replica's version above the expected revision is
// returned, which is sufficient to report a conflict.
func (w *Writer) currentVersion(ctx context.Context, request writeRequest) (resource.Versioned, error) {
	cached, known := w.replica.Get(request.next.ID)
	if known {
		_, found := acceptedAt(cached, request.change.ID)
		if found || !cached.Deleted && cached.Revision == request.expected {
			return cached, nil
		}
	}
	stored, err := w.read(ctx, request.next.ID)
	if err == nil {
		w.applyAndAnnounce(stored)
		return stored, nil
	}
	if request.expected != 0 && cached.Revision > request.expected {
		return cached, nil
	}
	return resource.Versioned{}, unavailable("read current version", request.next.ID, err)
}

// submit sends the change and retries until its outcome is certain or the
// context ends. Retries are safe: the store accepts at most one change against a
// revision.
func (w *Writer) submit(ctx context.Context, request writeRequest, base resource.Versioned) (resource.Versioned, error) {
	request.change.Replaces = base.Revision
	encoded, err := base.Envelope.Successor(request.next, request.change).Encode()
	if err != nil {
		return resource.Versioned{}, &InvalidError{Cause: err}
	}
	key := request.next.ID.Key()
	uncertain := false
	retry := newBackoff(minWriteBackoff, maxWriteBackoff)
	for {
		revision, err := w.store.CompareAndSwap(ctx, key, base.Revision, encoded, store.NoLease)
		switch {
		case err == nil:
			return w.applyAccepted(encoded, revision)
		case errors.Is(err, store.ErrConflict):
			return w.handleConflict(ctx, request, base, uncertain)
		case mayTakeEffect(err):
			uncertain = true
		case errors.Is(err, store.ErrUnavailable) && !uncertain:
			return resource.Versioned{}, unavailable("compare-and-swap", request.next.ID, err)
		}
		if retry.wait(ctx) != nil {
			return resource.Versioned{}, request.unresolvedError(base, uncertain, err)
		}
	}
}

// mayTakeEffect reports whether a compare-and-swap that returned the error may
// have taken effect or may do so later.
func mayTakeEffect(err error) bool {
	if errors.Is(err, store.ErrUnknownOutcome) {
		return true
	}
	return !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrRateLimited)
}

// unresolvedError returns the error of a write that could not be completed:
// ErrUnavailable if none of its attempts can take effect, otherwise an
// *UnknownError.
func (r writeRequest) unresolvedError(base resource.Versioned, uncertain bool, cause error) error {
	if !uncertain {
		return unavailable("compare-and-swap", r.next.ID, cause)
	}
	return &UnknownError{ChangeID: r.change.ID, Expected: base.Revision, Cause: cause}
}

// applyAccepted applies the accepted version to the replica and announces it.
func (w *Writer) applyAccepted(encoded []byte, revision store.Revision) (resource.Versioned, error) {
	envelope, err := resource.DecodeEnvelope(encoded)
	if err != nil {
		return resource.Versioned{}, oops.In("configuration").With("step", "decode accepted version").Wrap(err)
	}
	accepted := resource.Versioned{Envelope: envelope, Revision: revision}
	w.applyAndAnnounce(accepted)
	return accepted, nil
}

// handleConflict determines the result after the store reported a conflict: the
// revision was replaced either by another change, or by an earlier attempt of
// this change, in this call or a previous one, whose response was lost.
func (w *Writer) handleConflict(ctx context.Context, request writeRequest, base resource.Versioned, uncertain bool) (resource.Versioned, error) {
	current, err := w.read(ctx, request.next.ID)
	if err != nil {
		return resource.Versioned{}, request.unresolvedError(base, true, err)
	}
	w.applyAndAnnounce(current)
	resolution, _ := resolveFromHistory(current, request.change.ID, base.Revision)
	switch {
	case resolution == Accepted:
		return request.acceptedVersion(current)
	case resolution == Undetermined && uncertain:
		return resource.Versioned{}, request.unresolvedError(base, uncertain, errHistoryTruncated)
	}
	return resource.Versioned{}, &ConflictError{Current: current}
}

// errHistoryTruncated means that an object's history no longer reaches back to a
// change.
var errHistoryTruncated = errors.New("history does not reach back to the change")

// acceptedVersion returns the version that the change produced, given a version
// whose history contains the change.
func (r writeRequest) acceptedVersion(current resource.Versioned) (resource.Versioned, error) {
	revision, _ := acceptedAt(current, r.change.ID)
	if revision == current.Revision {
		if !sameSpecification(current.Envelope, r.next) {
			return resource.Versioned{}, ErrChangeIDReused
		}
		return current, nil
	}
	accepted := resource.Versioned{Envelope: r.next, Revision: revision}
	for index, change := range current.History {
		if change.ID == r.change.ID {
			accepted.History = current.History[index:]
		}
	}
	return accepted, nil
}

// sameSpecification reports whether two envelopes are equal apart from their
// histories.
func sameSpecification(a, b resource.Envelope) bool {
	a.History, b.History = nil, nil
	encodedA, errA := a.Encode()
	encodedB, errB := b.Encode()
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

// applyAndAnnounce applies a version read from or accepted by the store to the
// replica and announces it if it is new.
func (w *Writer) applyAndAnnounce(version resource.Versioned) {
	if version.Revision == 0 {
		return
	}
	if changed := w.replica.Apply(version); len(changed) > 0 {
		w.announce(changed...)
	}
}

func unavailable(step string, id resource.ID, cause error) error {
	return oops.In("configuration").With("step", step).With("object", id.String()).With("peer", "store").
		Wrap(errors.Join(ErrUnavailable, cause))
}
