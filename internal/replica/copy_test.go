package replica

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/store"
)

// taken is a copy that notes what it is told.
type taken struct {
	*Copy
	changes []string
}

func newTaken(now func() time.Time) *taken {
	t := &taken{}
	t.Copy = NewCopy(staleAfter, func(entries []store.Entry, source string) {
		for _, entry := range entries {
			t.changes = append(t.changes, fmt.Sprintf("%s=%s from %s", entry.Key, entry.Value, source))
		}
	}, now)
	return t
}

func snapshotOf(revision store.Revision, entries ...store.Entry) store.Snapshot {
	return store.Snapshot{Revision: revision, Entries: entries}
}

func TestOlderChangesOfAKeyAreNotTaken(t *testing.T) {
	c := newTaken(time.Now)
	c.takeSnapshot(snapshotOf(9, store.Entry{Key: "a", Value: []byte("new"), Revision: 7}), time.Now())
	c.takeEvents([]store.Entry{{Key: "a", Value: []byte("old"), Revision: 5}}, 9)
	c.takeDelta(Delta{Digest: Digest{Revision: 8}, Items: []Item{{Key: "a", Value: []byte("older"), Revision: 3}, {Key: "b", Value: []byte("x"), Revision: 8}}}, "peer", time.Now())
	assert.DeepEqual(t, c.changes, []string{"a=new from store", "b=x from peer"})
	assert.Equal(t, c.Digest().Revision, store.Revision(8))
}

// TestAPeerThatIsBehindChangesNothing has a peer tell an old state as its whole
// one.
func TestAPeerThatIsBehindChangesNothing(t *testing.T) {
	c := newTaken(time.Now)
	c.takeSnapshot(snapshotOf(9, store.Entry{Key: "a", Value: []byte("1"), Revision: 9}), time.Now())
	c.takeDelta(Delta{Digest: Digest{Revision: 4}, Full: true}, "peer", time.Now())
	assert.Equal(t, len(c.Entries()), 1)
	c.takeDelta(Delta{Digest: Digest{Revision: 12}, Full: true}, "peer", time.Now())
	assert.Equal(t, len(c.Entries()), 0)
}

// TestAnEmptyCopyTakesOnlyAWholeOne has a part of a state come to a copy that
// lacks the rest.
func TestAnEmptyCopyTakesOnlyAWholeOne(t *testing.T) {
	c := newTaken(time.Now)
	c.takeDelta(Delta{Digest: Digest{Revision: 4, Age: unknownAge}, Full: true}, "peer", time.Now())
	assert.Assert(t, !c.Initialized(), "a peer that was never current knows nothing")
	c.takeDelta(Delta{Digest: Digest{Revision: 4}, Items: []Item{{Key: "a", Revision: 4}}}, "peer", time.Now())
	assert.Assert(t, !c.Initialized())
	assert.Equal(t, c.Digest().Revision, store.Revision(0))
	c.takeDelta(Delta{Digest: Digest{Revision: 4}, Full: true, Items: []Item{{Key: "a", Revision: 4}}}, "peer", time.Now())
	assert.Assert(t, c.Initialized())
}

func TestADeltaHoldsWhatTheOtherLacks(t *testing.T) {
	full := newTaken(time.Now)
	full.takeSnapshot(snapshotOf(9, store.Entry{Key: "a", Value: []byte("1"), Revision: 3}, store.Entry{Key: "b", Value: []byte("2"), Revision: 8}), time.Now())
	full.takeEvents([]store.Entry{{Key: "a", Revision: 12, Deleted: true}}, 12)

	delta := full.Since(Digest{Revision: 8, Age: 0})
	assert.Assert(t, !delta.Full)
	assert.DeepEqual(t, delta.Items, []Item{{Key: "a", Revision: 12, Deleted: true}})
	assert.Equal(t, len(full.Since(Digest{Revision: 12}).Items), 0)

	other := newTaken(time.Now)
	other.takeDelta(full.Since(other.Digest()), "peer", time.Now())
	assert.DeepEqual(t, other.changes, []string{"b=2 from peer"})
	assert.Equal(t, other.Digest().Revision, store.Revision(12))
}

// TestForgottenDeletionsAreToldByAbsence has more keys deleted than a copy
// remembers, while another copy heard of none.
func TestForgottenDeletionsAreToldByAbsence(t *testing.T) {
	full, other := newTaken(time.Now), newTaken(time.Now)
	const keys = 3 * maxDeleted
	var entries []store.Entry
	for i := range keys {
		entries = append(entries, store.Entry{Key: fmt.Sprint(i), Revision: store.Revision(i + 1)})
	}
	full.takeSnapshot(snapshotOf(keys, entries...), time.Now())
	other.takeSnapshot(snapshotOf(keys, entries...), time.Now())
	for i := range keys {
		full.takeEvents([]store.Entry{{Key: fmt.Sprint(i), Revision: store.Revision(keys + i + 1), Deleted: true}}, store.Revision(keys+i+1))
	}
	full.mutex.Lock()
	remembered := len(full.entries)
	full.mutex.Unlock()
	assert.Assert(t, remembered <= maxDeleted, "%d", remembered)
	delta := full.Since(other.Digest())
	assert.Assert(t, delta.Full)
	other.takeDelta(delta, "peer", time.Now())
	assert.Equal(t, len(other.Entries()), 0)
}

// TestAChangeBetweenPagesIsNotSkipped has a list whose later page shows a newer
// change than the first one's revision: watching goes on from the first page's.
func TestAChangeBetweenPagesIsNotSkipped(t *testing.T) {
	c := newTaken(time.Now)
	c.takeSnapshot(snapshotOf(5, store.Entry{Key: "a", Revision: 4}, store.Entry{Key: "z", Revision: 8}), time.Now())
	assert.Equal(t, c.Digest().Revision, store.Revision(4), "what changed between 4 and 8 may be missing")
	cursor, filled := c.position()
	assert.Assert(t, filled)
	assert.Equal(t, cursor, store.Revision(5))
}

// TestWhatPeersTellProvesOnlyEarlierMoments has a peer whose claim may be too new
// by the wait of a watch.
func TestWhatPeersTellProvesOnlyEarlierMoments(t *testing.T) {
	now := time.Now()
	c := newTaken(func() time.Time { return now })
	asked := now
	c.takeDelta(Delta{Digest: Digest{Revision: 4, Age: time.Second}, Full: true}, "peer", asked)
	assert.Assert(t, !c.proved.After(asked.Add(-time.Second-MaxWatchWait)))
	c.heard(Digest{Revision: 4, Age: 0}, time.Time{})
	assert.Assert(t, !c.proved.After(asked.Add(-time.Second-MaxWatchWait)), "how long a call was under way is not known")
	age, known := c.Age()
	assert.Assert(t, known)
	assert.Equal(t, age, time.Duration(0))
	c.heard(Digest{Revision: 3, Age: 0}, now.Add(time.Hour))
	assert.Assert(t, c.proved.Before(now), "a peer that holds something else proves nothing")
}

// TestACopyIsAsOldAsItIsAfterASuspension has the machine be suspended for 5 s, which its
// steady clock doesn't count: the copy is stale at once.
func TestACopyIsAsOldAsItIsAfterASuspension(t *testing.T) {
	var suspended time.Duration
	machine := clock.New(clock.Source{
		Read:      func() clock.Reading { return clock.Reading{Wall: time.Unix(0, 0).Add(suspended)} },
		SinceBoot: func() (time.Duration, error) { return suspended, nil },
	})
	held := NewCopy(time.Second, func([]store.Entry, string) {}, machine.Now)
	held.takeSnapshot(store.Snapshot{Revision: 1}, machine.Now())
	keeper := &Syncer{Copy: held, Position: func() (int, bool) { return watchers, true }, Now: machine.Now}
	assert.Assert(t, keeper.wait() > 0)
	suspended = 5 * time.Second
	age, known := held.Age()
	assert.Assert(t, known && age == suspended, "%s", age)
	assert.Assert(t, keeper.wait() <= 0, "the store is asked now")
}
