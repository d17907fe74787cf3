package storetest

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
)

// leaseDuration is the shortest that all implementations can grant.
const leaseDuration = time.Second

func leased(ctx context.Context, t *testing.T, tested store.Store, key string) (store.LeaseID, store.Revision) {
	t.Helper()
	lease, err := tested.GrantLease(ctx, leaseDuration)
	assert.NilError(t, err)
	assert.Assert(t, lease != store.NoLease)
	revision, err := tested.CompareAndSwap(ctx, key, 0, []byte("held"), lease)
	assert.NilError(t, err)
	return lease, revision
}

func leaseExpiry(ctx context.Context, t *testing.T, tested store.Store) {
	lease, revision := leased(ctx, t, tested, "l/a")
	watch := startWatch(ctx, tested, "l/", revision)
	_, err := tested.Get(ctx, "l/a")
	assert.NilError(t, err)
	removed := watch.take(t, 1)[0]
	assert.Assert(t, removed.Deleted && removed.Key == "l/a" && removed.Revision > revision, "%v", removed)
	_, err = tested.Get(ctx, "l/a")
	assert.ErrorIs(t, err, store.ErrNotFound)
	_, err = tested.RenewLease(ctx, lease)
	assert.ErrorIs(t, err, store.ErrLeaseLost)
}

func leaseRenewed(ctx context.Context, t *testing.T, tested store.Store) {
	lease, revision := leased(ctx, t, tested, "l/a")
	renewUntil := time.Now().Add(2 * leaseDuration)
	for time.Now().Before(renewUntil) {
		left, err := tested.RenewLease(ctx, lease)
		assert.NilError(t, err)
		assert.Assert(t, left > 0)
		time.Sleep(leaseDuration / 10)
	}
	unchangedUnder(ctx, t, tested, "l/a", "held", revision, lease)
	for {
		_, err := tested.Get(ctx, "l/a")
		if errors.Is(err, store.ErrNotFound) {
			return
		}
		assert.NilError(t, err)
		time.Sleep(pollInterval)
	}
}

func leaseRevoked(ctx context.Context, t *testing.T, tested store.Store) {
	lease, _ := leased(ctx, t, tested, "l/a")
	kept := create(ctx, t, tested, "l/b", "kept")
	assert.NilError(t, tested.RevokeLease(ctx, lease))
	_, err := tested.Get(ctx, "l/a")
	assert.ErrorIs(t, err, store.ErrNotFound)
	unchanged(ctx, t, tested, "l/b", "kept", kept)
	assert.ErrorIs(t, tested.RevokeLease(ctx, lease), store.ErrLeaseLost)
}

func leaseLost(ctx context.Context, t *testing.T, tested store.Store) {
	unknown := store.LeaseID{Number: 424242}
	_, err := tested.RenewLease(ctx, unknown)
	assert.ErrorIs(t, err, store.ErrLeaseLost)
	_, err = tested.CompareAndSwap(ctx, "l/a", 0, []byte("held"), unknown)
	assert.ErrorIs(t, err, store.ErrLeaseLost)
	_, err = tested.Get(ctx, "l/a")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

func leaseDetached(ctx context.Context, t *testing.T, tested store.Store) {
	lease, revision := leased(ctx, t, tested, "l/a")
	next := swap(ctx, t, tested, "l/a", revision, "free")
	assert.NilError(t, tested.RevokeLease(ctx, lease))
	unchanged(ctx, t, tested, "l/a", "free", next)
}
