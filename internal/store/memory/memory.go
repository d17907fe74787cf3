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

// Newest returns the newest revision.
func (s *Store) Newest() store.Revision { return s.versions.Revision() }

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
	return entryOf(view.Entries[0]), nil
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
	snapshot := store.Snapshot{Revision: view.Current}
	for _, found := range view.Entries {
		snapshot.Entries = append(snapshot.Entries, entryOf(found))
	}
	return snapshot, nil
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	put := mvcc.Operation{Key: key, Value: value, Lease: lease}
	return s.commit(ctx, "compare-and-swap", key, expected, put)
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
	result, err := s.versions.Commit(mvcc.Transaction{
		Compare: []mvcc.Comparison{{Key: key, Field: mvcc.FieldModRevision, Value: int64(expected)}},
		Success: []mvcc.Operation{operation},
	})
	if err != nil {
		return 0, failure(step, err)
	}
	if !result.Succeeded {
		return 0, failure(step, store.ErrConflict)
	}
	return result.Revision, nil
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
		batch, err := s.versions.EventsAfter(span, after, watchBatchEvents)
		if err != nil {
			return failure("watch", err)
		}
		if batch.Through > after {
			handler(entriesOf(batch.Events), batch.Through)
			after = batch.Through
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
		return 0, err
	}
	id, err := s.versions.Grant(duration)
	if err != nil {
		return 0, failure("grant-lease", err)
	}
	return id, nil
}

// RenewLease implements store.Store.
func (s *Store) RenewLease(ctx context.Context, lease store.LeaseID) (time.Duration, error) {
	if err := alive(ctx, "renew-lease"); err != nil {
		return 0, err
	}
	left, err := s.versions.Renew(lease)
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
	if err := s.versions.Revoke(lease); err != nil {
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

func entriesOf(events []mvcc.Event) []store.Entry {
	entries := make([]store.Entry, 0, len(events))
	for _, event := range events {
		entry := entryOf(event.KeyValue)
		entry.Deleted = event.Deleted
		entries = append(entries, entry)
	}
	return entries
}

func entryOf(found mvcc.KeyValue) store.Entry {
	return store.Entry{Key: found.Key, Value: bytes.Clone(found.Value), Revision: found.ModRevision, Lease: found.Lease}
}
