// Package store defines the interface to the platform's key-value service,
// which holds the operators' objects.
//
// An implementation may be slow, rate-limited or unreachable at any time.
// Every method honors its context; after the context has ended, the error wraps
// both the outcome and the context's error. A write whose response was lost
// returns ErrUnknownOutcome: it may or may not have taken effect, and may still
// take effect later. An error that wraps neither an error of this package nor
// the context's means that the request itself was rejected, for example because
// its value is too large; nothing took effect.
package store

import (
	"context"
	"errors"
	"time"
)

// Epoch counts how often the store was restored from a backup. A restore discards the
// revisions and leases assigned since the backup was made, and the store assigns the same
// numbers again.
type Epoch uint32

// Revision identifies a state of the store: every accepted write, to any key, has a
// larger revision than all writes before it. Zero is the revision of a key that
// does not exist.
//
// A store that is restored from a backup assigns the numbers of its changes a
// second time. Like a ZooKeeper transaction ID, a revision therefore holds the
// epoch in its high bits and the number in its low bits: a revision of a later
// epoch is larger than all of earlier epochs, and never equal to one of them.
type Revision int64

const (
	// revisionNumberBits is the size of the number. At 3,200 changes per second, 42 bits last
	// for 43 years within one epoch.
	revisionNumberBits = 42
	// MaxEpoch is the largest epoch that a revision can hold.
	MaxEpoch Epoch = 1<<(63-revisionNumberBits) - 1
	// maxRevisionNumber is the largest number that a revision can hold.
	maxRevisionNumber = 1<<revisionNumberBits - 1
)

// NewRevision returns the revision of the change with the given number in an epoch. The
// number zero stands for no change and gives revision zero in every epoch.
func NewRevision(epoch Epoch, number int64) Revision {
	if number == 0 {
		return 0
	}
	return Revision(int64(epoch)<<revisionNumberBits | min(number, maxRevisionNumber))
}

// Epoch returns the epoch in which the store made the change.
func (r Revision) Epoch() Epoch { return Epoch(r >> revisionNumberBits) }

// Number returns the number that the store assigned to the change.
func (r Revision) Number() int64 { return int64(r & maxRevisionNumber) }

// Errors that implementations return, possibly wrapped.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that the key's revision was not the expected one and
	// that the write did not take effect. A revision of an earlier epoch is
	// never the expected one.
	ErrConflict = errors.New("revision conflict")
	// ErrUnknownOutcome means that the write may or may not have taken effect.
	// It is also returned when the response is of another epoch than the
	// write's expected revision.
	ErrUnknownOutcome = errors.New("outcome of write unknown")
	// ErrUnavailable means that the store was not reached, or rejected the
	// request for a reason unrelated to it; nothing took effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrRateLimited means that the rate limit was exceeded; nothing took
	// effect.
	ErrRateLimited = errors.New("store rate limit reached")
	// ErrCompacted means that the requested revision is compacted, or never
	// existed in the current epoch: list again and watch from the revision of
	// the list.
	ErrCompacted = errors.New("revision compacted")
	// ErrLeaseLost means that a lease has expired, was revoked, or belongs to an
	// earlier epoch. A lease of an earlier epoch can be neither renewed nor
	// revoked.
	ErrLeaseLost = errors.New("lease lost")
)

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the revision of the last write to the key.
	Revision Revision
	// Deleted reports, in watch events, that the key was removed.
	Deleted bool
	// Lease is the lease that the key is attached to, or NoLease.
	Lease LeaseID
}

// Snapshot holds all entries under a prefix at one revision.
type Snapshot struct {
	Revision Revision
	Entries  []Entry
}

// Purpose is the purpose of a call to the store, by which calls are counted.
type Purpose string

// LeaseID identifies a lease. Another lease may have the same number in a later epoch.
type LeaseID struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is the epoch in which the lease was granted, or in which a key attached to it
	// was read.
	Epoch  Epoch
	Number int64
}

// NoLease is the lease ID of keys that are not attached to a lease.
var NoLease LeaseID

// Store is the platform's key-value service. It is safe for concurrent use.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key has the prefix, at one revision.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// CompareAndSwap writes the value if the key's revision equals expected
	// (zero: the key must not exist) and returns the new revision. If lease is
	// not NoLease, the key is removed when the lease expires.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
	// CompareAndDelete removes the key if its revision equals expected and
	// returns the revision of the removal. It returns ErrConflict for a key that
	// does not exist.
	CompareAndDelete(ctx context.Context, key string, expected Revision) (Revision, error)
	// Watch passes every change under the prefix after the given revision to the
	// handler, in order of revision. It returns when ctx ends or with the error
	// that ended the watch. The handler is called from one goroutine. A non-zero
	// progress is a revision up to which all changes were delivered; a progress
	// notification of the store comes with an empty batch. After ErrUnavailable
	// the caller can watch again after the last progress without missing a change.
	Watch(ctx context.Context, prefix string, after Revision, handler func(batch []Entry, progress Revision)) error
	// GrantLease creates a lease that expires unless it is renewed within the
	// duration. An implementation may round the duration up to whole seconds.
	GrantLease(ctx context.Context, duration time.Duration) (LeaseID, error)
	// RenewLease renews a lease and returns the remaining time, or ErrLeaseLost.
	// The remaining time starts at some moment during the call, so the holder
	// must count it from before the call. After any other error the holder must
	// assume that the lease was not renewed.
	RenewLease(ctx context.Context, lease LeaseID) (time.Duration, error)
	// RevokeLease revokes a lease and removes the keys attached to it.
	RevokeLease(ctx context.Context, lease LeaseID) error
}
