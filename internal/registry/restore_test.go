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

// testNode is a node's registrar and directory, fed by a replica of the store.
type testNode struct {
	*Registrar
	directory *Directory
	stop      context.CancelFunc
}

// testFleet is a set of nodes with a store that can be restored from a backup.
type testFleet struct {
	t         *testing.T
	kv        *memory.Store
	down      atomic.Bool
	processes uint32
	// nodes maps addresses to running nodes.
	nodes sync.Map
}

// peerLatency is the latency of a message between nodes.
const peerLatency = 2 * time.Millisecond

func (f *testFleet) addresses() []string {
	var addresses []string
	f.nodes.Range(func(address, _ any) bool {
		addresses = append(addresses, address.(string))
		return true
	})
	return addresses
}

func (f *testFleet) notify(_ context.Context, address string, departure Departure) error {
	time.Sleep(peerLatency)
	peer, found := f.nodes.Load(address)
	if !found {
		return errors.New("connection refused")
	}
	peer.(*testNode).HandleDeparture(departure)
	return nil
}

func newTestFleet(t *testing.T) *testFleet {
	return &testFleet{t: t, kv: memory.New(time.Now)}
}

// watchBatchInterval is how long watch events are batched.
const watchBatchInterval = 800 * time.Millisecond

// start starts a node process with the given index.
func (f *testFleet) start(index int) *testNode {
	f.processes++
	ctx, cancel := context.WithCancel(context.Background())
	address := fmt.Sprintf("10.0.0.%d:8300", index)
	epochs := epoch.NewTracker()
	kv := &storetest.RestorableStore{Store: f.kv, Epochs: epochs, Unreachable: f.down.Load}
	n := &testNode{directory: NewDirectory(homesPrefix, address, nil, time.Now)}
	n.stop = func() {
		cancel()
		f.nodes.CompareAndDelete(address, n)
	}
	startedAt := time.Now().Add(-time.Millisecond)
	var storeCopy *replica.Copy
	n.Registrar = NewRegistrar(RegistrarConfig{
		Zone: "z", Address: address, Process: f.processes, HomesPrefix: homesPrefix, DeparturesPrefix: departuresPrefix,
		Epoch: epochs.Current, Position: n.directory.Position, Peers: Peers{Addresses: f.addresses, Notify: f.notify},
		Records: func(ctx context.Context) ([]store.Entry, error) {
			err := storeCopy.AwaitCurrent(ctx, startedAt)
			return storeCopy.Entries(), err
		},
	}, Stores{Record: kv, Departure: kv}, nil, time.Now)
	storeCopy = replica.NewCopy(time.Second, func(entries []store.Entry, source string) {
		n.directory.ApplyChanges(entries, source)
		n.ApplyChanges(entries)
	}, time.Now)
	epochs.OnChange(func(epoch.Change) { n.HandleStoreRestored() })
	syncer := &replica.Syncer{Copy: storeCopy, Store: kv, Position: func() (int, bool) { return 0, true }, BatchDelay: watchBatchInterval, Now: time.Now}
	f.nodes.Store(address, n)
	go syncer.Run(ctx)
	go n.Run(ctx)
	go n.directory.Run(ctx)
	return n
}

// startHomes starts three nodes with a target each, i-0 to i-2, and waits until each node has
// the records of the others.
func (f *testFleet) startHomes() []*testNode {
	nodes := []*testNode{f.start(1), f.start(2), f.start(3)}
	time.Sleep(3 * time.Second)
	for i, n := range nodes {
		assert.NilError(f.t, n.Heartbeat(f.t.Context(), startedHeartbeat(fmt.Sprint("i-", i), 1000, 2)))
	}
	time.Sleep(3 * time.Second)
	return nodes
}

// restore makes the store unavailable for a second and restores it from a backup.
func (f *testFleet) restore(backup *memory.Backup) {
	f.down.Store(true)
	time.Sleep(time.Second)
	f.kv.Restore(backup)
	f.down.Store(false)
}

func (f *testFleet) present(key string) bool {
	_, err := f.kv.Get(context.Background(), key)
	return err == nil
}

func (f *testFleet) stopAll(nodes ...*testNode) {
	for _, n := range nodes {
		n.stop()
	}
	time.Sleep(time.Minute)
}

// TestLostDepartureIsRewritten makes the store lose an acknowledged departure. The node that
// acknowledged it writes it again, or another node if that one was killed.
func TestLostDepartureIsRewritten(t *testing.T) {
	for _, killed := range []bool{false, true} {
		virtualtime.Run(t, func(t *testing.T) {
			f := newTestFleet(t)
			nodes := []*testNode{f.start(1), f.start(2), f.start(3)}
			defer func() { f.stopAll(nodes...) }()
			time.Sleep(3 * time.Second)
			for i, n := range nodes {
				assert.NilError(t, n.Heartbeat(t.Context(), readyHeartbeat(fmt.Sprint("i-", i), 1)))
			}
			time.Sleep(3 * time.Second)
			backup := f.kv.Backup()
			assert.NilError(t, nodes[0].Heartbeat(t.Context(), drainingHeartbeat("i-0", 2)))
			time.Sleep(time.Second)
			if killed {
				nodes[0].stop()
			}
			f.restore(backup)
			assert.Assert(t, !f.present(departuresPrefix+"i-0"))
			time.Sleep(2500 * time.Millisecond)
			assert.Assert(t, f.present(departuresPrefix+"i-0"), "acknowledging node killed: %v", killed)
			for _, n := range nodes[1:] {
				for _, home := range n.directory.Homes("s") {
					assert.Assert(t, home.Instance != "i-0", "a departed target is still listed")
				}
			}
			// A new process knows the departure and ignores delayed heartbeats.
			nodes[0].stop()
			nodes[0] = f.start(1)
			assert.NilError(t, nodes[0].Heartbeat(t.Context(), readyHeartbeat("i-0", 1)))
			time.Sleep(2 * time.Second)
			assert.Assert(t, nodes[0].Target().State != Ready)
		})
	}
}

// TestDepartureSurvivesNodeKillAndStoreRestore guards against work for a target after its
// acknowledged departure. A soak test (seed 1208, 15 s, 6 nodes) killed a node right after it
// had acknowledged the departure, and 0.12 s later the store failed and was restored from a
// backup without it. The restarted node accepted a delayed heartbeat, and the target executed
// 179 requests in 7 s. Until other nodes received the departure from the store, up to a second
// later, only the store and one node held it; no other node logged it before the target ended.
func TestDepartureSurvivesNodeKillAndStoreRestore(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newTestFleet(t)
		nodes := f.startHomes()
		defer func() { f.stopAll(nodes...) }()
		backup := f.kv.Backup()
		sentAt := time.Now()
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), leavingHeartbeat("i-0", 1000, 3)))
		assert.Assert(t, time.Since(sentAt) < 50*time.Millisecond, "acknowledged after %s", time.Since(sentAt))
		nodes[0].stop()
		f.restore(backup)
		nodes[0] = f.start(1)
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), startedHeartbeat("i-0", 1000, 1)))
		time.Sleep(400 * time.Millisecond)
		assert.Assert(t, nodes[0].Target().State != Ready, "%s after the draining heartbeat", time.Since(sentAt))
		time.Sleep(2 * time.Second)
		assert.Assert(t, nodes[0].Target().State != Ready)
		assert.Assert(t, f.present(departuresPrefix+"i-0@1000"))
	})
}

// TestRestartedNodeLearnsLostDepartureFromPeers makes the store lose a departure that all nodes
// know, and restarts the target's node right after the restore, before the departure is written
// again. In two of four runs of the soak test with seed 1208 the target executed 5 and 6
// requests 2.0 to 2.4 s after its acknowledged departure, because the other nodes notified its
// node only when they were due to write the departure, after 1.2 s.
func TestRestartedNodeLearnsLostDepartureFromPeers(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newTestFleet(t)
		nodes := f.startHomes()
		defer func() { f.stopAll(nodes...) }()
		backup := f.kv.Backup()
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), leavingHeartbeat("i-0", 1000, 3)))
		time.Sleep(1500 * time.Millisecond)
		nodes[0].stop()
		f.restore(backup)
		nodes[0] = f.start(1)
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), startedHeartbeat("i-0", 1000, 1)))
		time.Sleep(700 * time.Millisecond)
		assert.Assert(t, nodes[0].Target().State != Ready)
	})
}

// TestNotifiedPeersDoNotRewriteStoredDeparture checks that peers that were notified of a
// departure find it in a working store and write nothing.
func TestNotifiedPeersDoNotRewriteStoredDeparture(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newTestFleet(t)
		nodes := []*testNode{f.start(1), f.start(2), f.start(3)}
		defer func() { f.stopAll(nodes...) }()
		time.Sleep(3 * time.Second)
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), startedHeartbeat("i-0", 1000, 1)))
		time.Sleep(2 * time.Second)
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), leavingHeartbeat("i-0", 1000, 2)))
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			assert.NilError(t, nodes[0].Heartbeat(t.Context(), leavingHeartbeat("i-0", 1000, 3)))
		}
		for _, n := range nodes[1:] {
			assert.Equal(t, len(n.backgroundWriter.written), 0)
			known, wait := n.departures.nextDue()
			assert.Equal(t, known.Departure, Departure{}, "due in %s", wait)
		}
	})
}

// TestHomesSurviveStoreRestore lets two nodes join after the backup that the store is
// restored from. All nodes keep them, and a node that starts later learns of them.
func TestHomesSurviveStoreRestore(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newTestFleet(t)
		nodes := []*testNode{f.start(1)}
		defer func() { f.stopAll(nodes...) }()
		time.Sleep(time.Second)
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), readyHeartbeat("i-0", 1)))
		time.Sleep(2 * time.Second)
		backup := f.kv.Backup()
		for i := 1; i < 3; i++ {
			nodes = append(nodes, f.start(i+1))
			assert.NilError(t, nodes[i].Heartbeat(t.Context(), readyHeartbeat(fmt.Sprint("i-", i), 1)))
		}
		time.Sleep(2 * time.Second)
		f.restore(backup)
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

// TestLeaseOfEarlierEpochIsNeitherRenewedNorRevoked makes the restored store grant the number
// of a node's lease to another client.
func TestLeaseOfEarlierEpochIsNeitherRenewedNorRevoked(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newTestFleet(t)
		backup := f.kv.Backup()
		n := f.start(1)
		defer f.stopAll(n)
		time.Sleep(time.Second)
		assert.NilError(t, n.Heartbeat(t.Context(), readyHeartbeat("i-0", 1)))
		time.Sleep(time.Second)
		f.down.Store(true)
		time.Sleep(time.Second)
		f.kv.Restore(backup)
		other, err := f.kv.GrantLease(t.Context(), 5*time.Second)
		assert.NilError(t, err)
		_, err = f.kv.CompareAndSwap(t.Context(), "other", 0, []byte("x"), other)
		assert.NilError(t, err)
		f.down.Store(false)
		time.Sleep(2 * time.Second)
		entry, err := f.kv.Get(t.Context(), homesPrefix+"10.0.0.1:8300")
		assert.NilError(t, err)
		assert.Assert(t, entry.Lease != other)
		time.Sleep(4 * time.Second)
		assert.Assert(t, !f.present("other"), "another client's lease was renewed")
		assert.Assert(t, f.present(homesPrefix+"10.0.0.1:8300"))
	})
}

// TestStaleWriteIsOverwritten executes a write that was sent before the restore and arrives
// after it: its expected revision is one that the restored store has assigned again.
func TestStaleWriteIsOverwritten(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newTestFleet(t)
		n, peer := f.start(1), f.start(2)
		defer f.stopAll(n, peer)
		time.Sleep(time.Second)
		assert.NilError(t, n.Heartbeat(t.Context(), readyHeartbeat("i-0", 1)))
		time.Sleep(time.Second)
		key := homesPrefix + "10.0.0.1:8300"
		stale, err := f.kv.Get(t.Context(), key)
		assert.NilError(t, err)
		backup := f.kv.Backup()
		assert.NilError(t, n.Heartbeat(t.Context(), readyHeartbeat("i-1", 1)))
		time.Sleep(time.Second)
		f.restore(backup)
		time.Sleep(2 * time.Second)
		current, err := f.kv.Get(t.Context(), key)
		assert.NilError(t, err)
		_, err = f.kv.CompareAndSwap(t.Context(), key, current.Revision, stale.Value, store.NoLease)
		assert.NilError(t, err)
		time.Sleep(3 * time.Second)
		current, err = f.kv.Get(t.Context(), key)
		assert.NilError(t, err)
		record, err := decodeRecord(current, homesPrefix)
		assert.NilError(t, err)
		assert.Equal(t, record.Instance, "i-1")
		assert.Equal(t, peer.directory.Homes("s")[0].Instance, "i-1")
	})
}

// TestRecordRewritesAreStaggered measures the write load of a restore for several fleet sizes,
// and how long records are missing.
func TestRecordRewritesAreStaggered(t *testing.T) {
	for _, size := range []int{17, 71, 300} {
		virtualtime.Run(t, func(t *testing.T) {
			f := newTestFleet(t)
			backup := f.kv.Backup()
			var nodes []*testNode
			for i := range size {
				nodes = append(nodes, f.start(i))
				assert.NilError(t, nodes[i].Heartbeat(t.Context(), readyHeartbeat(fmt.Sprint("i-", i), 1)))
			}
			defer func() { f.stopAll(nodes...) }()
			time.Sleep(5 * time.Second)
			f.restore(backup)
			start, maxBatch, before := time.Now(), int64(0), f.kv.NewestRevision().Number()
			for f.count() < size {
				time.Sleep(100 * time.Millisecond)
				newest := f.kv.NewestRevision().Number()
				maxBatch, before = max(maxBatch, newest-before), newest
				assert.Assert(t, time.Since(start) < lapsedRetention)
			}
			t.Logf("%d nodes: all records rewritten after %s, at most %d writes in 0.1 s", size, time.Since(start), maxBatch)
		})
	}
}

func (f *testFleet) count() int {
	snapshot, _ := f.kv.List(context.Background(), homesPrefix)
	return len(snapshot.Entries)
}
