package ratelimit

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/epoch"
	"github.com/lugspur/lugspur/internal/store/memory"
	"github.com/lugspur/lugspur/internal/store/storetest"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// restores is the number of seeded schedules that are played, firstRestore the first seed.
var (
	restores     = flag.Int("restores", 12, "seeded schedules of a store that comes back from copies to play")
	firstRestore = flag.Uint64("first-restore", 1, "seed of the first such schedule")
)

// restoresThatFailed are the seeds of schedules that showed two holders of a shard: a node that
// was cut off learned of the return by the very call that took it (85, 7576), or a holder whose
// hold had ended took its shard up again beside its successor (134, 2934, 5322).
var restoresThatFailed = []uint64{85, 134, 2934, 5322, 7576}

// restoredKeeper is one process with its keeper of shards, kept by a copy of the store.
type restoredKeeper struct {
	*ShardManager
	issuer *Issuer
	away   atomic.Bool
	stop   context.CancelFunc
}

// restoredFleet is keepers around a store that comes back from copies, in virtual time.
type restoredFleet struct {
	t       *testing.T
	store   *memory.Store
	down    atomic.Bool
	keepers []*restoredKeeper
	started uint32
	size    int
	copies  []*memory.Backup
}

func newRestoredFleet(t *testing.T, size int) *restoredFleet {
	f := &restoredFleet{t: t, store: memory.New(time.Now), size: size}
	for place := range size {
		f.keepers = append(f.keepers, f.start(place, true))
	}
	return f
}

func (f *restoredFleet) start(place int, first bool) *restoredKeeper {
	f.started++
	ctx, cancel := context.WithCancel(context.Background())
	k := &restoredKeeper{stop: cancel}
	epochs := epoch.NewTracker()
	way := &storetest.Restored{Store: f.store, Epochs: epochs, Refused: func() bool { return k.away.Load() || f.down.Load() }}
	k.issuer = NewIssuer(testBounds, func(string) *routetable.Tenant { return testTenant }, time.Now)
	k.ShardManager = NewShardManager(ShardManagerConfig{Address: fmt.Sprint("node-", place), Process: f.started, Started: time.Now(), FirstStart: first, Epoch: epochs.Current,
		Prefix: "shards/", Store: way, Place: func() (int, bool) { return place, true }, Nodes: func() int { return f.size }, HasLimits: func() bool { return true }, Issuer: k.issuer, Now: time.Now})
	epochs.OnChange(func(epoch.Change) { k.HandleStoreRestored() })
	held := replica.NewCopy(time.Second, func(entries []store.Entry, _ string) { k.ApplyChanges(entries) }, time.Now)
	keeper := &replica.Syncer{Copy: held, Store: way, Prefix: "shards/", Position: func() (int, bool) { return 0, true }, BatchDelay: 800 * time.Millisecond, Now: time.Now}
	go keeper.Run(ctx)
	go k.Run(ctx)
	return k
}

func (f *restoredFleet) restore(copied *memory.Backup, away time.Duration) {
	f.down.Store(true)
	f.sleep(away)
	f.store.Restore(copied)
	f.down.Store(false)
}

// sleep looks at the holders meanwhile.
func (f *restoredFleet) sleep(pause time.Duration) {
	f.t.Helper()
	for until := time.Now().Add(pause); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		f.held()
	}
}

// held returns how many shards have a holder, and fails if one has two.
func (f *restoredFleet) held() int {
	f.t.Helper()
	count := 0
	for number := range Shards {
		holders := 0
		for _, k := range f.keepers {
			if k != nil && k.issuer.Holds(number) {
				holders++
			}
		}
		if holders > 1 {
			f.t.Fatalf("shard %d has %d holders", number, holders)
		}
		count += holders
	}
	return count
}

func (f *restoredFleet) awaitAll(bound time.Duration) time.Duration {
	f.t.Helper()
	began := time.Now()
	for f.held() < Shards {
		assert.Assert(f.t, time.Since(began) < bound, "%d shards have a holder", f.held())
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

func (f *restoredFleet) end() {
	for _, k := range f.keepers {
		if k != nil {
			k.stop()
		}
	}
	time.Sleep(time.Minute)
}

// TestHoldersSurviveStoreRestore has the store lose all shards, or half of them, while nodes
// hold them: they go on without a gap, and no other node takes one.
func TestHoldersSurviveStoreRestore(t *testing.T) {
	for _, settled := range []time.Duration{0, 2 * time.Second, 20 * time.Second} {
		virtualtime.Run(t, func(t *testing.T) {
			f := newRestoredFleet(t, 17)
			defer f.end()
			f.sleep(settled)
			copied := f.store.Backup()
			f.sleep(20*time.Second - settled)
			f.awaitAll(time.Second)
			f.restore(copied, 2*time.Second)
			for range 600 {
				time.Sleep(20 * time.Millisecond)
				assert.Equal(t, f.held(), Shards)
			}
		})
	}
}

// TestAHolderThatDiedBesideARestoredStoreIsReplaced has a holder die while the store is away:
// its shards are taken once its last lease is over.
func TestAHolderThatDiedBesideARestoredStoreIsReplaced(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newRestoredFleet(t, 17)
		defer f.end()
		copied := f.store.Backup()
		f.sleep(20 * time.Second)
		f.keepers[0].stop()
		f.keepers[0] = nil
		f.restore(copied, time.Second)
		t.Logf("all held again after %s", f.awaitAll(shardTTL+4*time.Second))
	})
}

// TestShardHasSingleHolderAfterStoreRestore plays seeded schedules of a store that comes
// back from copies up to eight seconds old, also twice in a row, while nodes are killed,
// started and refused: two nodes never issue permits of a shard at once, and all shards have
// a holder once it is calm.
func TestShardHasSingleHolderAfterStoreRestore(t *testing.T) {
	for _, seed := range restoresThatFailed {
		virtualtime.Run(t, func(t *testing.T) { playShards(t, seed) })
	}
	for seed := *firstRestore; seed < *firstRestore+uint64(*restores); seed++ {
		virtualtime.Run(t, func(t *testing.T) { playShards(t, seed) })
	}
}

func playShards(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	f := newRestoredFleet(t, 5+random.IntN(16))
	defer f.end()
	defer func() {
		if t.Failed() {
			t.Logf("seed %d", seed)
		}
	}()
	f.sleep(time.Duration(random.IntN(10)) * time.Second)
	for range 60 {
		f.sleep(200 * time.Millisecond)
		f.act(random)
	}
	for i, k := range f.keepers {
		if k == nil {
			f.keepers[i] = f.start(i, false)
		}
		f.keepers[i].away.Store(false)
	}
	f.awaitAll(20 * time.Second)
}

func (f *restoredFleet) act(random *rand.Rand) {
	f.copies = append(f.copies, f.store.Backup())
	i := random.IntN(len(f.keepers))
	k := f.keepers[i]
	switch action := random.IntN(12); {
	case action == 0:
		recent := f.copies[max(0, len(f.copies)-40):]
		f.restore(recent[random.IntN(len(recent))], time.Duration(random.IntN(2000))*time.Millisecond)
	case action > 5:
	case k == nil:
		f.keepers[i] = f.start(i, false)
	case action < 3:
		k.stop()
		f.keepers[i] = nil
	default:
		k.away.Store(!k.away.Load())
	}
}
