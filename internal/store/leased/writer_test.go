package leased

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
)

func TestEntriesLastAsLongAsTheyWereMeantTo(t *testing.T) {
	now := time.Now()
	held := memory.New(func() time.Time { return now })
	writer := NewWriter(held, time.Minute, func() time.Time { return now })
	write := func(key string) store.LeaseID {
		_, err := writer.CompareAndSwap(context.Background(), key, 0, []byte("value"))
		assert.NilError(t, err)
		entry, err := held.Get(context.Background(), key)
		assert.NilError(t, err)
		return entry.Lease
	}
	first := write("a")
	now = now.Add(10 * time.Second)
	assert.Equal(t, write("b"), first, "a lease serves several entries")
	now = now.Add(10 * time.Second)
	assert.Assert(t, write("c") != first, "an old lease would end too early")
	now = now.Add(45 * time.Second)
	_, err := held.Get(context.Background(), "a")
	assert.ErrorIs(t, err, store.ErrNotFound)
	_, err = held.Get(context.Background(), "c")
	assert.NilError(t, err)
}

func TestALostLeaseIsReplaced(t *testing.T) {
	held := memory.New(time.Now)
	writer := NewWriter(held, time.Minute, time.Now)
	_, err := writer.CompareAndSwap(context.Background(), "a", 0, nil)
	assert.NilError(t, err)
	assert.NilError(t, held.RevokeLease(context.Background(), writer.lease))
	_, err = writer.CompareAndSwap(context.Background(), "b", 0, nil)
	assert.ErrorIs(t, err, store.ErrLeaseLost)
	_, err = writer.CompareAndSwap(context.Background(), "b", 0, nil)
	assert.NilError(t, err)
}
