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
	memoryStore := memory.New(time.Now)
	storetest.RunCompaction(t, memoryStore, func() {
		overflowHistory(t, memoryStore)
	})
}

// overflowHistory writes until the store has compacted its first revisions.
func overflowHistory(t *testing.T, memoryStore store.Store) {
	revision := store.Revision(0)
	for range 5000 {
		next, err := memoryStore.CompareAndSwap(context.Background(), "filler", revision, nil, store.NoLease)
		assert.NilError(t, err)
		revision = next
	}
}

func TestLeaseExpiresByTheGivenClock(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1000, 0)
	memoryStore := memory.New(func() time.Time { return now })
	lease, err := memoryStore.GrantLease(ctx, time.Minute)
	assert.NilError(t, err)
	_, err = memoryStore.CompareAndSwap(ctx, "a", 0, nil, lease)
	assert.NilError(t, err)
	now = now.Add(time.Minute - 1)
	_, err = memoryStore.Get(ctx, "a")
	assert.NilError(t, err)
	now = now.Add(1)
	_, err = memoryStore.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrNotFound)
}
