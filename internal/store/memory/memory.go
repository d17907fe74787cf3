// Package memory is an embedded store for a node that runs alone, and for
// tests. Everything is lost when the process ends.
package memory

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd/keyspan"
	"github.com/lugspur/lugspur/internal/store/memory/mvcc"
)

const (
	// watchBatchEvents is the size, in events, of a batch given to a handler.
	watchBatchEvents = 256
	// leasePollInterval is how often a watch looks for expired leases.
	leasePollInterval = 50 * time.Millisecond
)

// Store implements store.Store. It is safe for concurrent use.
type Store struct {
	versions *mvcc.Store
	epoch    atomic.Uint32
}

var _ store.Store = (*Store)(nil)

// New returns an empty store whose leases expire by the given clock.
func New(now func() time.Time) *Store {
	return &Store{versions: mvcc.New(mvcc.Config{Now: now})}
}

// Backup is a copy of what the store held at one moment.
type Backup = mvcc.Backup

// Backup copies what the store holds now.
func (s *Store) Backup() *Backup { return s.versions.Backup() }

// Restore has the store come back from a copy, in the next epoch.
func (s *Store) Restore(backup *Backup) {
	s.epoch.Add(1)
	s.versions.Restore(backup)
}

// Epoch returns the store's epoch, which begins at zero.
func (s *Store) Epoch() store.Epoch { return store.Epoch(s.epoch.Load()) }

// NewestRevision returns the newest revision.
func (s *Store) NewestRevision() store.Revision { return s.revision(s.versions.Revision()) }

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := alive(ctx, "get"); err != nil {
		return store.Entry{}, err
	}
	view, err := s.versions.Range(keyspan.Span{From: key}, 0)
	if err != nil {
		return store.Entry{}, failure("get", err)
	}
	if len(view.Entries) == 0 {
		return store.Entry{}, failure("get", store.ErrNotFound)
	}
	return s.entryOf(view.Entries[0]), nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	if err := alive(ctx, "list"); err != nil {
		return store.Snapshot{}, err
	}
	view, err := s.versions.Range(keyspan.Prefix(prefix), 0)
	if err != nil {
		return store.Snapshot{}, failure("list", err)
	}
	snapshot := store.Snapshot{Revision: s.revision(view.Current)}
	for _, found := range view.Entries {
		snapshot.Entries = append(snapshot.Entries, s.entryOf(found))
	}
	return snapshot, nil
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	const step = "compare-and-swap"
	if s.lapsed(lease) {
		return 0, failure(step, store.ErrLeaseLost)
	}
	put := mvcc.Operation{Key: key, Value: value, Lease: mvcc.LeaseID(lease.Number)}
	return s.commit(ctx, step, key, expected, put)
}

// CompareAndDelete implements store.Store.
func (s *Store) CompareAndDelete(ctx context.Context, key string, expected store.Revision) (store.Revision, error) {
	if expected == 0 {
		return 0, failure("compare-and-delete", store.ErrConflict)
	}
	remove := mvcc.Operation{Delete: true, Span: keyspan.Span{From: key}}
	return s.commit(ctx, "compare-and-delete", key, expected, remove)
}

func (s *Store) commit(ctx context.Context, step, key string, expected store.Revision, operation mvcc.Operation) (store.Revision, error) {
	if err := alive(ctx, step); err != nil {
		return 0, err
	}
	if expected != 0 && expected.Epoch() != s.Epoch() {
		return 0, failure(step, store.ErrConflict)
	}
	result, err := s.versions.Commit(mvcc.Transaction{
		Compare: []mvcc.Comparison{{Key: key, Field: mvcc.FieldModRevision, Value: expected.Number()}},
		Success: []mvcc.Operation{operation},
	})
	if err != nil {
		return 0, failure(step, err)
	}
	if !result.Succeeded {
		return 0, failure(step, store.ErrConflict)
	}
	return s.revision(result.Revision), nil
}

// revision returns the revision of a change that the content numbers.
func (s *Store) revision(number store.Revision) store.Revision {
	return store.NewRevision(s.Epoch(), int64(number))
}

// lapsed reports whether a lease is of an earlier epoch.
func (s *Store) lapsed(lease store.LeaseID) bool {
	return lease != store.NoLease && lease.Epoch != s.Epoch()
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision, handler func([]store.Entry, store.Revision)) error {
	span := keyspan.Prefix(prefix)
	poll := time.NewTicker(leasePollInterval)
	defer poll.Stop()
	for {
		if ctx.Err() != nil {
			return failure("watch", ctx.Err())
		}
		changed := s.versions.Changed()
		if after != 0 && after.Epoch() != s.Epoch() {
			return failure("watch", store.ErrCompacted)
		}
		batch, err := s.versions.EventsAfter(span, store.Revision(after.Number()), watchBatchEvents)
		if err != nil {
			return failure("watch", err)
		}
		if through := s.revision(batch.Through); through > after {
			handler(s.entriesOf(batch.Events), through)
			after = through
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-poll.C:
		}
	}
}

// GrantLease implements store.Store.
func (s *Store) GrantLease(ctx context.Context, duration time.Duration) (store.LeaseID, error) {
	if err := alive(ctx, "grant-lease"); err != nil {
		return store.NoLease, err
	}
	id, err := s.versions.Grant(duration)
	if err != nil {
		return store.NoLease, failure("grant-lease", err)
	}
	return store.LeaseID{Epoch: s.Epoch(), Number: int64(id)}, nil
}

// RenewLease implements store.Store.
func (s *Store) RenewLease(ctx context.Context, lease store.LeaseID) (time.Duration, error) {
	if err := alive(ctx, "renew-lease"); err != nil {
		return 0, err
	}
	if s.lapsed(lease) {
		return 0, failure("renew-lease", store.ErrLeaseLost)
	}
	left, err := s.versions.Renew(mvcc.LeaseID(lease.Number))
	if err != nil {
		return 0, failure("renew-lease", err)
	}
	return left, nil
}

// RevokeLease implements store.Store.
func (s *Store) RevokeLease(ctx context.Context, lease store.LeaseID) error {
	if err := alive(ctx, "revoke-lease"); err != nil {
		return err
	}
	if s.lapsed(lease) {
		return failure("revoke-lease", store.ErrLeaseLost)
	}
	if err := s.versions.Revoke(mvcc.LeaseID(lease.Number)); err != nil {
		return failure("revoke-lease", err)
	}
	return nil
}

func alive(ctx context.Context, step string) error {
	if err := ctx.Err(); err != nil {
		return failure(step, fmt.Errorf("%w: %w", store.ErrUnavailable, err))
	}
	return nil
}

func failure(step string, err error) error {
	if errors.Is(err, mvcc.ErrNoSpace) {
		err = fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return oops.In("store").With("step", step).With("peer", "memory").Wrapf(err, "%s in memory", step)
}

func (s *Store) entriesOf(events []mvcc.Event) []store.Entry {
	entries := make([]store.Entry, 0, len(events))
	for _, event := range events {
		entry := s.entryOf(event.KeyValue)
		entry.Deleted = event.Deleted
		entries = append(entries, entry)
	}
	return entries
}

func (s *Store) entryOf(found mvcc.KeyValue) store.Entry {
	entry := store.Entry{Key: found.Key, Value: bytes.Clone(found.Value), Revision: s.revision(found.ModRevision)}
	if found.Lease != 0 {
		entry.Lease = store.LeaseID{Epoch: s.Epoch(), Number: int64(found.Lease)}
	}
	return entry
}
