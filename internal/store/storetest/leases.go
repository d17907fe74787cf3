package storetest

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
)

// leaseDuration is the shortest duration that all implementations can grant.
const leaseDuration = time.Second

func createWithLease(ctx context.Context, t *testing.T, s store.Store, key string) (store.LeaseID, store.Revision) {
	t.Helper()
	lease, err := s.GrantLease(ctx, leaseDuration)
	assert.NilError(t, err)
	assert.Assert(t, lease != store.NoLease)
	revision, err := s.CompareAndSwap(ctx, key, 0, []byte("held"), lease)
	assert.NilError(t, err)
	return lease, revision
}

func leaseExpiry(ctx context.Context, t *testing.T, s store.Store) {
	lease, revision := createWithLease(ctx, t, s, "l/a")
	watch := startWatch(ctx, s, "l/", revision)
	_, err := s.Get(ctx, "l/a")
	assert.NilError(t, err)
	removed := watch.receive(t, 1)[0]
	assert.Assert(t, removed.Deleted && removed.Key == "l/a" && removed.Revision > revision, "%v", removed)
	_, err = s.Get(ctx, "l/a")
	assert.ErrorIs(t, err, store.ErrNotFound)
	_, err = s.RenewLease(ctx, lease)
	assert.ErrorIs(t, err, store.ErrLeaseLost)
}

func leaseRenewal(ctx context.Context, t *testing.T, s store.Store) {
	lease, revision := createWithLease(ctx, t, s, "l/a")
	renewUntil := time.Now().Add(2 * leaseDuration)
	for time.Now().Before(renewUntil) {
		remaining, err := s.RenewLease(ctx, lease)
		assert.NilError(t, err)
		assert.Assert(t, remaining > 0)
		time.Sleep(leaseDuration / 10)
	}
	assertEntryWithLease(ctx, t, s, "l/a", "held", revision, lease)
	for {
		_, err := s.Get(ctx, "l/a")
		if errors.Is(err, store.ErrNotFound) {
			return
		}
		assert.NilError(t, err)
		time.Sleep(pollInterval)
	}
}

func leaseRevocation(ctx context.Context, t *testing.T, s store.Store) {
	lease, _ := createWithLease(ctx, t, s, "l/a")
	unleased := create(ctx, t, s, "l/b", "kept")
	assert.NilError(t, s.RevokeLease(ctx, lease))
	_, err := s.Get(ctx, "l/a")
	assert.ErrorIs(t, err, store.ErrNotFound)
	assertEntry(ctx, t, s, "l/b", "kept", unleased)
	assert.ErrorIs(t, s.RevokeLease(ctx, lease), store.ErrLeaseLost)
}

func unknownLease(ctx context.Context, t *testing.T, s store.Store) {
	lease := store.LeaseID{Number: 424242}
	_, err := s.RenewLease(ctx, lease)
	assert.ErrorIs(t, err, store.ErrLeaseLost)
	_, err = s.CompareAndSwap(ctx, "l/a", 0, []byte("held"), lease)
	assert.ErrorIs(t, err, store.ErrLeaseLost)
	_, err = s.Get(ctx, "l/a")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

func overwriteDetachesLease(ctx context.Context, t *testing.T, s store.Store) {
	lease, revision := createWithLease(ctx, t, s, "l/a")
	next := swap(ctx, t, s, "l/a", revision, "free")
	assert.NilError(t, s.RevokeLease(ctx, lease))
	assertEntry(ctx, t, s, "l/a", "free", next)
}
