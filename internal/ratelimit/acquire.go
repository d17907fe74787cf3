package ratelimit

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/store"
)

// settled reports whether the node has known its position for at least settleDelay while a
// tenant has a limit.
func (m *ShardManager) settled() bool {
	now := m.config.Now()
	if _, known := m.config.Position(); !known || !m.config.HasLimits() {
		m.eligibleAt = time.Time{}
		return false
	}
	if m.eligibleAt.IsZero() {
		m.eligibleAt = now.Add(settleDelay)
	}
	return !now.Before(m.eligibleAt)
}

// shouldAcquire reports whether the node is to acquire the shard: an earlier process at its
// address holds it, or it has no holder and the delay of this node has passed.
func (m *ShardManager) shouldAcquire(number int, settled bool) bool {
	position, _ := m.config.Position()
	heldCount := m.HeldCount()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.shards[number]
	if m.stopped || m.owns(state) || m.config.Now().Before(state.retryAt) {
		return false
	}
	if state.lost && m.wasHolder(state) && m.config.Issuer.Holds(number) {
		// The node still holds the shard. Once its hold has ended, for example in a partition, another
		// node may have acquired the shard.
		return true
	}
	if state.revision > 0 && !state.lost && !state.released() {
		return state.Address == m.config.Address
	}
	if !settled || m.config.Now().Before(state.freeAt) {
		return false
	}
	delay := acquireDelayFor(position, number, m.config.Nodes()) + time.Duration(heldCount)*perShardDelay
	since := latest(latest(state.since, m.eligibleAt), state.freeAt)
	return m.config.Now().Sub(since) >= delay
}

// acquireDelayFor returns how long the node at the position waits before it acquires a shard
// without a holder. Each shard has a candidate that does not wait, also with fewer nodes than
// shards: otherwise four nodes hold all shards after 4.0 s instead of 1.3 s.
func acquireDelayFor(position, number, nodes int) time.Duration {
	if nodes < 1 || nodes > Shards {
		nodes = Shards
	}
	distance := position - number%nodes
	if distance < 0 {
		distance += nodes
	}
	early, remaining := min(distance, earlyCandidates), max(distance-earlyCandidates, 0)
	return time.Duration(early)*acquireDelay + time.Duration(remaining)*lateAcquireDelay
}

// acquire writes the node as the holder of the shard, under its lease.
func (m *ShardManager) acquire(ctx context.Context, number int) {
	if m.config.Now().After(m.leaseUntil) {
		m.lease = store.NoLease
	}
	if m.lease == store.NoLease && (!m.grantLease(ctx) || !m.shouldAcquire(number, true)) {
		// Granting the lease may have revealed that the store was restored from a backup. The
		// store may then lack the assignments of nodes that still hold shards, so that this node
		// must not acquire them yet.
		return
	}
	m.mutex.Lock()
	previous := m.shards[number]
	m.shards[number].retryAt = m.config.Now().Add(acquireRetryDelay)
	m.mutex.Unlock()
	idleSince := m.idleSince(previous)
	value := encode(assignment{Holder: Holder{Address: m.config.Address, DatagramAddress: m.datagramAddress()}, Process: m.config.Process, Epoch: m.lease.Epoch})
	revision, err := m.config.Store.CompareAndSwap(ctx, m.keyOf(number), previous.revision, value, m.lease)
	switch {
	case err == nil:
		m.applyEntry(number, store.Entry{Key: m.keyOf(number), Value: value, Revision: revision, Lease: m.lease})
		m.mutex.Lock()
		m.shards[number].since = idleSince
		m.mutex.Unlock()
		m.extendHolds()
		m.logChange(number, "held", "nobody held it")
	case errors.Is(err, store.ErrLeaseLost):
		m.lease = store.NoLease
	case errors.Is(err, store.ErrUnknownOutcome):
		m.readShard(ctx, number)
	case errors.Is(err, store.ErrConflict) && previous.lost:
		// The revision is of an earlier epoch, and the restored store may never have had the
		// key.
		m.readShard(ctx, number)
	case errors.Is(err, store.ErrConflict):
		// Another node holds it; the local copy of the store will show it soon.
		m.mutex.Lock()
		m.shards[number].since = m.config.Now()
		m.mutex.Unlock()
	}
}

// idleSince returns the time since which no node has issued permits of a shard that the node
// acquires in place of the given state. A shard that was free for shardTTL or longer may have
// had a holder in the meantime whose lease ended. If it was free for less, the compare-and-swap
// detects any holder in between.
func (m *ShardManager) idleSince(previous shardState) time.Time {
	now := m.config.Now()
	switch {
	case previous.lost:
		// The hold of this node has continued, or all other holds have ended.
		return now
	case previous.revision > 0 && previous.Address == m.config.Address:
		return m.config.Started
	case previous.lastRevision == 0 || now.Sub(previous.since) >= shardTTL:
		return now
	}
	return previous.since
}

func encode(state assignment) []byte {
	value, err := cbor.Marshal(state)
	if err != nil {
		// Unreachable: all fields of an assignment can be encoded.
		panic(err)
	}
	return value
}

// grantLease obtains a new lease for the node from the store.
func (m *ShardManager) grantLease(ctx context.Context) bool {
	started := m.config.Now()
	lease, err := m.config.Store.GrantLease(ctx, shardTTL)
	if err != nil {
		return false
	}
	m.lease, m.leaseUntil, m.renewAt = lease, started.Add(shardTTL-leaseMargin), started.Add(renewInterval)
	return true
}

// readShard reads the holder of a shard from the store.
func (m *ShardManager) readShard(ctx context.Context, number int) {
	entry, err := m.config.Store.Get(ctx, m.keyOf(number))
	switch {
	case err == nil:
		m.applyEntry(number, entry)
		m.extendHolds()
	case errors.Is(err, store.ErrNotFound):
		m.mutex.Lock()
		if m.shards[number].lost {
			m.shards[number].revision = 0
		} else {
			m.markFree(number)
		}
		m.mutex.Unlock()
	}
}

func (m *ShardManager) datagramAddress() string {
	if m.config.DatagramAddress == nil {
		return ""
	}
	return m.config.DatagramAddress()
}
