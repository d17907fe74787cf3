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

// Bounds of writes.
const (
	// MaxObjects bounds the objects in force that writers may create.
	MaxObjects = 10_000
	// MaxChangeIDLength bounds a change's id and author, in bytes.
	MaxChangeIDLength = 128
	// DefaultWriteTimeout bounds a write whose context has no earlier deadline.
	DefaultWriteTimeout = 10 * time.Second

	minWritePause = 20 * time.Millisecond
	maxWritePause = time.Second
)

// Writer changes objects in the store by compare-and-swap. It is safe for
// concurrent use.
type Writer struct {
	store    store.Store
	replica  *Replica
	announce func(versions ...resource.Versioned)
	now      func() time.Time
}

// NewWriter returns a writer. Announce is called with versions that are news
// to this node; it must not block.
func NewWriter(store store.Store, replica *Replica, announce func(versions ...resource.Versioned), now func() time.Time) *Writer {
	return &Writer{store: store, replica: replica, announce: announce, now: now}
}

// write is one call of Write.
type write struct {
	next     resource.Envelope
	expected store.Revision
	change   resource.Change
}

// Write changes an object to the specification of next, or deletes it if the
// change says so, provided that the object is at the expected revision; zero
// means that it does not exist or is deleted. The change needs an id, unique
// among the object's changes: a write whose change was accepted before returns
// the accepted version. Errors: *InvalidError, *ConflictError, ErrUnavailable,
// ErrTooManyObjects and ErrChangeIDReused mean that the call has no effect, now
// or later; *UnknownError that it, or an earlier call with the same change, may
// have one.
func (w *Writer) Write(ctx context.Context, next resource.Envelope, expected store.Revision, change resource.Change) (resource.Versioned, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultWriteTimeout)
	defer cancel()
	request := write{next: next, expected: expected, change: w.complete(change)}
	if change.Deleted {
		request.next = resource.Envelope{ID: next.ID, Deleted: true}
	}
	if err := request.validate(); err != nil {
		return resource.Versioned{}, &InvalidError{Cause: err}
	}
	current, err := w.current(ctx, request)
	if err != nil {
		return resource.Versioned{}, err
	}
	if _, found := acceptedAt(current, change.ID); found {
		return request.acceptedIn(current)
	}
	if visibleRevision(current) != expected {
		return resource.Versioned{}, &ConflictError{Current: current}
	}
	if expected == 0 && w.replica.Digest().Count >= MaxObjects {
		return resource.Versioned{}, ErrTooManyObjects
	}
	return w.submit(ctx, request, current)
}

// complete fills in the time of the change, in the precision that is stored.
func (w *Writer) complete(change resource.Change) resource.Change {
	if change.At.IsZero() {
		change.At = w.now()
	}
	change.At = change.At.UTC().Truncate(time.Second)
	return change
}

func (r write) validate() error {
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

// current returns the version to write against: the replica's if it answers
// the request's expectation, and else the store's.
func (w *Writer) current(ctx context.Context, request write) (resource.Versioned, error) {
	held, known := w.replica.Get(request.next.ID)
	if known {
		_, found := acceptedAt(held, request.change.ID)
		if found || !held.Deleted && held.Revision == request.expected {
			return held, nil
		}
	}
	fresh, err := w.read(ctx, request.next.ID)
	if err == nil {
		w.learn(fresh)
		return fresh, nil
	}
	if request.expected != 0 && held.Revision > request.expected {
		return held, nil
	}
	return resource.Versioned{}, unavailable("read current version", request.next.ID, err)
}

// submit sends the change until its outcome is certain. Sending it again is
// safe: the store accepts one change against a revision and no more.
func (w *Writer) submit(ctx context.Context, request write, base resource.Versioned) (resource.Versioned, error) {
	request.change.Replaces = base.Revision
	encoded, err := base.Envelope.Successor(request.next, request.change).Encode()
	if err != nil {
		return resource.Versioned{}, &InvalidError{Cause: err}
	}
	key := request.next.ID.Key()
	uncertain := false
	pause := newBackoff(minWritePause, maxWritePause)
	for {
		revision, err := w.store.CompareAndSwap(ctx, key, base.Revision, encoded, store.NoLease)
		switch {
		case err == nil:
			return w.accept(encoded, revision)
		case errors.Is(err, store.ErrConflict):
			return w.lost(ctx, request, base, uncertain)
		case isUncertain(err):
			uncertain = true
		case errors.Is(err, store.ErrUnavailable) && !uncertain:
			return resource.Versioned{}, unavailable("compare-and-swap", request.next.ID, err)
		}
		if pause.wait(ctx) != nil {
			return resource.Versioned{}, request.unresolved(base, uncertain, err)
		}
	}
}

// isUncertain reports whether a compare-and-swap that ended with the error may
// have an effect, now or later.
func isUncertain(err error) bool {
	if errors.Is(err, store.ErrUnknownOutcome) {
		return true
	}
	return !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrRateLimited)
}

// unresolved is the error of a write that ran out of time.
func (r write) unresolved(base resource.Versioned, uncertain bool, cause error) error {
	if !uncertain {
		return unavailable("compare-and-swap", r.next.ID, cause)
	}
	return &UnknownError{ChangeID: r.change.ID, Expected: base.Revision, Cause: cause}
}

// accept takes the accepted version into the replica and announces it.
func (w *Writer) accept(encoded []byte, revision store.Revision) (resource.Versioned, error) {
	envelope, err := resource.DecodeEnvelope(encoded)
	if err != nil {
		return resource.Versioned{}, oops.In("configuration").With("step", "decode accepted version").Wrap(err)
	}
	accepted := resource.Versioned{Envelope: envelope, Revision: revision}
	w.learn(accepted)
	return accepted, nil
}

// lost decides after the store refused: either another change won the
// revision, or an earlier attempt of this one whose answer was lost, in this
// call or in one before.
func (w *Writer) lost(ctx context.Context, request write, base resource.Versioned, uncertain bool) (resource.Versioned, error) {
	current, err := w.read(ctx, request.next.ID)
	if err != nil {
		return resource.Versioned{}, request.unresolved(base, true, err)
	}
	w.learn(current)
	resolution, _ := judge(current, request.change.ID, base.Revision)
	switch {
	case resolution == Accepted:
		return request.acceptedIn(current)
	case resolution == Undetermined && uncertain:
		return resource.Versioned{}, request.unresolved(base, uncertain, errHistoryTooShort)
	}
	return resource.Versioned{}, &ConflictError{Current: current}
}

// errHistoryTooShort means that an object's history does not reach back to a
// change any longer.
var errHistoryTooShort = errors.New("history does not reach back to the change")

// acceptedIn returns the version that the change led to, out of a version
// whose history has it.
func (r write) acceptedIn(current resource.Versioned) (resource.Versioned, error) {
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

// sameSpecification compares two envelopes without their histories.
func sameSpecification(a, b resource.Envelope) bool {
	a.History, b.History = nil, nil
	encodedA, errA := a.Encode()
	encodedB, errB := b.Encode()
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

// learn takes a version read from or accepted by the store into the replica.
func (w *Writer) learn(version resource.Versioned) {
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
