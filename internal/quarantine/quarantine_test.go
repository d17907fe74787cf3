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

// group is a few nodes that share a store, with a clock of their own.
type group struct {
	t     *testing.T
	held  store.Store
	mutex sync.Mutex
	at    time.Time
	nodes []*Quarantine
	// away has the store refuse everything.
	away atomic.Bool
}

// awayStore refuses everything while its group's store is away.
type awayStore struct {
	store.Store
	group *group
}

func (s awayStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if s.group.away.Load() {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s awayStore) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if s.group.away.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

func newGroup(t *testing.T, size int) *group {
	t.Helper()
	g := &group{t: t, held: memory.New(time.Now), at: time.Now()}
	addresses := make([]string, size)
	for i := range addresses {
		addresses[i] = fmt.Sprint(i)
	}
	for i := range size {
		g.add(addresses, i)
	}
	return g
}

// add starts one more node.
func (g *group) add(addresses []string, number int) *Quarantine {
	node := New(Config{
		Store: awayStore{g.held, g}, Prefix: testPrefix, Now: g.now,
		Broadcast: BroadcastConfig{Address: addresses[number], Peers: func() []string { return addresses }, Send: g.send},
	})
	g.nodes = append(g.nodes, node)
	go node.Run(g.t.Context())
	return node
}

func (g *group) now() time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.at
}

func (g *group) pass(span time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.at = g.at.Add(span)
}

func (g *group) send(_ context.Context, address string, notice *Notice) error {
	var number int
	if _, err := fmt.Sscan(address, &number); err != nil {
		return err
	}
	g.nodes[number].HandleNotice(notice)
	return nil
}

// follow has a node take what the store holds.
func (g *group) follow(node *Quarantine) {
	g.t.Helper()
	snapshot, err := g.held.List(g.t.Context(), testPrefix)
	assert.NilError(g.t, err)
	node.ApplyChanges(snapshot.Entries)
}

// crash has a target beside a node crash under the request.
func (g *group) crash(number int, instance string, hash fingerprint.Fingerprint) {
	node := g.nodes[number]
	node.RecordCrash(instance, []Call{{Fingerprint: hash, Service: "s", Route: "r", Crashes: node.State(hash).Crashes + 1}})
}

// await waits until the condition holds at all nodes.
func (g *group) await(what string, holds func(*Quarantine) bool) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		for i, node := range g.nodes {
			if !holds(node) {
				return poll.Continue("node %d: not yet %s", i, what)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(2*time.Millisecond))
}

// quarantine has three targets in a row crash under the request.
func (g *group) quarantine(hash fingerprint.Fingerprint) {
	g.t.Helper()
	for i := range quarantineCrashes {
		g.crash(i%len(g.nodes), fmt.Sprintf("i-%s-%d", hash, i), hash)
		g.await("told of a crash", func(node *Quarantine) bool { return node.State(hash).Crashes == i+1 })
	}
	g.await("quarantined", func(node *Quarantine) bool { return node.State(hash).Quarantined })
}

// awaitRecord waits until the store holds a record that the condition accepts.
func (g *group) awaitRecord(hash fingerprint.Fingerprint, accept func(Record) bool) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		entry, err := g.held.Get(g.t.Context(), testPrefix+hash.String())
		if err != nil {
			return poll.Continue("%v", err)
		}
		record, err := DecodeRecord(entry.Value)
		assert.NilError(g.t, err)
		if !accept(record) {
			return poll.Continue("%+v", record)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(2*time.Millisecond))
}

func anyRecord(Record) bool { return true }

func TestAVerdictReachesAllNodesAndTheStore(t *testing.T) {
	g := newGroup(t, 4)
	hash := numbered(1)
	g.quarantine(hash)
	g.awaitRecord(hash, func(record Record) bool { return record == Record{Service: "s", Route: "r"} })
	late := g.add([]string{"0", "1", "2", "3", "4"}, 4)
	g.follow(late)
	assert.Assert(t, late.State(hash).Quarantined, "a node that starts finds it in the store")
	assert.Equal(t, late.Quarantined(), 1)
}

func TestAVerdictReachesAllNodesWhileTheStoreIsAway(t *testing.T) {
	g := newGroup(t, 3)
	g.away.Store(true)
	hash := numbered(1)
	g.quarantine(hash)
	g.away.Store(false)
	g.awaitRecord(hash, anyRecord)
}

// TestALapsedRecordIsWrittenAnew has a record disappear with its lease, as leases also run
// out while the store is away: the verdict holds, and its node writes it again.
func TestALapsedRecordIsWrittenAnew(t *testing.T) {
	g := newGroup(t, 3)
	hash := numbered(1)
	g.quarantine(hash)
	g.awaitRecord(hash, anyRecord)
	key := testPrefix + hash.String()
	entry, err := g.held.Get(t.Context(), key)
	assert.NilError(t, err)
	revision, err := g.held.CompareAndDelete(t.Context(), key, entry.Revision)
	assert.NilError(t, err)
	for _, node := range g.nodes {
		node.ApplyChanges([]store.Entry{{Key: key, Revision: revision, Deleted: true}})
		assert.Assert(t, node.State(hash).Quarantined)
	}
	g.awaitRecord(hash, anyRecord)
}

func TestOnlyOneNodeClaimsTrial(t *testing.T) {
	g := newGroup(t, 8)
	hash := numbered(1)
	g.quarantine(hash)
	g.awaitRecord(hash, anyRecord)
	for _, node := range g.nodes {
		g.follow(node)
		assert.Assert(t, !node.State(hash).TrialDue)
	}
	g.pass(firstTrialPause)
	g.away.Store(true)
	call := Call{Fingerprint: hash, Service: "s", Route: "r"}
	for _, node := range g.nodes {
		assert.Assert(t, node.State(hash).TrialDue)
		assert.Assert(t, !node.ClaimTrial(t.Context(), call), "none while the store is away")
	}
	g.away.Store(false)
	var claimed atomic.Int32
	var claims sync.WaitGroup
	for _, node := range g.nodes {
		claims.Go(func() {
			if node.ClaimTrial(t.Context(), call) {
				claimed.Add(1)
			}
		})
	}
	claims.Wait()
	assert.Equal(t, claimed.Load(), int32(1))
	for _, node := range g.nodes {
		g.follow(node)
		standing := node.State(hash)
		assert.Assert(t, standing.Quarantined && !standing.TrialDue)
		assert.Equal(t, standing.RetryAfter, 2*firstTrialPause, "the next trial comes later")
	}
}

func TestATrialThatIsAnsweredEndsTheVerdict(t *testing.T) {
	g := newGroup(t, 3)
	hash := numbered(1)
	g.quarantine(hash)
	g.awaitRecord(hash, anyRecord)
	g.pass(firstTrialPause)
	g.follow(g.nodes[2])
	call := Call{Fingerprint: hash, Service: "s", Route: "r"}
	assert.Assert(t, g.nodes[2].ClaimTrial(t.Context(), call))
	g.nodes[2].RecordAnswer(call)
	g.await("cleared", func(node *Quarantine) bool { return !node.State(hash).Quarantined })
	g.awaitRecord(hash, func(record Record) bool { return record.Lifted })
	late := g.add([]string{"0", "1", "2", "3"}, 3)
	g.follow(late)
	assert.Assert(t, !late.State(hash).Quarantined)
}

// TestALiftedVerdictEndsEverywhere has an operator write that a verdict has ended.
func TestALiftedVerdictEndsEverywhere(t *testing.T) {
	g := newGroup(t, 3)
	hash := numbered(1)
	g.quarantine(hash)
	g.awaitRecord(hash, anyRecord)
	key := testPrefix + hash.String()
	entry, err := g.held.Get(t.Context(), key)
	assert.NilError(t, err)
	_, err = g.held.CompareAndSwap(t.Context(), key, entry.Revision, Record{Lifted: true}.Encode(), store.NoLease)
	assert.NilError(t, err)
	for _, node := range g.nodes {
		g.follow(node)
		assert.Assert(t, !node.State(hash).Quarantined)
	}
}

func TestAnAnswerClearsASuspect(t *testing.T) {
	g := newGroup(t, 3)
	hash := numbered(1)
	g.crash(0, "i-1", hash)
	g.crash(0, "i-2", hash)
	g.await("suspected", func(node *Quarantine) bool { return node.State(hash).Isolated() })
	g.nodes[1].RecordAnswer(Call{Fingerprint: hash})
	g.await("cleared", func(node *Quarantine) bool { return node.State(hash) == State{Cleared: true} })
	g.nodes[2].HandleNotice(&Notice{Crashes: []Crash{{Instance: "i-2", Suspects: []Suspicion{{Fingerprint: hash, Crashes: 2}}}}})
	assert.Assert(t, !g.nodes[2].State(hash).Suspected(), "a report that comes late says nothing new")
}

func TestWhatIsNotARecordIsPassedOver(t *testing.T) {
	g := newGroup(t, 1)
	g.nodes[0].ApplyChanges([]store.Entry{
		{Key: testPrefix + "no-fingerprint", Value: Record{}.Encode(), Revision: 1},
		{Key: testPrefix + numbered(1).String(), Value: []byte("no record"), Revision: 2},
		{Key: "elsewhere/" + numbered(2).String(), Value: Record{}.Encode(), Revision: 3},
	})
	assert.Assert(t, g.nodes[0].Empty())
}
