package storetest

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
)

func getMissing(ctx context.Context, t *testing.T, s store.Store) {
	_, err := s.Get(ctx, "absent")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

func createAndGet(ctx context.Context, t *testing.T, s store.Store) {
	revision := create(ctx, t, s, "a", "one")
	assert.Assert(t, revision > 0)
	entry, err := s.Get(ctx, "a")
	assert.NilError(t, err)
	assert.DeepEqual(t, entry, store.Entry{Key: "a", Value: []byte("one"), Revision: revision})

	next := swap(ctx, t, s, "a", revision, "two")
	entry, err = s.Get(ctx, "a")
	assert.NilError(t, err)
	assert.DeepEqual(t, entry, store.Entry{Key: "a", Value: []byte("two"), Revision: next})
	_, err = s.Get(ctx, "aa")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

func createExisting(ctx context.Context, t *testing.T, s store.Store) {
	revision := create(ctx, t, s, "a", "one")
	_, err := s.CompareAndSwap(ctx, "a", 0, []byte("two"), store.NoLease)
	assert.ErrorIs(t, err, store.ErrConflict)
	assertEntry(ctx, t, s, "a", "one", revision)
}

func swapAtOldRevision(ctx context.Context, t *testing.T, s store.Store) {
	first := create(ctx, t, s, "a", "one")
	second := swap(ctx, t, s, "a", first, "two")
	_, err := s.CompareAndSwap(ctx, "a", first, []byte("three"), store.NoLease)
	assert.ErrorIs(t, err, store.ErrConflict)
	_, err = s.CompareAndSwap(ctx, "a", second+1, []byte("three"), store.NoLease)
	assert.ErrorIs(t, err, store.ErrConflict)
	assertEntry(ctx, t, s, "a", "two", second)
}

func swapMissing(ctx context.Context, t *testing.T, s store.Store) {
	_, err := s.CompareAndSwap(ctx, "a", 7, []byte("one"), store.NoLease)
	assert.ErrorIs(t, err, store.ErrConflict)
	_, err = s.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

func assertEntry(ctx context.Context, t *testing.T, s store.Store, key, value string, revision store.Revision) {
	t.Helper()
	assertEntryWithLease(ctx, t, s, key, value, revision, store.NoLease)
}

// assertEntryWithLease asserts that the key exists with the given value, revision and lease.
func assertEntryWithLease(ctx context.Context, t *testing.T, s store.Store, key, value string, revision store.Revision, lease store.LeaseID) {
	t.Helper()
	entry, err := s.Get(ctx, key)
	assert.NilError(t, err)
	assert.DeepEqual(t, entry, store.Entry{Key: key, Value: []byte(value), Revision: revision, Lease: lease})
}

func valuesAreCopied(ctx context.Context, t *testing.T, s store.Store) {
	value := []byte("one")
	revision, err := s.CompareAndSwap(ctx, "a", 0, value, store.NoLease)
	assert.NilError(t, err)
	value[0] = 'X'
	entry, err := s.Get(ctx, "a")
	assert.NilError(t, err)
	entry.Value[1] = 'X'
	assertEntry(ctx, t, s, "a", "one", revision)
}

func binaryValues(ctx context.Context, t *testing.T, s store.Store) {
	values := map[string][]byte{
		"binary":       {0, 0xff, '\n', '"', 0x80},
		"empty":        {},
		"key \"\xfe\n": []byte("odd key"),
		"large":        bytes.Repeat([]byte("0123456789abcdef"), 4096),
	}
	for key, value := range values {
		_, err := s.CompareAndSwap(ctx, key, 0, value, store.NoLease)
		assert.NilError(t, err)
		entry, err := s.Get(ctx, key)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(entry.Value, value), "key %q", key)
	}
}

func revisionsIncrease(ctx context.Context, t *testing.T, s store.Store) {
	previous := store.Revision(0)
	for _, key := range []string{"a", "b", "c"} {
		revision := create(ctx, t, s, key, "one")
		assert.Assert(t, revision > previous)
		previous = revision
	}
	previous, err := s.CompareAndDelete(ctx, "c", previous)
	assert.NilError(t, err)
	assert.Assert(t, create(ctx, t, s, "d", "one") > previous)
}

func deleteKey(ctx context.Context, t *testing.T, s store.Store) {
	revision := create(ctx, t, s, "a", "one")
	removed, err := s.CompareAndDelete(ctx, "a", revision)
	assert.NilError(t, err)
	assert.Assert(t, removed > revision)
	_, err = s.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrNotFound)
	snapshot, err := s.List(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, len(snapshot.Entries), 0)
	assert.Assert(t, snapshot.Revision >= removed)
}

func deleteConflicts(ctx context.Context, t *testing.T, s store.Store) {
	first := create(ctx, t, s, "a", "one")
	second := swap(ctx, t, s, "a", first, "two")
	for _, expected := range []store.Revision{0, first, second + 1} {
		_, err := s.CompareAndDelete(ctx, "a", expected)
		assert.ErrorIs(t, err, store.ErrConflict, "expected %d", expected)
	}
	for _, expected := range []store.Revision{0, first} {
		_, err := s.CompareAndDelete(ctx, "absent", expected)
		assert.ErrorIs(t, err, store.ErrConflict, "expected %d", expected)
	}
	assertEntry(ctx, t, s, "a", "two", second)
}

func createAfterDelete(ctx context.Context, t *testing.T, s store.Store) {
	first := create(ctx, t, s, "a", "one")
	removed, err := s.CompareAndDelete(ctx, "a", first)
	assert.NilError(t, err)
	_, err = s.CompareAndSwap(ctx, "a", first, []byte("two"), store.NoLease)
	assert.ErrorIs(t, err, store.ErrConflict)
	second := create(ctx, t, s, "a", "two")
	assert.Assert(t, second > removed)
	assertEntry(ctx, t, s, "a", "two", second)
}

func listByPrefix(ctx context.Context, t *testing.T, s store.Store) {
	empty, err := s.List(ctx, "p/")
	assert.NilError(t, err)
	assert.Equal(t, len(empty.Entries), 0)
	second := create(ctx, t, s, "p/b", "2")
	first := create(ctx, t, s, "p/a", "1")
	for _, outside := range []string{"p", "p.", "p0", "q/a"} {
		create(ctx, t, s, outside, "x")
	}
	snapshot, err := s.List(ctx, "p/")
	assert.NilError(t, err)
	assert.DeepEqual(t, snapshot.Entries, []store.Entry{
		{Key: "p/a", Value: []byte("1"), Revision: first},
		{Key: "p/b", Value: []byte("2"), Revision: second},
	})
	all, err := s.List(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, len(all.Entries), 6)
	assert.Assert(t, all.Revision >= snapshot.Revision)
}

func listMany(ctx context.Context, t *testing.T, s store.Store) {
	const count = 120
	for i := range count {
		create(ctx, t, s, key(i), "value")
	}
	snapshot, err := s.List(ctx, "many/")
	assert.NilError(t, err)
	assert.Equal(t, len(snapshot.Entries), count)
	for i, entry := range snapshot.Entries {
		assert.Equal(t, entry.Key, key(i))
	}
}

func racingWriters(ctx context.Context, t *testing.T, s store.Store) {
	const writers = 8
	revision := create(ctx, t, s, "a", "start")
	var winners, losers atomic.Int32
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			_, err := s.CompareAndSwap(ctx, "a", revision, []byte("won"), store.NoLease)
			switch {
			case err == nil:
				winners.Add(1)
			case errors.Is(err, store.ErrConflict):
				losers.Add(1)
			default:
				t.Errorf("unexpected error: %v", err)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, winners.Load(), int32(1))
	assert.Equal(t, losers.Load(), int32(writers-1))
}

func canceledContext(_ context.Context, t *testing.T, s store.Store) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_, getErr := s.Get(canceled, "a")
	_, listErr := s.List(canceled, "a")
	_, swapErr := s.CompareAndSwap(canceled, "a", 0, nil, store.NoLease)
	_, deleteErr := s.CompareAndDelete(canceled, "a", 1)
	_, grantErr := s.GrantLease(canceled, leaseDuration)
	_, renewErr := s.RenewLease(canceled, store.LeaseID{Number: 1})
	revokeErr := s.RevokeLease(canceled, store.LeaseID{Number: 1})
	for _, err := range []error{getErr, listErr, swapErr, deleteErr, grantErr, renewErr, revokeErr} {
		assert.ErrorIs(t, err, context.Canceled)
		assert.ErrorIs(t, err, store.ErrUnavailable)
	}
	_, err := s.Get(context.Background(), "a")
	assert.ErrorIs(t, err, store.ErrNotFound)
}
