// Package store is the seam to the platform's key-value service, which holds
// the operators' objects.
//
// An implementation may be slow, rate-limited or unreachable at any time.
// Every method honours its context; when the context ended, the error wraps
// the context's error beside the outcome. A write whose answer was lost returns
// ErrUnknownOutcome; the write may or may not have taken effect, and may still
// take effect later. An error that wraps neither one of this package's nor the
// context's means that the request itself was refused, such as for a value
// that is too large; nothing took effect.
package store

import (
	"context"
	"errors"
	"time"
)

// Epoch numbers the lives of the store's content. It rises by one each time that the
// store comes back from a copy of an earlier state: revisions and leases that it gave out
// since the copy was made are gone, and it gives out the same numbers again.
type Epoch uint32

// Revision names a state of the store: every accepted write, in any key, has a
// larger revision than all before it. Zero is the revision of a key that does
// not exist.
//
// A store that comes back from a copy gives out the numbers of its changes a
// second time. Like the transaction ids of ZooKeeper a revision therefore holds
// the epoch in its high bits and the number in its low ones: those of a later
// epoch are larger than all of earlier ones, and none of two epochs are equal.
type Revision int64

const (
	// revisionBits are those of the number. At 3,200 changes a second they last for 43
	// years of one epoch.
	revisionBits = 42
	// MaxEpoch is the largest epoch that a revision can hold.
	MaxEpoch Epoch = 1<<(63-revisionBits) - 1
	// maxRevisionNumber is the largest number that a revision can hold.
	maxRevisionNumber = 1<<revisionBits - 1
)

// NewRevision returns the revision of a change that the store numbers in an epoch. Zero is
// no change in any epoch.
func NewRevision(epoch Epoch, number int64) Revision {
	if number == 0 {
		return 0
	}
	return Revision(int64(epoch)<<revisionBits | min(number, maxRevisionNumber))
}

// Epoch returns the epoch in which the store made the change.
func (r Revision) Epoch() Epoch { return Epoch(r >> revisionBits) }

// Number returns the store's own number of the change.
func (r Revision) Number() int64 { return int64(r & maxRevisionNumber) }

// Errors that implementations return, possibly wrapped.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that the key's revision was not the expected one and
	// that the write did not take effect. A revision of an earlier epoch is
	// never the expected one.
	ErrConflict = errors.New("revision conflict")
	// ErrUnknownOutcome means that the write may or may not have taken effect,
	// also because it was answered in another epoch than its condition is of.
	ErrUnknownOutcome = errors.New("outcome of write unknown")
	// ErrUnavailable means that the store was not reached or refused for a
	// reason that has nothing to do with the request; nothing took effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrRateLimited means that the store refused because of its rate limit;
	// nothing took effect.
	ErrRateLimited = errors.New("store rate limit reached")
	// ErrCompacted means that a watch asked for a revision that the store no
	// longer holds, or never held in its present epoch: list again and watch
	// from the list's revision.
	ErrCompacted = errors.New("revision compacted")
	// ErrLeaseLost means that a lease has expired or was revoked, or is one of
	// an earlier epoch, in which nothing of it is renewed or ended.
	ErrLeaseLost = errors.New("lease lost")
)

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the revision of the last write to the key.
	Revision Revision
	// Deleted marks, in watch events, that the key was removed.
	Deleted bool
	// Lease is the one that the key goes with, zero if there is none.
	Lease LeaseID
}

// Snapshot is all entries under a prefix at one revision.
type Snapshot struct {
	Revision Revision
	Entries  []Entry
}

// Purpose says what a call to the store is for, so that calls can be accounted
// for.
type Purpose string

// LeaseID names a lease. Another lease may get the same number in a later epoch.
type LeaseID struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is the one in which the lease was granted, or in which a key was read that goes
	// with it.
	Epoch  Epoch
	Number int64
}

// NoLease is the lease of keys that stay.
var NoLease LeaseID

// Store is the platform's key-value service. It is safe for concurrent use.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key has the prefix, at one revision.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// CompareAndSwap writes the value if the key's revision is expected (zero:
	// the key must not exist) and returns the new revision. A non-zero lease
	// removes the key when it expires.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
	// CompareAndDelete removes the key if its revision is expected and returns
	// the revision of the removal. A key that does not exist is ErrConflict.
	CompareAndDelete(ctx context.Context, key string, expected Revision) (Revision, error)
	// Watch sends every change under the prefix after the given revision, in
	// order of revision. It returns when ctx ends or with the error that ended
	// the watch. The handler is called from one goroutine; progress, when not
	// zero, is a revision up to which nothing was missed, sent with an empty
	// batch as well when the store reports progress. After ErrUnavailable the
	// caller watches again after the last progress and misses nothing.
	Watch(ctx context.Context, prefix string, after Revision, handler func(batch []Entry, progress Revision)) error
	// GrantLease creates a lease that expires when not renewed for the duration.
	// An implementation may round the duration up to whole seconds.
	GrantLease(ctx context.Context, duration time.Duration) (LeaseID, error)
	// RenewLease renews a lease and returns the time left, or ErrLeaseLost. The
	// time counts from some moment during the call, so a holder counts it from
	// before the call. After any other error the renewal must be taken as lost.
	RenewLease(ctx context.Context, lease LeaseID) (time.Duration, error)
	// RevokeLease ends a lease and removes its keys.
	RevokeLease(ctx context.Context, lease LeaseID) error
}
