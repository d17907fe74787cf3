package ratelimit

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/store"
)

// mayTake reports whether the node knows its place among others for long enough.
func (k *ShardManager) mayTake() bool {
	now := k.config.Now()
	if _, known := k.config.Place(); !known || !k.config.HasLimits() {
		k.eligible = time.Time{}
		return false
	}
	if k.eligible.IsZero() {
		k.eligible = now.Add(settleDelay)
	}
	return !now.Before(k.eligible)
}

// falls reports whether the node is to take the shard: an earlier process at its own address
// holds it, or nobody does and no other node that comes first has taken it.
func (k *ShardManager) falls(number int, settled bool) bool {
	place, _ := k.config.Place()
	holds := k.HeldCount()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	held := k.shards[number]
	if k.stopped || k.owns(held) || k.config.Now().Before(held.retryAt) {
		return false
	}
	if held.lost && k.wrote(held) && k.config.Issuer.Holds(number) {
		// Whoever's hold has ended, as it was cut off, may have had a successor.
		return true
	}
	if held.revision > 0 && !held.lost && !held.released() {
		return held.Address == k.config.Address
	}
	if !settled || k.config.Now().Before(held.freeAt) {
		return false
	}
	delay := delayOf(place, number, k.config.Nodes()) + time.Duration(holds)*holdsDelay
	since := latest(latest(held.since, k.eligible), held.freeAt)
	return k.config.Now().Sub(since) >= delay
}

// delayOf returns how long the node at the place leaves a shard to others. Each shard has a
// node that takes it first, also where there are fewer nodes than shards: else four nodes hold
// all shards after 4.0 s, in place of 1.3 s.
func delayOf(place, number, nodes int) time.Duration {
	if nodes < 1 || nodes > Shards {
		nodes = Shards
	}
	distance := place - number%nodes
	if distance < 0 {
		distance += nodes
	}
	first, late := min(distance, takersFirst), max(distance-takersFirst, 0)
	return time.Duration(first)*takeDelay + time.Duration(late)*lateTakeDelay
}

// take writes the node as the shard's holder, under its lease.
func (k *ShardManager) take(ctx context.Context, number int) {
	if k.config.Now().After(k.until) {
		k.lease = store.NoLease
	}
	if k.lease == store.NoLease && (!k.grant(ctx) || !k.falls(number, true)) {
		// The grant may have told that the store came back from a copy: then it does not
		// hold for certain what nodes hold that reached it meanwhile.
		return
	}
	k.mutex.Lock()
	before := k.shards[number]
	k.shards[number].retryAt = k.config.Now().Add(retryPause)
	k.mutex.Unlock()
	from := k.idleSince(before)
	value := encode(holding{Holder: Holder{Address: k.config.Address, DatagramAddress: k.config.DatagramAddress}, Process: k.config.Process, Epoch: k.lease.Epoch})
	revision, err := k.config.Store.CompareAndSwap(ctx, k.keyOf(number), before.revision, value, k.lease)
	switch {
	case err == nil:
		k.note(number, store.Entry{Key: k.keyOf(number), Value: value, Revision: revision, Lease: k.lease})
		k.mutex.Lock()
		k.shards[number].since = from
		k.mutex.Unlock()
		k.extend()
		k.changed(number, "held", "nobody held it")
	case errors.Is(err, store.ErrLeaseLost):
		k.lease = store.NoLease
	case errors.Is(err, store.ErrUnknownOutcome):
		k.read(ctx, number)
	case errors.Is(err, store.ErrConflict) && before.lost:
		// The revision is of an earlier epoch, and the copy of the store may never have held
		// the key.
		k.read(ctx, number)
	case errors.Is(err, store.ErrConflict):
		// Another node has it: the copy of the store tells soon.
		k.mutex.Lock()
		k.shards[number].since = k.config.Now()
		k.mutex.Unlock()
	}
}

// idleSince returns the moment from which on nobody issued permits of a shard that the node
// takes in place of what the record says. A shard that was free for long may have had a
// holder meanwhile whose lease ended; one that was not has none that the swap doesn't find.
func (k *ShardManager) idleSince(before record) time.Time {
	now := k.config.Now()
	switch {
	case before.lost:
		// The node's own hold went on, or all others are over.
		return now
	case before.revision > 0 && before.Address == k.config.Address:
		return k.config.Started
	case before.seen == 0 || now.Sub(before.since) >= shardTTL:
		return now
	}
	return before.since
}

func encode(held holding) []byte {
	value, err := cbor.Marshal(held)
	if err != nil {
		// A string and a number always have a form.
		panic(err)
	}
	return value
}

// grant has the store grant the node's lease.
func (k *ShardManager) grant(ctx context.Context) bool {
	began := k.config.Now()
	lease, err := k.config.Store.GrantLease(ctx, shardTTL)
	if err != nil {
		return false
	}
	k.lease, k.until, k.renewAt = lease, began.Add(shardTTL-holdMargin), began.Add(renewAfter)
	return true
}

// read reads who holds a shard.
func (k *ShardManager) read(ctx context.Context, number int) {
	entry, err := k.config.Store.Get(ctx, k.keyOf(number))
	switch {
	case err == nil:
		k.note(number, entry)
		k.extend()
	case errors.Is(err, store.ErrNotFound):
		k.mutex.Lock()
		if k.shards[number].lost {
			k.shards[number].revision = 0
		} else {
			k.free(number)
		}
		k.mutex.Unlock()
	}
}
