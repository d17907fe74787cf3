package claim

import (
	"encoding/binary"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestTableAgainstMap compares the table, across chunk boundaries, with a map
// from keys to insertion times.
func TestTableAgainstMap(t *testing.T) {
	const retention = time.Minute
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(3 * chunkRecords)
		model := make(map[KeyHash]time.Time)
		now := time.Unix(0, 0)
		serial := uint64(0)
		for range rapid.IntRange(1, 12).Draw(t, "batches") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "seconds")) * time.Second)
			table.expire(now, retention)
			for key, since := range model {
				if now.Sub(since) > retention {
					delete(model, key)
				}
			}
			for range rapid.IntRange(0, chunkRecords).Draw(t, "inserts") {
				var key KeyHash
				binary.BigEndian.PutUint64(key[:], serial)
				serial++
				if table.insert(record{key: key}, now) {
					model[key] = now
				}
			}
			assert.Equal(t, table.len(), len(model))
			for key := range model {
				assert.Assert(t, table.find(key) != nil)
			}
			assert.Equal(t, len(allPages(table)), len(model))
		}
	})
}

func allPages(t *table) (all []CopiedClaim) {
	for cursor, last := uint64(0), false; !last; {
		var claims []CopiedClaim
		claims, cursor, last = t.page(cursor)
		all = append(all, claims...)
	}
	return all
}

func TestMergeMarksDifferentAttemptsContested(t *testing.T) {
	now := time.Unix(0, 0)
	key, one, two := KeyHash{1}, AttemptID{1}, AttemptID{2}
	table := newTable(10)
	assert.Assert(t, table.merge(CopiedClaim{Key: key, Attempt: one}, now))
	assert.Equal(t, table.find(key).state, recordHeld)
	assert.Assert(t, table.merge(CopiedClaim{Key: key, Attempt: two}, now))
	assert.Equal(t, table.find(key).state, recordContested)
	assert.Assert(t, table.merge(CopiedClaim{Key: key, Attempt: one}, now))
	assert.Equal(t, table.find(key).state, recordContested)
}
