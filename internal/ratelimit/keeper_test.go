package ratelimit

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// refusingStore refuses its calls while it is away for a node.
type refusingStore struct {
	store.Store
	away atomic.Bool
}

func (s *refusingStore) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if s.away.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

func (s *refusingStore) RenewLease(ctx context.Context, lease store.LeaseID) (time.Duration, error) {
	if s.away.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.RenewLease(ctx, lease)
}

// keeperFleet is keepers around one store, in virtual time.
type keeperFleet struct {
	t       *testing.T
	store   store.Store
	keepers []*testKeeper
	size    int
}

// testKeeper is the keeper of a node.
type testKeeper struct {
	*ShardManager
	store  *refusingStore
	issuer *Issuer
	stop   context.CancelFunc
}

var testTenant = &routetable.Tenant{Name: "tenant", Rate: 100, Burst: 100}

func newKeeperFleet(t *testing.T, size int) *keeperFleet {
	f := &keeperFleet{t: t, store: memory.New(time.Now), size: size}
	for place := range size {
		f.keepers = append(f.keepers, f.start(place, 1))
	}
	return f
}

func (f *keeperFleet) start(place int, process uint32) *testKeeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &testKeeper{store: &refusingStore{Store: f.store}, stop: cancel}
	k.issuer = NewIssuer(testBounds, func(string) *routetable.Tenant { return testTenant }, time.Now)
	k.ShardManager = NewShardManager(ShardManagerConfig{Address: fmt.Sprint("node-", place), Process: process, Started: time.Now(), FirstStart: process == 1, Prefix: "shards/", Store: k.store,
		Place: func() (int, bool) { return place, true }, Nodes: func() int { return f.size }, HasLimits: func() bool { return true }, Issuer: k.issuer, Now: time.Now})
	go k.Run(ctx)
	go k.follow(ctx)
	return k
}

// follow has the keeper see the store's changes late, as copies of the store do.
func (k *testKeeper) follow(ctx context.Context) {
	snapshot, err := k.store.List(ctx, "shards/")
	if err != nil {
		return
	}
	k.ApplyChanges(snapshot.Entries)
	_ = k.store.Watch(ctx, "shards/", snapshot.Revision, func(batch []store.Entry, _ store.Revision) {
		time.Sleep(300 * time.Millisecond)
		k.ApplyChanges(batch)
	})
}

// holders returns how many nodes hold each shard, and how many shards the busiest holds.
func (f *keeperFleet) holders() (counts [Shards]int, most int) {
	for _, k := range f.keepers {
		held := 0
		for number := range Shards {
			if k.issuer.Holds(number) {
				counts[number]++
				held++
			}
		}
		most = max(most, held)
	}
	return counts, most
}

// checkOnce fails if two nodes hold a shard.
func (f *keeperFleet) checkOnce() {
	f.t.Helper()
	counts, _ := f.holders()
	for number, count := range counts {
		assert.Assert(f.t, count <= 1, "shard %d has %d holders", number, count)
	}
}

// awaitAll waits until all shards are held, and returns how long that took.
func (f *keeperFleet) awaitAll(bound time.Duration) time.Duration {
	f.t.Helper()
	began := time.Now()
	for {
		f.checkOnce()
		counts, _ := f.holders()
		missing := 0
		for _, count := range counts {
			missing += 1 - count
		}
		if missing == 0 {
			return time.Since(began)
		}
		assert.Assert(f.t, time.Since(began) < bound, "%d shards without a holder", missing)
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *keeperFleet) end() {
	for _, k := range f.keepers {
		k.stop()
	}
	time.Sleep(time.Second)
}

// TestShardsSpreadOverNodes starts fleets of several sizes. Where each shard had the node of its
// own number to take it first, four nodes held all shards after 4.0 s.
func TestShardsSpreadOverNodes(t *testing.T) {
	for size, most := range map[int]int{1: Shards, 4: 7, 5: 5, 17: 3, 71: 3} {
		virtualtime.Run(t, func(t *testing.T) {
			f := newKeeperFleet(t, size)
			defer f.end()
			took := f.awaitAll(8 * time.Second)
			_, busiest := f.holders()
			t.Logf("%d nodes: all held after %s, the busiest holds %d", size, took, busiest)
			assert.Assert(t, busiest <= most, "%d nodes: %d at one", size, busiest)
			assert.Assert(t, took < 1500*time.Millisecond || size == 1, "%d nodes: all held after %s", size, took)
		})
	}
}

// TestShardFailover has a holder be lost, cut off from the store, and stopped.
func TestShardFailover(t *testing.T) {
	for name, test := range map[string]struct {
		strike func(f *keeperFleet)
		bound  time.Duration
	}{
		"lost":    {func(f *keeperFleet) { f.keepers[0].stop(); f.keepers[0].issuer = NewIssuer(testBounds, nil, time.Now) }, shardTTL + 3*time.Second},
		"cut off": {func(f *keeperFleet) { f.keepers[0].store.away.Store(true) }, shardTTL + 3*time.Second},
		"stopped": {func(f *keeperFleet) { f.keepers[0].Stop(context.Background()) }, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Run(t, func(t *testing.T) {
				f := newKeeperFleet(t, 20)
				defer f.end()
				f.awaitAll(8 * time.Second)
				test.strike(f)
				for range 200 {
					time.Sleep(10 * time.Millisecond)
					f.checkOnce()
				}
				t.Logf("all held again after %s", 2*time.Second+f.awaitAll(test.bound))
			})
		})
	}
}

// TestAProcessThatIsStartedAgainGoesOn has a holder restart: it need not wait for the lease
// of the process before it, and begins without permits.
func TestAProcessThatIsStartedAgainGoesOn(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newKeeperFleet(t, 20)
		defer f.end()
		f.awaitAll(8 * time.Second)
		f.keepers[0].stop()
		f.keepers[0] = f.start(0, 2)
		t.Logf("all held again after %s", f.awaitAll(2*time.Second))
	})
}

// TestStoreOutageKeepsHolders has the store refuse everybody for 4 s, and for
// 10 s: a hold lasts no longer than its lease, and all are back soon.
func TestStoreOutageKeepsHolders(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newKeeperFleet(t, 20)
		defer f.end()
		f.awaitAll(8 * time.Second)
		away := func(away bool) {
			for _, k := range f.keepers {
				k.store.away.Store(away)
			}
		}
		away(true)
		time.Sleep(4 * time.Second)
		f.awaitAll(time.Millisecond)
		away(false)
		time.Sleep(2 * time.Second)
		away(true)
		time.Sleep(10 * time.Second)
		counts, _ := f.holders()
		assert.Equal(t, counts, [Shards]int{})
		away(false)
		t.Logf("all held again after %s", f.awaitAll(5*time.Second))
	})
}

// TestStaleEntryDoesNotRestoreShard has a copy of the store tell of a hold that ended.
func TestStaleEntryDoesNotRestoreShard(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newKeeperFleet(t, 1)
		defer f.end()
		f.awaitAll(8 * time.Second)
		k := f.keepers[0]
		entry, err := f.store.Get(t.Context(), "shards/3")
		assert.NilError(t, err)
		k.Stop(t.Context())
		k.ApplyChanges([]store.Entry{entry})
		time.Sleep(3 * time.Second)
		assert.Assert(t, !k.issuer.Holds(3))
	})
}
