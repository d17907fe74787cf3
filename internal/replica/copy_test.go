package replica

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/store"
)

// recordingCopy is a copy that records its changes.
type recordingCopy struct {
	*Copy
	changes []string
}

func newRecordingCopy(now func() time.Time) *recordingCopy {
	c := &recordingCopy{}
	c.Copy = NewCopy(staleAfter, func(entries []store.Entry, source string) {
		for _, entry := range entries {
			c.changes = append(c.changes, fmt.Sprintf("%s=%s from %s", entry.Key, entry.Value, source))
		}
	}, now)
	return c
}

func snapshotOf(revision store.Revision, entries ...store.Entry) store.Snapshot {
	return store.Snapshot{Revision: revision, Entries: entries}
}

func TestOlderChangesAreIgnored(t *testing.T) {
	c := newRecordingCopy(time.Now)
	c.applySnapshot(snapshotOf(9, store.Entry{Key: "a", Value: []byte("new"), Revision: 7}), time.Now())
	c.applyEvents([]store.Entry{{Key: "a", Value: []byte("old"), Revision: 5}}, 9)
	c.applyDelta(Delta{Digest: Digest{Revision: 8}, Items: []Item{{Key: "a", Value: []byte("older"), Revision: 3}, {Key: "b", Value: []byte("x"), Revision: 8}}}, "peer", time.Now())
	assert.DeepEqual(t, c.changes, []string{"a=new from store", "b=x from peer"})
	assert.Equal(t, c.Digest().Revision, store.Revision(8))
}

// TestDeltaOfOlderCopyIsIgnored applies a full delta of an older revision, which must delete
// nothing.
func TestDeltaOfOlderCopyIsIgnored(t *testing.T) {
	c := newRecordingCopy(time.Now)
	c.applySnapshot(snapshotOf(9, store.Entry{Key: "a", Value: []byte("1"), Revision: 9}), time.Now())
	c.applyDelta(Delta{Digest: Digest{Revision: 4}, Full: true}, "peer", time.Now())
	assert.Equal(t, len(c.Entries()), 1)
	c.applyDelta(Delta{Digest: Digest{Revision: 12}, Full: true}, "peer", time.Now())
	assert.Equal(t, len(c.Entries()), 0)
}

// TestEmptyCopyAcceptsOnlyFullDelta applies a partial delta to an empty copy, which lacks the
// rest.
func TestEmptyCopyAcceptsOnlyFullDelta(t *testing.T) {
	c := newRecordingCopy(time.Now)
	c.applyDelta(Delta{Digest: Digest{Revision: 4, Age: unknownAge}, Full: true}, "peer", time.Now())
	assert.Assert(t, !c.Initialized(), "a delta of a copy that was never current must be ignored")
	c.applyDelta(Delta{Digest: Digest{Revision: 4}, Items: []Item{{Key: "a", Revision: 4}}}, "peer", time.Now())
	assert.Assert(t, !c.Initialized())
	assert.Equal(t, c.Digest().Revision, store.Revision(0))
	c.applyDelta(Delta{Digest: Digest{Revision: 4}, Full: true, Items: []Item{{Key: "a", Revision: 4}}}, "peer", time.Now())
	assert.Assert(t, c.Initialized())
}

func TestDeltaHoldsMissingChanges(t *testing.T) {
	full := newRecordingCopy(time.Now)
	full.applySnapshot(snapshotOf(9, store.Entry{Key: "a", Value: []byte("1"), Revision: 3}, store.Entry{Key: "b", Value: []byte("2"), Revision: 8}), time.Now())
	full.applyEvents([]store.Entry{{Key: "a", Revision: 12, Deleted: true}}, 12)

	delta := full.DeltaSince(Digest{Revision: 8, Age: 0})
	assert.Assert(t, !delta.Full)
	assert.DeepEqual(t, delta.Items, []Item{{Key: "a", Revision: 12, Deleted: true}})
	assert.Equal(t, len(full.DeltaSince(Digest{Revision: 12}).Items), 0)

	other := newRecordingCopy(time.Now)
	other.applyDelta(full.DeltaSince(other.Digest()), "peer", time.Now())
	assert.DeepEqual(t, other.changes, []string{"b=2 from peer"})
	assert.Equal(t, other.Digest().Revision, store.Revision(12))
}

// TestPrunedTombstonesCauseFullDelta deletes more keys than a copy keeps tombstones for, while
// another copy has seen no deletion.
func TestPrunedTombstonesCauseFullDelta(t *testing.T) {
	full, other := newRecordingCopy(time.Now), newRecordingCopy(time.Now)
	const keys = 3 * maxTombstones
	var entries []store.Entry
	for i := range keys {
		entries = append(entries, store.Entry{Key: fmt.Sprint(i), Revision: store.Revision(i + 1)})
	}
	full.applySnapshot(snapshotOf(keys, entries...), time.Now())
	other.applySnapshot(snapshotOf(keys, entries...), time.Now())
	for i := range keys {
		full.applyEvents([]store.Entry{{Key: fmt.Sprint(i), Revision: store.Revision(keys + i + 1), Deleted: true}}, store.Revision(keys+i+1))
	}
	full.mutex.Lock()
	count := len(full.entries)
	full.mutex.Unlock()
	assert.Assert(t, count <= maxTombstones, "%d", count)
	delta := full.DeltaSince(other.Digest())
	assert.Assert(t, delta.Full)
	other.applyDelta(delta, "peer", time.Now())
	assert.Equal(t, len(other.Entries()), 0)
}

// TestChangeBetweenPagesIsNotSkipped applies a list whose later page holds a newer revision
// than its first page: the watch must resume from the revision of the first page.
func TestChangeBetweenPagesIsNotSkipped(t *testing.T) {
	c := newRecordingCopy(time.Now)
	c.applySnapshot(snapshotOf(5, store.Entry{Key: "a", Revision: 4}, store.Entry{Key: "z", Revision: 8}), time.Now())
	assert.Equal(t, c.Digest().Revision, store.Revision(4), "changes between 4 and 8 may be missing")
	cursor, initialized := c.watchCursor()
	assert.Assert(t, initialized)
	assert.Equal(t, cursor, store.Revision(5))
}

// TestPeerDigestAgeIncludesWatchWait checks that the longest wait of a watch is added to the
// age in a peer's digest before the copy counts as certainly current.
func TestPeerDigestAgeIncludesWatchWait(t *testing.T) {
	now := time.Now()
	c := newRecordingCopy(func() time.Time { return now })
	sentAt := now
	c.applyDelta(Delta{Digest: Digest{Revision: 4, Age: time.Second}, Full: true}, "peer", sentAt)
	assert.Assert(t, !c.currentAsOf.After(sentAt.Add(-time.Second-MaxWatchWait)))
	c.confirmByDigest(Digest{Revision: 4, Age: 0}, time.Time{})
	assert.Assert(t, !c.currentAsOf.After(sentAt.Add(-time.Second-MaxWatchWait)), "the latency of a call is unknown, so its digests must not advance currentAsOf")
	age, known := c.Age()
	assert.Assert(t, known)
	assert.Equal(t, age, time.Duration(0))
	c.confirmByDigest(Digest{Revision: 3, Age: 0}, now.Add(time.Hour))
	assert.Assert(t, c.currentAsOf.Before(now), "the digest of a copy at another revision must be ignored")
}

// TestCopyAgeIncludesSuspension suspends the machine for 5 s, which the monotonic clock doesn't
// count: the copy must be stale at once.
func TestCopyAgeIncludesSuspension(t *testing.T) {
	var suspended time.Duration
	machine := clock.New(clock.Source{
		Read:      func() clock.Reading { return clock.Reading{Wall: time.Unix(0, 0).Add(suspended)} },
		SinceBoot: func() (time.Duration, error) { return suspended, nil },
	})
	c := NewCopy(time.Second, func([]store.Entry, string) {}, machine.Now)
	c.applySnapshot(store.Snapshot{Revision: 1}, machine.Now())
	syncer := &Syncer{Copy: c, Position: func() (int, bool) { return watchers, true }, Now: machine.Now}
	assert.Assert(t, syncer.wait() > 0)
	suspended = 5 * time.Second
	age, known := c.Age()
	assert.Assert(t, known && age == suspended, "%s", age)
	assert.Assert(t, syncer.wait() <= 0, "a read from the store is due")
}
