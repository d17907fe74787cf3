package memory_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
	"github.com/lugspur/lugspur/internal/store/storetest"
)

func TestConformance(t *testing.T) {
	storetest.Run(t, func(*testing.T) store.Store { return memory.New(time.Now) })
}

func TestCompaction(t *testing.T) {
	tested := memory.New(time.Now)
	storetest.RunCompaction(t, tested, func() {
		fillHistory(t, tested)
	})
}

// fillHistory writes until the store's first revisions are forgotten.
func fillHistory(t *testing.T, tested store.Store) {
	revision := store.Revision(0)
	for range 5000 {
		next, err := tested.CompareAndSwap(context.Background(), "filler", revision, nil, store.NoLease)
		assert.NilError(t, err)
		revision = next
	}
}

func TestLeaseExpiresByTheGivenClock(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1000, 0)
	tested := memory.New(func() time.Time { return now })
	lease, err := tested.GrantLease(ctx, time.Minute)
	assert.NilError(t, err)
	_, err = tested.CompareAndSwap(ctx, "a", 0, nil, lease)
	assert.NilError(t, err)
	now = now.Add(time.Minute - 1)
	_, err = tested.Get(ctx, "a")
	assert.NilError(t, err)
	now = now.Add(1)
	_, err = tested.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrNotFound)
}
