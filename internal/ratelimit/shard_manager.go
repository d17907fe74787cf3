package ratelimit

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/netaddress"
	"github.com/lugspur/lugspur/internal/store"
)

const (
	// shardTTL is the lease duration of shards: for that long a quarter of some limits is
	// unavailable after a holder has failed. Holders keep their shards during store outages of up
	// to shardTTL less renewInterval.
	shardTTL = 6 * time.Second
	// renewInterval is the time between two renewals of the lease.
	renewInterval = 1500 * time.Millisecond
	// leaseMargin is how much earlier than its lease a hold ends, as a margin for clock drift.
	leaseMargin = 100 * time.Millisecond
	// checkInterval is how often a node checks the shards.
	checkInterval = 250 * time.Millisecond
	// acquireDelay is the additional delay after which each of the earlyCandidates acquires a shard
	// without a holder, so that only one tries at a time: other nodes read a new holder from the
	// store after about a second. Further candidates follow by lateAcquireDelay each. A node waits
	// perShardDelay longer for each shard that it already holds, so that shards are distributed
	// over nodes.
	acquireDelay     = 800 * time.Millisecond
	earlyCandidates  = 3
	lateAcquireDelay = 50 * time.Millisecond
	perShardDelay    = 100 * time.Millisecond
	// acquireRetryDelay is the least time between two attempts to acquire a shard.
	acquireRetryDelay = 500 * time.Millisecond
	// settleDelay is how long a node must know its position before it acquires a shard, so that
	// nodes that start together share them.
	settleDelay = 500 * time.Millisecond
	// storeTimeout bounds the store calls of one check.
	storeTimeout = time.Second
)

// assignment is the stored value of a shard. An empty address means that the holder released the
// shard.
type assignment struct {
	_ struct{} `cbor:",toarray"`
	Holder
	// Process distinguishes the holder from earlier processes at the address.
	Process uint32
	// Epoch is the store epoch in which the value was written. In a later epoch the value comes
	// from a backup and does not show which node holds the shard.
	Epoch store.Epoch
}

// released reports whether the holder released the shard.
func (a *assignment) released() bool { return a.Address == "" }

// errInvalidAssignment means that an entry was not written by a holder.
var errInvalidAssignment = errors.New("no holder of a shard")

// decodeAssignment decodes the entry of a shard. An entry of another writer may have any content and
// must not name a holder. Holders write under a lease: an entry without one would never lapse.
func decodeAssignment(entry store.Entry) (assignment, error) {
	var state assignment
	if err := cbor.Unmarshal(entry.Value, &state); err != nil {
		return assignment{}, err
	}
	if state.released() {
		return assignment{}, nil
	}
	if entry.Lease == store.NoLease || state.Epoch > store.MaxEpoch {
		return assignment{}, errInvalidAssignment
	}
	if err := netaddress.Validate(state.Address); err != nil {
		return assignment{}, fmt.Errorf("%w: address: %w", errInvalidAssignment, err)
	}
	if state.DatagramAddress != "" && netaddress.Validate(state.DatagramAddress) != nil {
		return assignment{}, fmt.Errorf("%w: datagram address", errInvalidAssignment)
	}
	return state, nil
}

// ShardManagerConfig holds the settings and dependencies of a ShardManager.
type ShardManagerConfig struct {
	// Address is the address of the node, and Process distinguishes it from earlier processes
	// there.
	Address string
	Process uint32
	// DatagramAddress returns the address for permit requests by datagram, empty if the node accepts
	// none; nil stands for empty.
	DatagramAddress func() string
	// Started is the start time of the process: earlier processes issue no permits after it.
	Started time.Time
	// FirstStart reports that no process ran on any machine before.
	FirstStart bool
	// Epoch returns the latest known store epoch; nil stands for the first one.
	Epoch func() store.Epoch
	// Prefix is the prefix of the keys of shards.
	Prefix string
	Store  store.Store
	// Position returns the node's position in an order of all nodes; false if it is not known.
	Position func() (int, bool)
	// Nodes returns the number of known nodes; nil stands for the number of shards.
	Nodes func() int
	// HasLimits reports whether any tenant has a limit.
	HasLimits func() bool
	Issuer    *Issuer
	Log       *eventlog.Log
	Now       func() time.Time
}

// ShardManager acquires shards without a holder, renews the lease of those that the node holds, and
// tracks the holders of all shards. It is safe for concurrent use.
type ShardManager struct {
	config ShardManagerConfig

	mutex  sync.Mutex
	shards [Shards]shardState
	// stopped reports that the node acquires no more shards.
	stopped bool
	// wake triggers a check of the shards.
	wake chan struct{}

	// Used only by Run: the lease of all shards that the node holds, the time until which it
	// certainly lasts, and the time of its next renewal.
	lease      store.LeaseID
	leaseUntil time.Time
	renewAt    time.Time
	// eligibleAt is when the node may start to acquire shards, zero while it may not.
	eligibleAt time.Time
}

// shardState is the known state of a shard.
type shardState struct {
	assignment
	// revision is the revision of the key, zero if the shard has no holder, and lease the lease
	// of the key.
	revision store.Revision
	lease    store.LeaseID
	// lastRevision is the highest known revision, including removals.
	lastRevision store.Revision
	// since is when the state became known.
	since time.Time
	// retryAt is the earliest time of the next attempt to acquire the shard.
	retryAt time.Time
	// lost reports that the holder's assignment was lost, because the store was restored from a
	// backup or another writer replaced it. The holder may issue permits until its lease would have ended, and no other node
	// may acquire the shard before freeAt.
	lost   bool
	freeAt time.Time
}

// NewShardManager returns a shard manager without known holders.
func NewShardManager(config ShardManagerConfig) *ShardManager {
	if config.Nodes == nil {
		config.Nodes = func() int { return Shards }
	}
	if config.Epoch == nil {
		config.Epoch = func() store.Epoch { return 0 }
	}
	m := &ShardManager{config: config, wake: make(chan struct{}, 1)}
	if !config.FirstStart {
		m.deferAcquisition(config.Started)
	}
	return m
}

// Holder returns the node that holds the shard, false if none is known.
func (m *ShardManager) Holder(shard int) (holder Holder, known bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := &m.shards[shard]
	return state.Holder, (state.revision > 0 || state.lost) && !state.released()
}

// ApplyChanges processes changes of the store; keys without the prefix are ignored.
func (m *ShardManager) ApplyChanges(entries []store.Entry) {
	for _, entry := range entries {
		if number, found := m.numberOf(entry.Key); found {
			m.applyEntry(number, entry)
		}
	}
}

func (m *ShardManager) numberOf(key string) (int, bool) {
	text, found := strings.CutPrefix(key, m.config.Prefix)
	number, err := strconv.Atoi(text)
	return number, found && err == nil && number >= 0 && number < Shards && key == m.keyOf(number)
}

func (m *ShardManager) keyOf(number int) string { return m.config.Prefix + strconv.Itoa(number) }

// applyEntry updates the state of a shard from its entry in the store.
func (m *ShardManager) applyEntry(number int, entry store.Entry) {
	var state assignment
	if !entry.Deleted {
		var err error
		if state, err = decodeAssignment(entry); err != nil {
			m.config.Log.Record(eventlog.Event{Kind: eventlog.RecordRejected, Peer: entry.Key, Reason: err.Error()})
			m.markOverwritten(number, entry)
			return
		}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	current := &m.shards[number]
	if entry.Revision <= current.lastRevision {
		return
	}
	if m.detectLoss(current, &state, entry) {
		return
	}
	*current = shardState{assignment: state, lastRevision: entry.Revision, since: m.config.Now()}
	if !entry.Deleted {
		current.revision, current.lease = entry.Revision, entry.Lease
	}
	if current.Address == m.config.Address && !m.owns(*current) {
		// An earlier process on this node held the shard: reacquire it immediately.
		m.signal()
	}
}

// markOverwritten handles an entry of another writer. As if the store had lost the assignment, the
// previous holder keeps the shard and may write it again, and others may once its lease would have
// ended.
func (m *ShardManager) markOverwritten(number int, entry store.Entry) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	current := &m.shards[number]
	if entry.Revision > current.lastRevision {
		m.markLost(current, entry.Revision)
		current.revision = entry.Revision
	}
}

// markLost records that a holder's assignment was lost at a revision. The mutex is held.
func (m *ShardManager) markLost(current *shardState, revision store.Revision) {
	if !current.lost {
		current.lost, current.since = true, m.config.Now()
		current.freeAt = latest(current.freeAt, current.since.Add(shardTTL))
	}
	current.lastRevision, current.revision = revision, 0
	m.signal()
}

// detectLoss handles an entry of a restored store that does not come from the shard's holder,
// and reports whether the entry was one. The previous holder keeps the shard for as long as its
// lease would have lasted.
func (m *ShardManager) detectLoss(current *shardState, state *assignment, entry store.Entry) bool {
	restored := !entry.Deleted && state.Epoch < entry.Revision.Epoch()
	absent := entry.Deleted && entry.Revision.Epoch() > current.lastRevision.Epoch()
	if !restored && !absent {
		if entry.Deleted && current.lost {
			// The entry from the backup has been removed as well.
			current.revision, current.lastRevision = 0, entry.Revision
			return true
		}
		return false
	}
	m.markLost(current, entry.Revision)
	if restored {
		current.revision = entry.Revision
	}
	return true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// deferAcquisition lets the node acquire no shard, except those that it held itself, before all
// leases granted until the given time have ended.
func (m *ShardManager) deferAcquisition(granted time.Time) {
	for number := range m.shards {
		m.shards[number].freeAt = latest(m.shards[number].freeAt, granted.Add(shardTTL))
	}
}

// HandleStoreRestored handles that the store was restored from a backup: shards acquired since the
// backup may be missing, and lease IDs are assigned again. A shard without a known holder may
// have one whose assignment was lost.
func (m *ShardManager) HandleStoreRestored() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.config.Now()
	m.deferAcquisition(now)
	for number := range m.shards {
		state := &m.shards[number]
		if state.revision > 0 && !state.lost {
			state.lost, state.since = true, now
		}
	}
	m.signal()
}

func (m *ShardManager) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// markFree records that the shard has no holder.
func (m *ShardManager) markFree(number int) {
	m.shards[number] = shardState{lastRevision: m.shards[number].lastRevision, since: m.config.Now(), freeAt: m.shards[number].freeAt}
}

// Run acquires shards and renews their lease until the context ends.
func (m *ShardManager) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.wake:
		}
		m.check(ctx)
	}
}

// Stop releases the shards that the node holds, so that others acquire them immediately.
func (m *ShardManager) Stop(ctx context.Context) {
	m.mutex.Lock()
	m.stopped = true
	shards := m.shards
	m.mutex.Unlock()
	for number, state := range shards {
		m.config.Issuer.Release(number)
		if !m.owns(state) {
			continue
		}
		if _, err := m.config.Store.CompareAndSwap(ctx, m.keyOf(number), state.revision, encode(assignment{}), state.lease); err != nil {
			// The lease of the shard expires.
			m.logChange(number, "lost", err.Error())
			continue
		}
		m.logChange(number, "lost", "the node stops")
	}
}

// check renews the lease if due and acquires the shards that the node is to hold.
func (m *ShardManager) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	m.renew(ctx)
	settled := m.settled()
	for number := range Shards {
		if m.shouldAcquire(number, settled) {
			m.acquire(ctx, number)
		}
	}
}

// owns reports whether this process holds the shard, according to the store.
func (m *ShardManager) owns(state shardState) bool {
	return state.revision > 0 && !state.lost && m.wasHolder(state)
}

// wasHolder reports whether this process is the last known holder of the shard.
func (m *ShardManager) wasHolder(state shardState) bool {
	return state.Address == m.config.Address && state.Process == m.config.Process
}

// HeldCount returns the number of shards that the node holds.
func (m *ShardManager) HeldCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	count := 0
	for _, state := range m.shards {
		if m.owns(state) {
			count++
		}
	}
	return count
}

// renew renews the lease of the shards that the node holds.
func (m *ShardManager) renew(ctx context.Context) {
	if m.lease.Epoch < m.config.Epoch() {
		// Leases of an earlier epoch are not renewed. The node keeps its shards until the end of
		// the lease.
		m.lease = store.NoLease
	}
	if m.lease == store.NoLease || m.config.Now().Before(m.renewAt) || m.HeldCount() == 0 {
		return
	}
	started := m.config.Now()
	m.renewAt = started.Add(renewInterval / 4)
	remaining, err := m.config.Store.RenewLease(ctx, m.lease)
	switch {
	case errors.Is(err, store.ErrLeaseLost):
		m.handleLeaseLost("the lease ended")
	case err == nil:
		m.leaseUntil, m.renewAt = started.Add(remaining-leaseMargin), started.Add(renewInterval)
		m.extendHolds()
	}
}

// extendHolds extends the holds of the issuer to the end of the lease.
func (m *ShardManager) extendHolds() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.stopped {
		return
	}
	for number, state := range m.shards {
		if m.owns(state) && state.lease == m.lease {
			m.config.Issuer.Hold(number, state.since, m.leaseUntil)
		}
	}
}

// handleLeaseLost releases all shards that the node held under the lost lease.
func (m *ShardManager) handleLeaseLost(reason string) {
	m.lease = store.NoLease
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for number, state := range m.shards {
		if m.owns(state) {
			m.config.Issuer.Release(number)
			m.markFree(number)
			m.logChange(number, "lost", reason)
		}
	}
}

func (m *ShardManager) logChange(number int, outcome, reason string) {
	m.config.Log.Record(eventlog.Event{Kind: eventlog.ShardChanged, Count: number, Outcome: outcome, Reason: reason})
}
