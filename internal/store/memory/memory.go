// Package memory implements store.Store in memory, for a single node and for
// tests. Its content is lost when the process ends.
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
	// watchBatchEvents is the approximate number of events in a batch for a handler.
	watchBatchEvents = 256
	// leasePollInterval is how often a watch checks for expired leases.
	leasePollInterval = 50 * time.Millisecond
)

// Store implements store.Store. It is safe for concurrent use.
type Store struct {
	engine *mvcc.Store
	epoch  atomic.Uint32
}

var _ store.Store = (*Store)(nil)

// New returns an empty store that measures leases with the given clock.
func New(now func() time.Time) *Store {
	return &Store{engine: mvcc.New(mvcc.Config{Now: now})}
}

// Backup is a copy of the content of a store at one moment.
type Backup = mvcc.Backup

// Backup copies the current content of the store.
func (s *Store) Backup() *Backup { return s.engine.Backup() }

// Restore replaces the content with a backup and starts the next epoch.
func (s *Store) Restore(backup *Backup) {
	s.epoch.Add(1)
	s.engine.Restore(backup)
}

// Epoch returns the store's epoch, which starts at zero.
func (s *Store) Epoch() store.Epoch { return store.Epoch(s.epoch.Load()) }

// NewestRevision returns the newest revision.
func (s *Store) NewestRevision() store.Revision { return s.revision(s.engine.Revision()) }

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := checkContext(ctx, "get"); err != nil {
		return store.Entry{}, err
	}
	result, err := s.engine.Range(keyspan.Span{From: key}, 0)
	if err != nil {
		return store.Entry{}, wrapError("get", err)
	}
	if len(result.Entries) == 0 {
		return store.Entry{}, wrapError("get", store.ErrNotFound)
	}
	return s.toEntry(result.Entries[0]), nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	if err := checkContext(ctx, "list"); err != nil {
		return store.Snapshot{}, err
	}
	result, err := s.engine.Range(keyspan.Prefix(prefix), 0)
	if err != nil {
		return store.Snapshot{}, wrapError("list", err)
	}
	snapshot := store.Snapshot{Revision: s.revision(result.Current)}
	for _, kv := range result.Entries {
		snapshot.Entries = append(snapshot.Entries, s.toEntry(kv))
	}
	return snapshot, nil
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	const step = "compare-and-swap"
	if s.fromOtherEpoch(lease) {
		return 0, wrapError(step, store.ErrLeaseLost)
	}
	put := mvcc.Operation{Key: key, Value: value, Lease: mvcc.LeaseID(lease.Number)}
	return s.commit(ctx, step, key, expected, put)
}

// CompareAndDelete implements store.Store.
func (s *Store) CompareAndDelete(ctx context.Context, key string, expected store.Revision) (store.Revision, error) {
	if expected == 0 {
		return 0, wrapError("compare-and-delete", store.ErrConflict)
	}
	remove := mvcc.Operation{Delete: true, Span: keyspan.Span{From: key}}
	return s.commit(ctx, "compare-and-delete", key, expected, remove)
}

func (s *Store) commit(ctx context.Context, step, key string, expected store.Revision, operation mvcc.Operation) (store.Revision, error) {
	if err := checkContext(ctx, step); err != nil {
		return 0, err
	}
	if expected != 0 && expected.Epoch() != s.Epoch() {
		return 0, wrapError(step, store.ErrConflict)
	}
	result, err := s.engine.Commit(mvcc.Transaction{
		Compare: []mvcc.Comparison{{Key: key, Field: mvcc.FieldModRevision, Value: expected.Number()}},
		Success: []mvcc.Operation{operation},
	})
	if err != nil {
		return 0, wrapError(step, err)
	}
	if !result.Succeeded {
		return 0, wrapError(step, store.ErrConflict)
	}
	return s.revision(result.Revision), nil
}

// revision returns the current epoch's revision for a revision of the engine.
func (s *Store) revision(number store.Revision) store.Revision {
	return store.NewRevision(s.Epoch(), int64(number))
}

// fromOtherEpoch reports whether a lease was granted in another epoch.
func (s *Store) fromOtherEpoch(lease store.LeaseID) bool {
	return lease != store.NoLease && lease.Epoch != s.Epoch()
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision, handler func([]store.Entry, store.Revision)) error {
	span := keyspan.Prefix(prefix)
	poll := time.NewTicker(leasePollInterval)
	defer poll.Stop()
	for {
		if ctx.Err() != nil {
			return wrapError("watch", ctx.Err())
		}
		changed := s.engine.Changed()
		if after != 0 && after.Epoch() != s.Epoch() {
			return wrapError("watch", store.ErrCompacted)
		}
		batch, err := s.engine.EventsAfter(span, store.Revision(after.Number()), watchBatchEvents)
		if err != nil {
			return wrapError("watch", err)
		}
		if through := s.revision(batch.Through); through > after {
			handler(s.toEntries(batch.Events), through)
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
	if err := checkContext(ctx, "grant-lease"); err != nil {
		return store.NoLease, err
	}
	id, err := s.engine.Grant(duration)
	if err != nil {
		return store.NoLease, wrapError("grant-lease", err)
	}
	return store.LeaseID{Epoch: s.Epoch(), Number: int64(id)}, nil
}

// RenewLease implements store.Store.
func (s *Store) RenewLease(ctx context.Context, lease store.LeaseID) (time.Duration, error) {
	if err := checkContext(ctx, "renew-lease"); err != nil {
		return 0, err
	}
	if s.fromOtherEpoch(lease) {
		return 0, wrapError("renew-lease", store.ErrLeaseLost)
	}
	remaining, err := s.engine.Renew(mvcc.LeaseID(lease.Number))
	if err != nil {
		return 0, wrapError("renew-lease", err)
	}
	return remaining, nil
}

// RevokeLease implements store.Store.
func (s *Store) RevokeLease(ctx context.Context, lease store.LeaseID) error {
	if err := checkContext(ctx, "revoke-lease"); err != nil {
		return err
	}
	if s.fromOtherEpoch(lease) {
		return wrapError("revoke-lease", store.ErrLeaseLost)
	}
	if err := s.engine.Revoke(mvcc.LeaseID(lease.Number)); err != nil {
		return wrapError("revoke-lease", err)
	}
	return nil
}

func checkContext(ctx context.Context, step string) error {
	if err := ctx.Err(); err != nil {
		return wrapError(step, fmt.Errorf("%w: %w", store.ErrUnavailable, err))
	}
	return nil
}

func wrapError(step string, err error) error {
	if errors.Is(err, mvcc.ErrNoSpace) {
		err = fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return oops.In("store").With("step", step).With("peer", "memory").Wrapf(err, "%s in memory", step)
}

func (s *Store) toEntries(events []mvcc.Event) []store.Entry {
	entries := make([]store.Entry, 0, len(events))
	for _, event := range events {
		entry := s.toEntry(event.KeyValue)
		entry.Deleted = event.Deleted
		entries = append(entries, entry)
	}
	return entries
}

func (s *Store) toEntry(kv mvcc.KeyValue) store.Entry {
	entry := store.Entry{Key: kv.Key, Value: bytes.Clone(kv.Value), Revision: s.revision(kv.ModRevision)}
	if kv.Lease != 0 {
		entry.Lease = store.LeaseID{Epoch: s.Epoch(), Number: int64(kv.Lease)}
	}
	return entry
}
