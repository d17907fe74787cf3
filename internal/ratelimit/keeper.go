package ratelimit

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/store"
)

const (
	// shardTTL is how long a shard outlasts its holder: for that long a quarter of some
	// limits is lost when a holder is. Holders bridge a store that is away for up to
	// shardTTL less renewAfter.
	shardTTL = 6 * time.Second
	// renewAfter is the time between two renewals of the lease.
	renewAfter = 1500 * time.Millisecond
	// holdMargin is how much earlier than its lease a hold ends, against clocks that run
	// at slightly different speeds.
	holdMargin = 100 * time.Millisecond
	// keeperPeriod is how often a node looks at the shards.
	keeperPeriod = 250 * time.Millisecond
	// takeDelay is by how much later each of the nodes that come first takes a shard that
	// nobody holds, so that one at a time tries: others know of a holder after about a
	// second. The others follow by lateTakeDelay. A node that holds some waits holdsDelay
	// longer for each, so that shards spread over nodes.
	takeDelay     = 800 * time.Millisecond
	takersFirst   = 3
	lateTakeDelay = 50 * time.Millisecond
	holdsDelay    = 100 * time.Millisecond
	// retryPause is the least time between two tries to take a shard.
	retryPause = 500 * time.Millisecond
	// settleDelay is how long a node knows its place before it takes any shard, so that
	// nodes that start together share them.
	settleDelay = 500 * time.Millisecond
	// callTimeout bounds the calls of one look at the store.
	callTimeout = time.Second
)

// holding is the value of a shard's key. Without an address the holder gave it up.
type holding struct {
	_ struct{} `cbor:",toarray"`
	Holder
	// Process tells the holder from earlier processes at the address.
	Process uint32
	// Epoch is that of the store in which the value was written. In a later one it came out
	// of a copy, and says nothing of who holds the shard.
	Epoch store.Epoch
}

// released reports whether the holder gave the shard up.
func (h *holding) released() bool { return h.Address == "" }

// ShardManagerConfig describes the node.
type ShardManagerConfig struct {
	// Address is the node's own, and Process tells it from earlier processes there.
	Address string
	Process uint32
	// DatagramAddress is where the node takes asks as datagrams, empty if it does not.
	DatagramAddress string
	// Started is when the process started: earlier ones issue nothing since then.
	Started time.Time
	// FirstStart tells that there was no process on any machine before.
	FirstStart bool
	// Epoch returns the newest epoch of the store that is known; nil is the first.
	Epoch func() store.Epoch
	// Prefix begins the keys of shards.
	Prefix string
	Store  store.Store
	// Place returns the node's place in an order of all nodes; false if it is not known.
	Place func() (int, bool)
	// Nodes returns the number of nodes that are known; nil stands for as many as there are
	// shards.
	Nodes func() int
	// HasLimits reports whether any tenant has a limit.
	HasLimits func() bool
	Issuer    *Issuer
	Log       *eventlog.Log
	Now       func() time.Time
}

// ShardManager takes shards that nobody holds, keeps those that the node holds, and knows the
// holders of all. It is safe for concurrent use.
type ShardManager struct {
	config ShardManagerConfig

	mutex  sync.Mutex
	shards [Shards]record
	// stopped tells that the node takes no shard any more.
	stopped bool
	// wake has the shards be looked at now.
	wake chan struct{}

	// Owned by Run: the lease of all shards that the node holds, until when it surely
	// lasts, and when to renew it.
	lease   store.LeaseID
	until   time.Time
	renewAt time.Time
	// eligible is since when the node may take shards, zero while it may not.
	eligible time.Time
}

// record is what the store says of a shard.
type record struct {
	holding
	// revision is that of the key, zero if nobody holds the shard, and lease the one that
	// the key goes with.
	revision store.Revision
	lease    store.LeaseID
	// seen is the highest revision known, that of a removal included.
	seen store.Revision
	// since is when this was first known.
	since time.Time
	// retryAt is before when the node does not try to take it.
	retryAt time.Time
	// lost tells that the store, which came back from a copy, does not hold for its holder
	// what that wrote. The holder may issue until its lease would have ended, and alone may
	// take the shard again before freeAt.
	lost   bool
	freeAt time.Time
}

// NewShardManager returns a keeper that knows no holder.
func NewShardManager(config ShardManagerConfig) *ShardManager {
	if config.Nodes == nil {
		config.Nodes = func() int { return Shards }
	}
	if config.Epoch == nil {
		config.Epoch = func() store.Epoch { return 0 }
	}
	k := &ShardManager{config: config, wake: make(chan struct{}, 1)}
	if !config.FirstStart {
		k.awaitHolders(config.Started)
	}
	return k
}

// Holder returns the node that holds the shard, false if none is known.
func (k *ShardManager) Holder(shard int) (holder Holder, known bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	held := &k.shards[shard]
	return held.Holder, (held.revision > 0 || held.lost) && !held.released()
}

// ApplyChanges takes changes of the store; keys without the prefix are passed over.
func (k *ShardManager) ApplyChanges(entries []store.Entry) {
	for _, entry := range entries {
		if number, ours := k.numberOf(entry.Key); ours {
			k.note(number, entry)
		}
	}
}

func (k *ShardManager) numberOf(key string) (int, bool) {
	text, found := strings.CutPrefix(key, k.config.Prefix)
	number, err := strconv.Atoi(text)
	return number, found && err == nil && number >= 0 && number < Shards
}

func (k *ShardManager) keyOf(number int) string { return k.config.Prefix + strconv.Itoa(number) }

// note takes what the store holds of a shard.
func (k *ShardManager) note(number int, entry store.Entry) {
	var held holding
	if !entry.Deleted {
		if err := cbor.Unmarshal(entry.Value, &held); err != nil {
			k.config.Log.Record(eventlog.Event{Kind: eventlog.RecordRejected, Peer: entry.Key, Reason: err.Error()})
			return
		}
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	known := &k.shards[number]
	if entry.Revision <= known.seen {
		return
	}
	if k.loses(known, &held, entry) {
		return
	}
	*known = record{holding: held, seen: entry.Revision, since: k.config.Now()}
	if !entry.Deleted {
		known.revision, known.lease = entry.Revision, entry.Lease
	}
	if known.Address == k.config.Address && !k.owns(*known) {
		// An earlier process held it: the node goes on with it at once.
		k.signal()
	}
}

// loses takes what a store that came back from a copy says of a shard, if that is no word of
// its holder. Who held it before goes on for as long as its lease would have lasted.
func (k *ShardManager) loses(known *record, held *holding, entry store.Entry) bool {
	restored := !entry.Deleted && held.Epoch < entry.Revision.Epoch()
	absent := entry.Deleted && entry.Revision.Epoch() > known.seen.Epoch()
	if !restored && !absent {
		if entry.Deleted && known.lost {
			// What the copy held has ended as well.
			known.revision, known.seen = 0, entry.Revision
			return true
		}
		return false
	}
	if !known.lost {
		known.lost, known.since = true, k.config.Now()
		known.freeAt = latest(known.freeAt, known.since.Add(shardTTL))
	}
	known.seen, known.revision = entry.Revision, 0
	if restored {
		known.revision = entry.Revision
	}
	k.signal()
	return true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// awaitHolders has the node take no shard, but those that it held, before the last lease is
// over that may have been granted by a moment.
func (k *ShardManager) awaitHolders(moment time.Time) {
	for number := range k.shards {
		k.shards[number].freeAt = latest(k.shards[number].freeAt, moment.Add(shardTTL))
	}
}

// HandleStoreRestored takes that the store came back from a copy: it may not hold the shards any
// more that nodes took since the copy was made, and gives out the numbers of their leases
// again. A shard that nobody is known to hold may have a holder whose word was lost.
func (k *ShardManager) HandleStoreRestored() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.config.Now()
	k.awaitHolders(now)
	for number := range k.shards {
		held := &k.shards[number]
		if held.revision > 0 && !held.lost {
			held.lost, held.since = true, now
		}
	}
	k.signal()
}

func (k *ShardManager) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// free notes that nobody holds the shard.
func (k *ShardManager) free(number int) {
	k.shards[number] = record{seen: k.shards[number].seen, since: k.config.Now(), freeAt: k.shards[number].freeAt}
}

// Run takes and keeps shards until the context ends.
func (k *ShardManager) Run(ctx context.Context) {
	ticker := time.NewTicker(keeperPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-k.wake:
		}
		k.look(ctx)
	}
}

// Stop gives up the shards that the node holds, so that others take them at once.
func (k *ShardManager) Stop(ctx context.Context) {
	k.mutex.Lock()
	k.stopped = true
	shards := k.shards
	k.mutex.Unlock()
	for number, held := range shards {
		k.config.Issuer.Release(number)
		if !k.owns(held) {
			continue
		}
		if _, err := k.config.Store.CompareAndSwap(ctx, k.keyOf(number), held.revision, encode(holding{}), held.lease); err != nil {
			// Its lease ends by itself.
			k.changed(number, "lost", err.Error())
			continue
		}
		k.changed(number, "lost", "the node stops")
	}
}

// look renews the lease if that is due and takes shards that fall to the node.
func (k *ShardManager) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.renew(ctx)
	settled := k.mayTake()
	for number := range Shards {
		if k.falls(number, settled) {
			k.take(ctx, number)
		}
	}
}

// owns reports whether this process holds the shard, as far as the store told.
func (k *ShardManager) owns(held record) bool {
	return held.revision > 0 && !held.lost && k.wrote(held)
}

// wrote reports whether this process was the last that is known to have held the shard.
func (k *ShardManager) wrote(held record) bool {
	return held.Address == k.config.Address && held.Process == k.config.Process
}

// HeldCount returns how many shards the node holds.
func (k *ShardManager) HeldCount() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	count := 0
	for _, held := range k.shards {
		if k.owns(held) {
			count++
		}
	}
	return count
}

// renew keeps the lease of the shards that the node holds.
func (k *ShardManager) renew(ctx context.Context) {
	if k.lease.Epoch < k.config.Epoch() {
		// Nothing of an earlier epoch is renewed. What the node holds it may hold until then.
		k.lease = store.NoLease
	}
	if k.lease == store.NoLease || k.config.Now().Before(k.renewAt) || k.HeldCount() == 0 {
		return
	}
	began := k.config.Now()
	k.renewAt = began.Add(renewAfter / 4)
	left, err := k.config.Store.RenewLease(ctx, k.lease)
	switch {
	case errors.Is(err, store.ErrLeaseLost):
		k.lose("the lease ended")
	case err == nil:
		k.until, k.renewAt = began.Add(left-holdMargin), began.Add(renewAfter)
		k.extend()
	}
}

// extend has the issuer hold what the lease covers.
func (k *ShardManager) extend() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.stopped {
		return
	}
	for number, held := range k.shards {
		if k.owns(held) && held.lease == k.lease {
			k.config.Issuer.Hold(number, held.since, k.until)
		}
	}
}

// lose notes that the store no longer holds the node's shards for it.
func (k *ShardManager) lose(reason string) {
	k.lease = store.NoLease
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for number, held := range k.shards {
		if k.owns(held) {
			k.config.Issuer.Release(number)
			k.free(number)
			k.changed(number, "lost", reason)
		}
	}
}

func (k *ShardManager) changed(number int, outcome, reason string) {
	k.config.Log.Record(eventlog.Event{Kind: eventlog.ShardChanged, Count: number, Outcome: outcome, Reason: reason})
}
