package leased

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
)

func TestLeaseIsReusedOnlyWhileFresh(t *testing.T) {
	now := time.Now()
	backing := memory.New(func() time.Time { return now })
	writer := NewWriter(backing, time.Minute, func() time.Time { return now })
	write := func(key string) store.LeaseID {
		_, err := writer.CompareAndSwap(context.Background(), key, 0, []byte("value"))
		assert.NilError(t, err)
		entry, err := backing.Get(context.Background(), key)
		assert.NilError(t, err)
		return entry.Lease
	}
	first := write("a")
	now = now.Add(10 * time.Second)
	assert.Equal(t, write("b"), first, "a lease serves several entries")
	now = now.Add(10 * time.Second)
	assert.Assert(t, write("c") != first, "an old lease would end too early")
	now = now.Add(45 * time.Second)
	_, err := backing.Get(context.Background(), "a")
	assert.ErrorIs(t, err, store.ErrNotFound)
	_, err = backing.Get(context.Background(), "c")
	assert.NilError(t, err)
}

func TestLostLeaseIsReplaced(t *testing.T) {
	backing := memory.New(time.Now)
	writer := NewWriter(backing, time.Minute, time.Now)
	_, err := writer.CompareAndSwap(context.Background(), "a", 0, nil)
	assert.NilError(t, err)
	assert.NilError(t, backing.RevokeLease(context.Background(), writer.lease))
	_, err = writer.CompareAndSwap(context.Background(), "b", 0, nil)
	assert.ErrorIs(t, err, store.ErrLeaseLost)
	_, err = writer.CompareAndSwap(context.Background(), "b", 0, nil)
	assert.NilError(t, err)
}
