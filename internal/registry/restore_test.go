package registry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/epoch"
	"github.com/lugspur/lugspur/internal/store/memory"
	"github.com/lugspur/lugspur/internal/store/storetest"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// restoredNode is a node's registrar and directory, kept by a copy of the store.
type restoredNode struct {
	*Registrar
	directory *Directory
	stop      context.CancelFunc
}

// restoredFleet is nodes around a store that comes back from copies.
type restoredFleet struct {
	t       *testing.T
	held    *memory.Store
	down    atomic.Bool
	started uint32
	// living are the processes by their addresses.
	living sync.Map
}

// peerLatency is how long a message between nodes takes.
const peerLatency = 2 * time.Millisecond

func (f *restoredFleet) addresses() []string {
	var addresses []string
	f.living.Range(func(address, _ any) bool {
		addresses = append(addresses, address.(string))
		return true
	})
	return addresses
}

func (f *restoredFleet) tell(_ context.Context, address string, departure Departure) error {
	time.Sleep(peerLatency)
	peer, living := f.living.Load(address)
	if !living {
		return errors.New("connection refused")
	}
	peer.(*restoredNode).LearnDeparture(departure)
	return nil
}

func newRestoredFleet(t *testing.T) *restoredFleet {
	return &restoredFleet{t: t, held: memory.New(time.Now)}
}

// watchGather is for how long changes are gathered.
const watchGather = 800 * time.Millisecond

// start starts a process at one of the places.
func (f *restoredFleet) start(place int) *restoredNode {
	f.started++
	ctx, cancel := context.WithCancel(context.Background())
	address := fmt.Sprintf("10.0.0.%d:8300", place)
	epochs := epoch.NewTracker()
	target := &storetest.Restored{Store: f.held, Epochs: epochs, Refused: f.down.Load}
	n := &restoredNode{directory: NewDirectory(homesPrefix, address, nil, time.Now)}
	n.stop = func() {
		cancel()
		f.living.CompareAndDelete(address, n)
	}
	begun := time.Now().Add(-time.Millisecond)
	var held *replica.Copy
	n.Registrar = NewRegistrar(RegistrarConfig{
		Zone: "z", Address: address, Process: f.started, HomesPrefix: homesPrefix, DeparturesPrefix: departuresPrefix,
		Epoch: epochs.Current, Place: n.directory.Place, Peers: Peers{Addresses: f.addresses, Notify: f.tell},
		Records: func(ctx context.Context) ([]store.Entry, error) {
			err := held.AwaitProved(ctx, begun)
			return held.Entries(), err
		},
	}, Stores{Record: target, Departure: target}, nil, time.Now)
	held = replica.NewCopy(time.Second, func(entries []store.Entry, source string) {
		n.directory.ApplyChanges(entries, source)
		n.ApplyChanges(entries)
	}, time.Now)
	epochs.OnChange(func(epoch.Change) { n.HandleStoreRestored() })
	keeper := &replica.Keeper{Copy: held, Store: target, Place: func() (int, bool) { return 0, true }, Gather: watchGather, Now: time.Now}
	f.living.Store(address, n)
	go keeper.Run(ctx)
	go n.Run(ctx)
	go n.directory.Run(ctx)
	return n
}

// startHomes starts three processes with a target each, i-0 to i-2, and waits until all know
// them.
func (f *restoredFleet) startHomes() []*restoredNode {
	nodes := []*restoredNode{f.start(1), f.start(2), f.start(3)}
	time.Sleep(3 * time.Second)
	for i, n := range nodes {
		assert.NilError(f.t, n.Heartbeat(f.t.Context(), started(fmt.Sprint("i-", i), 1000, 2)))
	}
	time.Sleep(3 * time.Second)
	return nodes
}

// restore has the store be away for a second and come back from a copy.
func (f *restoredFleet) restore(copied *memory.Backup) {
	f.down.Store(true)
	time.Sleep(time.Second)
	f.held.Restore(copied)
	f.down.Store(false)
}

func (f *restoredFleet) present(key string) bool {
	_, err := f.held.Get(context.Background(), key)
	return err == nil
}

func (f *restoredFleet) end(nodes ...*restoredNode) {
	for _, n := range nodes {
		n.stop()
	}
	time.Sleep(time.Minute)
}

// TestLostDepartureIsRewritten has the store lose an acknowledged departure. The node that
// acknowledged it writes it again, or the next one if that node is gone.
func TestLostDepartureIsRewritten(t *testing.T) {
	for _, dies := range []bool{false, true} {
		virtualtime.Run(t, func(t *testing.T) {
			f := newRestoredFleet(t)
			nodes := []*restoredNode{f.start(1), f.start(2), f.start(3)}
			defer func() { f.end(nodes...) }()
			time.Sleep(3 * time.Second)
			for i, n := range nodes {
				assert.NilError(t, n.Heartbeat(t.Context(), ready(fmt.Sprint("i-", i), 1)))
			}
			time.Sleep(3 * time.Second)
			copied := f.held.Backup()
			assert.NilError(t, nodes[0].Heartbeat(t.Context(), draining("i-0", 2)))
			time.Sleep(time.Second)
			if dies {
				nodes[0].stop()
			}
			f.restore(copied)
			assert.Assert(t, !f.present(departuresPrefix+"i-0"))
			time.Sleep(2500 * time.Millisecond)
			assert.Assert(t, f.present(departuresPrefix+"i-0"), "the node that acknowledged it died: %v", dies)
			for _, n := range nodes[1:] {
				for _, home := range n.directory.Homes("s") {
					assert.Assert(t, home.Instance != "i-0", "a target that left is offered work")
				}
			}
			// A process that starts goes by it, also against late heartbeats.
			nodes[0].stop()
			nodes[0] = f.start(1)
			assert.NilError(t, nodes[0].Heartbeat(t.Context(), ready("i-0", 1)))
			time.Sleep(2 * time.Second)
			assert.Assert(t, nodes[0].Target().State != Ready)
		})
	}
}

// TestDepartureSurvivesNodeKillAndStoreRestore tells of a target that got work after it had left.
//
// What was seen: a soak (seed 1208, 15 s, 6 nodes) killed a node right after it had acknowledged
// that its target leaves, and 0.12 s later the store went away and came back from a copy without
// it. The node started again and took a late heartbeat: the target ran 179 requests in 7 s.
// Cause: a departure was known to the store and to one node alone until others heard of it from
// the store, up to a second later. Evidence: no other node has a line of it in its log before
// the target's end.
func TestDepartureSurvivesNodeKillAndStoreRestore(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newRestoredFleet(t)
		nodes := f.startHomes()
		defer func() { f.end(nodes...) }()
		copied := f.held.Backup()
		acknowledged := time.Now()
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), leavingBeat("i-0", 1000, 3)))
		assert.Assert(t, time.Since(acknowledged) < 50*time.Millisecond, "acknowledged after %s", time.Since(acknowledged))
		nodes[0].stop()
		f.restore(copied)
		nodes[0] = f.start(1)
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), started("i-0", 1000, 1)))
		time.Sleep(400 * time.Millisecond)
		assert.Assert(t, nodes[0].Target().State != Ready, "%s after its acknowledgement", time.Since(acknowledged))
		time.Sleep(2 * time.Second)
		assert.Assert(t, nodes[0].Target().State != Ready)
		assert.Assert(t, f.present(departuresPrefix+"i-0@1000"))
	})
}

// TestRestartedNodeLearnsLostDepartureFromPeers has all nodes know a departure that the store loses, and
// the node beside the target start again right after the store's return, before anybody writes
// the departure again. Of four plays of the soak's seed 1208 two had the target run 5 and 6
// requests 2.0 to 2.4 s after its acknowledged leave, as the others told the node only when
// they were to write the departure, after 1.2 s.
func TestRestartedNodeLearnsLostDepartureFromPeers(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newRestoredFleet(t)
		nodes := f.startHomes()
		defer func() { f.end(nodes...) }()
		copied := f.held.Backup()
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), leavingBeat("i-0", 1000, 3)))
		time.Sleep(1500 * time.Millisecond)
		nodes[0].stop()
		f.restore(copied)
		nodes[0] = f.start(1)
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), started("i-0", 1000, 1)))
		time.Sleep(700 * time.Millisecond)
		assert.Assert(t, nodes[0].Target().State != Ready)
	})
}

// TestWitnessesCostNothingInCalmTime has a target leave beside a store that answers: who was told
// finds the departure there and writes nothing.
func TestWitnessesCostNothingInCalmTime(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newRestoredFleet(t)
		nodes := []*restoredNode{f.start(1), f.start(2), f.start(3)}
		defer func() { f.end(nodes...) }()
		time.Sleep(3 * time.Second)
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), started("i-0", 1000, 1)))
		time.Sleep(2 * time.Second)
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), leavingBeat("i-0", 1000, 2)))
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			assert.NilError(t, nodes[0].Heartbeat(t.Context(), leavingBeat("i-0", 1000, 3)))
		}
		for _, n := range nodes[1:] {
			assert.Equal(t, len(n.rewriting.written), 0)
			fact, wait := n.facts.next()
			assert.Equal(t, fact.Departure, Departure{}, "due in %s", wait)
		}
	})
}

// TestHomesSurviveStoreRestore has two nodes join in the seconds that the store loses: nobody
// forgets them, and a process that starts later knows them.
func TestHomesSurviveStoreRestore(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newRestoredFleet(t)
		nodes := []*restoredNode{f.start(1)}
		defer func() { f.end(nodes...) }()
		time.Sleep(time.Second)
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), ready("i-0", 1)))
		time.Sleep(2 * time.Second)
		copied := f.held.Backup()
		for i := 1; i < 3; i++ {
			nodes = append(nodes, f.start(i+1))
			assert.NilError(t, nodes[i].Heartbeat(t.Context(), ready(fmt.Sprint("i-", i), 1)))
		}
		time.Sleep(2 * time.Second)
		f.restore(copied)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			for _, n := range nodes {
				assert.Equal(t, len(n.directory.Homes("s")), 3)
			}
		}
		nodes = append(nodes, f.start(9))
		time.Sleep(time.Second)
		assert.Equal(t, len(nodes[3].directory.Homes("s")), 3)
	})
}

// TestLeaseOfEarlierEpochIsNeitherRenewedNorRevoked has the store give out the number of a
// node's lease to somebody else.
func TestLeaseOfEarlierEpochIsNeitherRenewedNorRevoked(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newRestoredFleet(t)
		copied := f.held.Backup()
		n := f.start(1)
		defer f.end(n)
		time.Sleep(time.Second)
		assert.NilError(t, n.Heartbeat(t.Context(), ready("i-0", 1)))
		time.Sleep(time.Second)
		f.down.Store(true)
		time.Sleep(time.Second)
		f.held.Restore(copied)
		other, err := f.held.GrantLease(t.Context(), 5*time.Second)
		assert.NilError(t, err)
		_, err = f.held.CompareAndSwap(t.Context(), "other", 0, []byte("x"), other)
		assert.NilError(t, err)
		f.down.Store(false)
		time.Sleep(2 * time.Second)
		entry, err := f.held.Get(t.Context(), homesPrefix+"10.0.0.1:8300")
		assert.NilError(t, err)
		assert.Assert(t, entry.Lease != other)
		time.Sleep(4 * time.Second)
		assert.Assert(t, !f.present("other"), "the lease of somebody else was renewed")
		assert.Assert(t, f.present(homesPrefix+"10.0.0.1:8300"))
	})
}

// TestStaleWriteIsOverwritten has a write of before the store's return be carried out late:
// its condition named a number that the store gave out again.
func TestStaleWriteIsOverwritten(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newRestoredFleet(t)
		n, peer := f.start(1), f.start(2)
		defer f.end(n, peer)
		time.Sleep(time.Second)
		assert.NilError(t, n.Heartbeat(t.Context(), ready("i-0", 1)))
		time.Sleep(time.Second)
		key := homesPrefix + "10.0.0.1:8300"
		stale, err := f.held.Get(t.Context(), key)
		assert.NilError(t, err)
		copied := f.held.Backup()
		assert.NilError(t, n.Heartbeat(t.Context(), ready("i-1", 1)))
		time.Sleep(time.Second)
		f.restore(copied)
		time.Sleep(2 * time.Second)
		now, err := f.held.Get(t.Context(), key)
		assert.NilError(t, err)
		_, err = f.held.CompareAndSwap(t.Context(), key, now.Revision, stale.Value, store.NoLease)
		assert.NilError(t, err)
		time.Sleep(3 * time.Second)
		now, err = f.held.Get(t.Context(), key)
		assert.NilError(t, err)
		record, err := decodeRecord(now)
		assert.NilError(t, err)
		assert.Equal(t, record.Instance, "i-1")
		assert.Equal(t, peer.directory.Homes("s")[0].Instance, "i-1")
	})
}

// TestRecordsAreWrittenAgainInTurn counts what a return costs fleets of several sizes, and how
// long their records are missing.
func TestRecordsAreWrittenAgainInTurn(t *testing.T) {
	for _, size := range []int{17, 71, 300} {
		virtualtime.Run(t, func(t *testing.T) {
			f := newRestoredFleet(t)
			copied := f.held.Backup()
			var nodes []*restoredNode
			for i := range size {
				nodes = append(nodes, f.start(i))
				assert.NilError(t, nodes[i].Heartbeat(t.Context(), ready(fmt.Sprint("i-", i), 1)))
			}
			defer func() { f.end(nodes...) }()
			time.Sleep(5 * time.Second)
			f.restore(copied)
			began, busiest, before := time.Now(), int64(0), f.held.Newest().Number()
			for f.count() < size {
				time.Sleep(100 * time.Millisecond)
				newest := f.held.Newest().Number()
				busiest, before = max(busiest, newest-before), newest
				assert.Assert(t, time.Since(began) < lapsedFor)
			}
			t.Logf("%d nodes: all records are back after %s, at most %d written in 0.1 s", size, time.Since(began), busiest)
		})
	}
}

func (f *restoredFleet) count() int {
	snapshot, _ := f.held.List(context.Background(), homesPrefix)
	return len(snapshot.Entries)
}
