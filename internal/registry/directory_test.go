package registry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
)

func startDirectory(t *testing.T, source store.Store) *Directory {
	t.Helper()
	d := NewDirectory(homesPrefix, homeAddress, nil, time.Now)
	keeper := &replica.Keeper{Copy: replica.NewCopy(time.Second, d.ApplyChanges, time.Now), Store: source, Prefix: homesPrefix,
		Place: func() (int, bool) { return 0, true }, Now: time.Now}
	go keeper.Run(t.Context())
	go d.Run(t.Context())
	return d
}

func awaitHomes(t *testing.T, d *Directory, accept func([]*Home) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if accept(d.Homes("s")) {
			return poll.Success()
		}
		return poll.Continue("homes %v", d.Homes("s"))
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
}

func TestTheDirectoryFollowsRecords(t *testing.T) {
	ctx := context.Background()
	target := memory.New(time.Now)
	r := startRegistrar(t, target)
	d := startDirectory(t, target)
	assert.NilError(t, r.Heartbeat(ctx, ready("i-1", 1)))
	awaitHomes(t, d, func(homes []*Home) bool { return len(homes) == 1 && homes[0].Instance == "i-1" })
	assert.NilError(t, r.Heartbeat(ctx, draining("i-1", 2)))
	awaitHomes(t, d, func(homes []*Home) bool { return len(homes) == 0 })
}

func TestLapsedHomeIsKept(t *testing.T) {
	ctx := context.Background()
	target := memory.New(time.Now)
	r := startRegistrar(t, target)
	d := startDirectory(t, target)
	assert.NilError(t, r.Heartbeat(ctx, ready("i-1", 1)))
	awaitHomes(t, d, func(homes []*Home) bool { return len(homes) == 1 })
	entry, err := target.Get(ctx, homesPrefix+homeAddress)
	assert.NilError(t, err)
	_, err = target.CompareAndDelete(ctx, entry.Key, entry.Revision)
	assert.NilError(t, err)
	awaitHomes(t, d, func(homes []*Home) bool { return len(homes) == 1 && !homes[0].LapsedAt.IsZero() })
}

// TestLapsedHomeIsRemovedAfterRetention has records disappear: one is
// written anew and stays, one isn't and goes.
func TestLapsedHomeIsRemovedAfterRetention(t *testing.T) {
	now := time.Now()
	d := NewDirectory(homesPrefix, homeAddress, nil, func() time.Time { return now })
	record := func(address string, revision store.Revision) store.Entry {
		return store.Entry{Key: homesPrefix + address, Revision: revision, Value: encode(Record{Instance: "i", Service: "s", Address: address, State: Ready})}
	}
	d.ApplyChanges([]store.Entry{record("back", 1), record("gone", 2)}, "store")
	d.ApplyChanges([]store.Entry{{Key: homesPrefix + "back", Revision: 3, Deleted: true}, {Key: homesPrefix + "gone", Revision: 4, Deleted: true}}, "store")
	now = now.Add(2 * time.Second)
	d.expire()
	assert.Equal(t, len(d.Homes("s")), 2)
	d.ApplyChanges([]store.Entry{record("back", 5)}, "store")
	now = now.Add(time.Second)
	d.expire()
	assert.Equal(t, len(d.Homes("s")), 1)
	assert.Equal(t, d.Homes("s")[0].Address, "back")
}

// TestEveryNodeHasItsOwnPlace has nodes that know the same records find places
// that differ, and a node without a record none.
func TestEveryNodeHasItsOwnPlace(t *testing.T) {
	addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
	taken := make(map[int]bool)
	for _, own := range addresses {
		d := NewDirectory(homesPrefix, own, nil, time.Now)
		_, known := d.Place()
		assert.Assert(t, !known)
		for i, address := range addresses {
			d.ApplyChanges([]store.Entry{{Key: homesPrefix + address, Revision: store.Revision(i + 1), Value: encode(Record{Instance: "i", Service: "s", Address: address, State: Ready})}}, "store")
		}
		place, known := d.Place()
		assert.Assert(t, known && place >= 0 && place < len(addresses), "place %d", place)
		assert.Assert(t, !taken[place], "place %d is taken", place)
		taken[place] = true
	}
}

// compactedStore ends the first watch as if the history were lost.
type compactedStore struct {
	store.Store
	watches atomic.Int32
	deleted func()
}

func (c *compactedStore) Watch(ctx context.Context, prefix string, after store.Revision, handler func([]store.Entry, store.Revision)) error {
	if c.watches.Add(1) == 1 {
		c.deleted()
		return store.ErrCompacted
	}
	return c.Store.Watch(ctx, prefix, after, handler)
}

func TestDeletionDuringWatchGapIsDetected(t *testing.T) {
	ctx := context.Background()
	held := memory.New(time.Now)
	key := homesPrefix + homeAddress
	revision, err := held.CompareAndSwap(ctx, key, 0, encode(Record{Instance: "i-1", Service: "s", Address: homeAddress, State: Ready}), store.NoLease)
	assert.NilError(t, err)
	d := startDirectory(t, &compactedStore{Store: held, deleted: func() {
		_, err := held.CompareAndDelete(ctx, key, revision)
		assert.NilError(t, err)
	}})
	awaitHomes(t, d, func(homes []*Home) bool { return len(homes) == 1 && !homes[0].LapsedAt.IsZero() })
}
