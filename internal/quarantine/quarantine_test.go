package quarantine

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
)

const testPrefix = "quarantine/"

// testCluster is a group of nodes with a shared store and a manual clock.
type testCluster struct {
	t     *testing.T
	store store.Store
	mutex sync.Mutex
	clock time.Time
	nodes []*Quarantine
	// storeDown makes the store unavailable.
	storeDown atomic.Bool
}

// unavailableStore fails all reads and writes while storeDown of its cluster is set.
type unavailableStore struct {
	store.Store
	cluster *testCluster
}

func (s unavailableStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if s.cluster.storeDown.Load() {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s unavailableStore) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if s.cluster.storeDown.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

func newTestCluster(t *testing.T, size int) *testCluster {
	t.Helper()
	c := &testCluster{t: t, store: memory.New(time.Now), clock: time.Now()}
	addresses := make([]string, size)
	for i := range addresses {
		addresses[i] = fmt.Sprint(i)
	}
	for i := range size {
		c.startNode(addresses, i)
	}
	return c
}

func (c *testCluster) startNode(addresses []string, number int) *Quarantine {
	node := New(Config{
		Store: unavailableStore{c.store, c}, Prefix: testPrefix, Now: c.now,
		Broadcast: BroadcastConfig{Address: addresses[number], Peers: func() []string { return addresses }, Send: c.send},
	})
	c.nodes = append(c.nodes, node)
	go node.Run(c.t.Context())
	return node
}

func (c *testCluster) now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.clock
}

func (c *testCluster) advance(interval time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.clock = c.clock.Add(interval)
}

func (c *testCluster) send(_ context.Context, address string, notice *Notice) error {
	var number int
	if _, err := fmt.Sscan(address, &number); err != nil {
		return err
	}
	c.nodes[number].HandleNotice(notice)
	return nil
}

// syncFromStore applies the records of the store to a node.
func (c *testCluster) syncFromStore(node *Quarantine) {
	c.t.Helper()
	snapshot, err := c.store.List(c.t.Context(), testPrefix)
	assert.NilError(c.t, err)
	node.ApplyChanges(snapshot.Entries)
}

// crash reports a crash of a node's target while it ran the request.
func (c *testCluster) crash(number int, instance string, hash fingerprint.Fingerprint) {
	node := c.nodes[number]
	node.RecordCrash(instance, []Call{{Fingerprint: hash, Service: "s", Route: "r", Crashes: node.State(hash).Crashes + 1}})
}

// await waits until the condition is true on all nodes.
func (c *testCluster) await(description string, condition func(*Quarantine) bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for i, node := range c.nodes {
			if !condition(node) {
				return poll.Continue("node %d: waiting for: %s", i, description)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(2*time.Millisecond))
}

// quarantineRequest reports quarantineCrashes consecutive crashes of targets that ran the
// request, and waits until all nodes quarantine it.
func (c *testCluster) quarantineRequest(hash fingerprint.Fingerprint) {
	c.t.Helper()
	for i := range quarantineCrashes {
		c.crash(i%len(c.nodes), fmt.Sprintf("i-%s-%d", hash, i), hash)
		c.await("crash reported", func(node *Quarantine) bool { return node.State(hash).Crashes == i+1 })
	}
	c.await("quarantined", func(node *Quarantine) bool { return node.State(hash).Quarantined })
}

// awaitRecord waits until the store holds a record of the request for which accept returns
// true.
func (c *testCluster) awaitRecord(hash fingerprint.Fingerprint, accept func(Record) bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		entry, err := c.store.Get(c.t.Context(), testPrefix+hash.String())
		if err != nil {
			return poll.Continue("%v", err)
		}
		record, err := DecodeRecord(entry.Value)
		assert.NilError(c.t, err)
		if !accept(record) {
			return poll.Continue("%+v", record)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(2*time.Millisecond))
}

func anyRecord(Record) bool { return true }

func TestQuarantineReachesAllNodesAndStore(t *testing.T) {
	c := newTestCluster(t, 4)
	hash := fingerprintOf(1)
	c.quarantineRequest(hash)
	c.awaitRecord(hash, func(record Record) bool { return record == Record{Service: "s", Route: "r"} })
	started := c.startNode([]string{"0", "1", "2", "3", "4"}, 4)
	c.syncFromStore(started)
	assert.Assert(t, started.State(hash).Quarantined, "a starting node finds the quarantine in the store")
	assert.Equal(t, started.Quarantined(), 1)
}

func TestQuarantineReachesAllNodesWithoutStore(t *testing.T) {
	c := newTestCluster(t, 3)
	c.storeDown.Store(true)
	hash := fingerprintOf(1)
	c.quarantineRequest(hash)
	c.storeDown.Store(false)
	c.awaitRecord(hash, anyRecord)
}

// TestRemovedRecordIsRewritten checks that a quarantine continues after the lease of its record
// has expired, which also happens while the store is unavailable: the node that wrote the record
// rewrites it.
func TestRemovedRecordIsRewritten(t *testing.T) {
	c := newTestCluster(t, 3)
	hash := fingerprintOf(1)
	c.quarantineRequest(hash)
	c.awaitRecord(hash, anyRecord)
	key := testPrefix + hash.String()
	entry, err := c.store.Get(t.Context(), key)
	assert.NilError(t, err)
	revision, err := c.store.CompareAndDelete(t.Context(), key, entry.Revision)
	assert.NilError(t, err)
	for _, node := range c.nodes {
		node.ApplyChanges([]store.Entry{{Key: key, Revision: revision, Deleted: true}})
		assert.Assert(t, node.State(hash).Quarantined)
	}
	c.awaitRecord(hash, anyRecord)
}

func TestOnlyOneNodeClaimsTrial(t *testing.T) {
	c := newTestCluster(t, 8)
	hash := fingerprintOf(1)
	c.quarantineRequest(hash)
	c.awaitRecord(hash, anyRecord)
	for _, node := range c.nodes {
		c.syncFromStore(node)
		assert.Assert(t, !node.State(hash).TrialDue)
	}
	c.advance(initialTrialDelay)
	c.storeDown.Store(true)
	call := Call{Fingerprint: hash, Service: "s", Route: "r"}
	for _, node := range c.nodes {
		assert.Assert(t, node.State(hash).TrialDue)
		assert.Assert(t, !node.ClaimTrial(t.Context(), call), "trial claimed without the store")
	}
	c.storeDown.Store(false)
	var claimed atomic.Int32
	var claims sync.WaitGroup
	for _, node := range c.nodes {
		claims.Go(func() {
			if node.ClaimTrial(t.Context(), call) {
				claimed.Add(1)
			}
		})
	}
	claims.Wait()
	assert.Equal(t, claimed.Load(), int32(1))
	for _, node := range c.nodes {
		c.syncFromStore(node)
		state := node.State(hash)
		assert.Assert(t, state.Quarantined && !state.TrialDue)
		assert.Equal(t, state.RetryAfter, 2*initialTrialDelay, "the delay doubles after a trial")
	}
}

func TestAnsweredTrialEndsQuarantine(t *testing.T) {
	c := newTestCluster(t, 3)
	hash := fingerprintOf(1)
	c.quarantineRequest(hash)
	c.awaitRecord(hash, anyRecord)
	c.advance(initialTrialDelay)
	c.syncFromStore(c.nodes[2])
	call := Call{Fingerprint: hash, Service: "s", Route: "r"}
	assert.Assert(t, c.nodes[2].ClaimTrial(t.Context(), call))
	c.nodes[2].RecordAnswer(call)
	c.await("cleared", func(node *Quarantine) bool { return !node.State(hash).Quarantined })
	c.awaitRecord(hash, func(record Record) bool { return record.Lifted })
	started := c.startNode([]string{"0", "1", "2", "3"}, 3)
	c.syncFromStore(started)
	assert.Assert(t, !started.State(hash).Quarantined)
}

func TestOperatorLiftEndsQuarantineOnAllNodes(t *testing.T) {
	c := newTestCluster(t, 3)
	hash := fingerprintOf(1)
	c.quarantineRequest(hash)
	c.awaitRecord(hash, anyRecord)
	key := testPrefix + hash.String()
	entry, err := c.store.Get(t.Context(), key)
	assert.NilError(t, err)
	_, err = c.store.CompareAndSwap(t.Context(), key, entry.Revision, Record{Lifted: true}.Encode(), store.NoLease)
	assert.NilError(t, err)
	for _, node := range c.nodes {
		c.syncFromStore(node)
		assert.Assert(t, !node.State(hash).Quarantined)
	}
}

func TestAnswerClearsSuspect(t *testing.T) {
	c := newTestCluster(t, 3)
	hash := fingerprintOf(1)
	c.crash(0, "i-1", hash)
	c.crash(0, "i-2", hash)
	c.await("suspected", func(node *Quarantine) bool { return node.State(hash).Isolated() })
	c.nodes[1].RecordAnswer(Call{Fingerprint: hash})
	c.await("cleared", func(node *Quarantine) bool { return node.State(hash) == State{Cleared: true} })
	c.nodes[2].HandleNotice(&Notice{Crashes: []Crash{{Instance: "i-2", Suspects: []SuspectReport{{Fingerprint: hash, Crashes: 2}}}}})
	assert.Assert(t, !c.nodes[2].State(hash).Suspected(), "a delayed report of a cleared crash is ignored")
}

func TestInvalidRecordsAreIgnored(t *testing.T) {
	c := newTestCluster(t, 1)
	c.nodes[0].ApplyChanges([]store.Entry{
		{Key: testPrefix + "no-fingerprint", Value: Record{}.Encode(), Revision: 1},
		{Key: testPrefix + fingerprintOf(1).String(), Value: []byte("no record"), Revision: 2},
		{Key: "elsewhere/" + fingerprintOf(2).String(), Value: Record{}.Encode(), Revision: 3},
	})
	assert.Assert(t, c.nodes[0].Empty())
}

// TestQuarantineOverLimitCancelsNothing guards against calls that are canceled although their request
// is not quarantined, because the node holds as many quarantines as it may.
func TestQuarantineOverLimitCancelsNothing(t *testing.T) {
	canceled := 0
	q := New(Config{Store: memory.New(time.Now), Prefix: testPrefix, Now: time.Now, OnQuarantine: func(fingerprint.Fingerprint) { canceled++ }})
	for i := range maxQuarantined + 20 {
		key := testPrefix + fingerprintOf(i).String()
		q.ApplyChanges([]store.Entry{{Key: key, Revision: store.Revision(i + 1), Value: Record{Service: "s", Route: "r"}.Encode()}})
	}
	assert.Equal(t, q.Quarantined(), maxQuarantined)
	assert.Equal(t, canceled, maxQuarantined)
}
