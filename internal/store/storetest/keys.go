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

func getMissing(ctx context.Context, t *testing.T, tested store.Store) {
	_, err := tested.Get(ctx, "absent")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

func createAndGet(ctx context.Context, t *testing.T, tested store.Store) {
	revision := create(ctx, t, tested, "a", "one")
	assert.Assert(t, revision > 0)
	entry, err := tested.Get(ctx, "a")
	assert.NilError(t, err)
	assert.DeepEqual(t, entry, store.Entry{Key: "a", Value: []byte("one"), Revision: revision})

	next := swap(ctx, t, tested, "a", revision, "two")
	entry, err = tested.Get(ctx, "a")
	assert.NilError(t, err)
	assert.DeepEqual(t, entry, store.Entry{Key: "a", Value: []byte("two"), Revision: next})
	_, err = tested.Get(ctx, "aa")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

func createExisting(ctx context.Context, t *testing.T, tested store.Store) {
	revision := create(ctx, t, tested, "a", "one")
	_, err := tested.CompareAndSwap(ctx, "a", 0, []byte("two"), store.NoLease)
	assert.ErrorIs(t, err, store.ErrConflict)
	unchanged(ctx, t, tested, "a", "one", revision)
}

func swapOld(ctx context.Context, t *testing.T, tested store.Store) {
	first := create(ctx, t, tested, "a", "one")
	second := swap(ctx, t, tested, "a", first, "two")
	_, err := tested.CompareAndSwap(ctx, "a", first, []byte("three"), store.NoLease)
	assert.ErrorIs(t, err, store.ErrConflict)
	_, err = tested.CompareAndSwap(ctx, "a", second+1, []byte("three"), store.NoLease)
	assert.ErrorIs(t, err, store.ErrConflict)
	unchanged(ctx, t, tested, "a", "two", second)
}

func swapMissing(ctx context.Context, t *testing.T, tested store.Store) {
	_, err := tested.CompareAndSwap(ctx, "a", 7, []byte("one"), store.NoLease)
	assert.ErrorIs(t, err, store.ErrConflict)
	_, err = tested.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

func unchanged(ctx context.Context, t *testing.T, tested store.Store, key, value string, revision store.Revision) {
	t.Helper()
	unchangedUnder(ctx, t, tested, key, value, revision, store.NoLease)
}

// unchangedUnder asserts that the key lies there under the lease.
func unchangedUnder(ctx context.Context, t *testing.T, tested store.Store, key, value string, revision store.Revision, lease store.LeaseID) {
	t.Helper()
	entry, err := tested.Get(ctx, key)
	assert.NilError(t, err)
	assert.DeepEqual(t, entry, store.Entry{Key: key, Value: []byte(value), Revision: revision, Lease: lease})
}

func valuesAreCopied(ctx context.Context, t *testing.T, tested store.Store) {
	value := []byte("one")
	revision, err := tested.CompareAndSwap(ctx, "a", 0, value, store.NoLease)
	assert.NilError(t, err)
	value[0] = 'X'
	entry, err := tested.Get(ctx, "a")
	assert.NilError(t, err)
	entry.Value[1] = 'X'
	unchanged(ctx, t, tested, "a", "one", revision)
}

func binaryValues(ctx context.Context, t *testing.T, tested store.Store) {
	values := map[string][]byte{
		"binary":       {0, 0xff, '\n', '"', 0x80},
		"empty":        {},
		"key \"\xfe\n": []byte("odd key"),
		"large":        bytes.Repeat([]byte("0123456789abcdef"), 4096),
	}
	for key, value := range values {
		_, err := tested.CompareAndSwap(ctx, key, 0, value, store.NoLease)
		assert.NilError(t, err)
		entry, err := tested.Get(ctx, key)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(entry.Value, value), "key %q", key)
	}
}

func revisionsGrow(ctx context.Context, t *testing.T, tested store.Store) {
	last := store.Revision(0)
	for _, key := range []string{"a", "b", "c"} {
		revision := create(ctx, t, tested, key, "one")
		assert.Assert(t, revision > last)
		last = revision
	}
	last, err := tested.CompareAndDelete(ctx, "c", last)
	assert.NilError(t, err)
	assert.Assert(t, create(ctx, t, tested, "d", "one") > last)
}

func deleteKey(ctx context.Context, t *testing.T, tested store.Store) {
	revision := create(ctx, t, tested, "a", "one")
	removed, err := tested.CompareAndDelete(ctx, "a", revision)
	assert.NilError(t, err)
	assert.Assert(t, removed > revision)
	_, err = tested.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrNotFound)
	snapshot, err := tested.List(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, len(snapshot.Entries), 0)
	assert.Assert(t, snapshot.Revision >= removed)
}

func deleteConflicts(ctx context.Context, t *testing.T, tested store.Store) {
	first := create(ctx, t, tested, "a", "one")
	second := swap(ctx, t, tested, "a", first, "two")
	for _, expected := range []store.Revision{0, first, second + 1} {
		_, err := tested.CompareAndDelete(ctx, "a", expected)
		assert.ErrorIs(t, err, store.ErrConflict, "expected %d", expected)
	}
	for _, expected := range []store.Revision{0, first} {
		_, err := tested.CompareAndDelete(ctx, "absent", expected)
		assert.ErrorIs(t, err, store.ErrConflict, "expected %d", expected)
	}
	unchanged(ctx, t, tested, "a", "two", second)
}

func recreate(ctx context.Context, t *testing.T, tested store.Store) {
	first := create(ctx, t, tested, "a", "one")
	removed, err := tested.CompareAndDelete(ctx, "a", first)
	assert.NilError(t, err)
	_, err = tested.CompareAndSwap(ctx, "a", first, []byte("two"), store.NoLease)
	assert.ErrorIs(t, err, store.ErrConflict)
	second := create(ctx, t, tested, "a", "two")
	assert.Assert(t, second > removed)
	unchanged(ctx, t, tested, "a", "two", second)
}

func listByPrefix(ctx context.Context, t *testing.T, tested store.Store) {
	empty, err := tested.List(ctx, "p/")
	assert.NilError(t, err)
	assert.Equal(t, len(empty.Entries), 0)
	second := create(ctx, t, tested, "p/b", "2")
	first := create(ctx, t, tested, "p/a", "1")
	for _, outside := range []string{"p", "p.", "p0", "q/a"} {
		create(ctx, t, tested, outside, "x")
	}
	snapshot, err := tested.List(ctx, "p/")
	assert.NilError(t, err)
	assert.DeepEqual(t, snapshot.Entries, []store.Entry{
		{Key: "p/a", Value: []byte("1"), Revision: first},
		{Key: "p/b", Value: []byte("2"), Revision: second},
	})
	all, err := tested.List(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, len(all.Entries), 6)
	assert.Assert(t, all.Revision >= snapshot.Revision)
}

func listMany(ctx context.Context, t *testing.T, tested store.Store) {
	const count = 120
	for i := range count {
		create(ctx, t, tested, key(i), "value")
	}
	snapshot, err := tested.List(ctx, "many/")
	assert.NilError(t, err)
	assert.Equal(t, len(snapshot.Entries), count)
	for i, entry := range snapshot.Entries {
		assert.Equal(t, entry.Key, key(i))
	}
}

func racingWriters(ctx context.Context, t *testing.T, tested store.Store) {
	const writers = 8
	revision := create(ctx, t, tested, "a", "start")
	var winners, losers atomic.Int32
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			_, err := tested.CompareAndSwap(ctx, "a", revision, []byte("won"), store.NoLease)
			switch {
			case err == nil:
				winners.Add(1)
			case errors.Is(err, store.ErrConflict):
				losers.Add(1)
			default:
				t.Errorf("neither won nor lost: %v", err)
			}
		})
	}
	group.Wait()
	assert.Equal(t, winners.Load(), int32(1))
	assert.Equal(t, losers.Load(), int32(writers-1))
}

func endedContext(_ context.Context, t *testing.T, tested store.Store) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, getErr := tested.Get(ended, "a")
	_, listErr := tested.List(ended, "a")
	_, swapErr := tested.CompareAndSwap(ended, "a", 0, nil, store.NoLease)
	_, deleteErr := tested.CompareAndDelete(ended, "a", 1)
	_, grantErr := tested.GrantLease(ended, leaseDuration)
	_, renewErr := tested.RenewLease(ended, store.LeaseID{Number: 1})
	revokeErr := tested.RevokeLease(ended, store.LeaseID{Number: 1})
	for _, err := range []error{getErr, listErr, swapErr, deleteErr, grantErr, renewErr, revokeErr} {
		assert.ErrorIs(t, err, context.Canceled)
		assert.ErrorIs(t, err, store.ErrUnavailable)
	}
	_, err := tested.Get(context.Background(), "a")
	assert.ErrorIs(t, err, store.ErrNotFound)
}
