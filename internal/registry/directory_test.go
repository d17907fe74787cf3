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
	syncer := &replica.Syncer{Copy: replica.NewCopy(time.Second, d.ApplyChanges, time.Now), Store: source, Prefix: homesPrefix,
		Position: func() (int, bool) { return 0, true }, Now: time.Now}
	go syncer.Run(t.Context())
	go d.Run(t.Context())
	return d
}

func awaitHomes(t *testing.T, d *Directory, done func([]*Home) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done(d.Homes("s")) {
			return poll.Success()
		}
		return poll.Continue("homes %v", d.Homes("s"))
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
}

func TestDirectoryFollowsRecords(t *testing.T) {
	ctx := context.Background()
	kv := memory.New(time.Now)
	r := startRegistrar(t, kv)
	d := startDirectory(t, kv)
	assert.NilError(t, r.Heartbeat(ctx, readyHeartbeat("i-1", 1)))
	awaitHomes(t, d, func(homes []*Home) bool { return len(homes) == 1 && homes[0].Instance == "i-1" })
	assert.NilError(t, r.Heartbeat(ctx, drainingHeartbeat("i-1", 2)))
	awaitHomes(t, d, func(homes []*Home) bool { return len(homes) == 0 })
}

func TestLapsedHomeIsKept(t *testing.T) {
	ctx := context.Background()
	kv := memory.New(time.Now)
	r := startRegistrar(t, kv)
	d := startDirectory(t, kv)
	assert.NilError(t, r.Heartbeat(ctx, readyHeartbeat("i-1", 1)))
	awaitHomes(t, d, func(homes []*Home) bool { return len(homes) == 1 })
	entry, err := kv.Get(ctx, homesPrefix+homeAddress)
	assert.NilError(t, err)
	_, err = kv.CompareAndDelete(ctx, entry.Key, entry.Revision)
	assert.NilError(t, err)
	awaitHomes(t, d, func(homes []*Home) bool { return len(homes) == 1 && !homes[0].LapsedAt.IsZero() })
}

// TestLapsedHomeIsRemovedAfterRetention removes two records: the one that is written again
// within the retention time is kept, the other is discarded.
func TestLapsedHomeIsRemovedAfterRetention(t *testing.T) {
	const back, gone = "10.0.0.2:8300", "10.0.0.3:8300"
	now := time.Now()
	d := NewDirectory(homesPrefix, homeAddress, nil, func() time.Time { return now })
	record := func(address string, revision store.Revision) store.Entry {
		return store.Entry{Key: homesPrefix + address, Revision: revision, Value: encode(Record{Instance: "i", Service: "s", Zone: "z", Address: address, Slots: 10, State: Ready})}
	}
	d.ApplyChanges([]store.Entry{record(back, 1), record(gone, 2)}, "store")
	d.ApplyChanges([]store.Entry{{Key: homesPrefix + back, Revision: 3, Deleted: true}, {Key: homesPrefix + gone, Revision: 4, Deleted: true}}, "store")
	now = now.Add(2 * time.Second)
	d.removeExpired()
	assert.Equal(t, len(d.Homes("s")), 2)
	d.ApplyChanges([]store.Entry{record(back, 5)}, "store")
	now = now.Add(time.Second)
	d.removeExpired()
	assert.Equal(t, len(d.Homes("s")), 1)
	assert.Equal(t, d.Homes("s")[0].Address, back)
}

// TestPositionsAreUnique checks that nodes with the same records compute distinct positions, and
// that a node without a record has none.
func TestPositionsAreUnique(t *testing.T) {
	addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
	seen := make(map[int]bool)
	for _, own := range addresses {
		d := NewDirectory(homesPrefix, own, nil, time.Now)
		_, known := d.Position()
		assert.Assert(t, !known)
		for i, address := range addresses {
			d.ApplyChanges([]store.Entry{{Key: homesPrefix + address, Revision: store.Revision(i + 1), Value: encode(Record{Instance: "i", Service: "s", Zone: "z", Address: address, Slots: 10, State: Ready})}}, "store")
		}
		position, known := d.Position()
		assert.Assert(t, known && position >= 0 && position < len(addresses), "position %d", position)
		assert.Assert(t, !seen[position], "position %d is assigned twice", position)
		seen[position] = true
	}
}

// compactedStore fails the first watch with ErrCompacted.
type compactedStore struct {
	store.Store
	watches atomic.Int32
	onWatch func()
}

func (c *compactedStore) Watch(ctx context.Context, prefix string, after store.Revision, handler func([]store.Entry, store.Revision)) error {
	if c.watches.Add(1) == 1 {
		c.onWatch()
		return store.ErrCompacted
	}
	return c.Store.Watch(ctx, prefix, after, handler)
}

func TestDeletionDuringWatchGapIsDetected(t *testing.T) {
	ctx := context.Background()
	kv := memory.New(time.Now)
	key := homesPrefix + homeAddress
	revision, err := kv.CompareAndSwap(ctx, key, 0, encode(Record{Instance: "i-1", Service: "s", Zone: "z", Address: homeAddress, Slots: 10, State: Ready}), store.NoLease)
	assert.NilError(t, err)
	d := startDirectory(t, &compactedStore{Store: kv, onWatch: func() {
		_, err := kv.CompareAndDelete(ctx, key, revision)
		assert.NilError(t, err)
	}})
	awaitHomes(t, d, func(homes []*Home) bool { return len(homes) == 1 && !homes[0].LapsedAt.IsZero() })
}
