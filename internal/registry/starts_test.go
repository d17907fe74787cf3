package registry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// startsFleet is a set of nodes that share a store and exchange notices without a network.
type startsFleet struct {
	t     *testing.T
	store *faultyStore
	nodes []*startsNode
	// sent counts the notices.
	sent atomic.Int64
}

// startsNode is a node whose replica of the store changes only by deliver.
type startsNode struct {
	address   string
	directory *Directory
	registrar *Registrar
	// lost means that the node has noticed the outage, old that it is of a version without
	// notices.
	lost, old atomic.Bool

	mutex    sync.Mutex
	received []StartNotice
}

// newStartsFleet starts nodes with a target each, and replaces the targets after planned
// departures. All nodes know of the departures, and none of the replacements.
func newStartsFleet(t *testing.T, size int) *startsFleet {
	t.Helper()
	f := &startsFleet{t: t, store: &faultyStore{Store: memory.New(time.Now)}}
	for i := range size {
		f.nodes = append(f.nodes, f.startNode(fmt.Sprintf("10.0.0.%d:8300", i+1)))
	}
	synctest.Wait()
	for _, heartbeat := range []Heartbeat{readyHeartbeat("first", 1), drainingHeartbeat("first", 2), readyHeartbeat("second", 1)} {
		f.deliver()
		for i, n := range f.nodes {
			next := heartbeat
			next.ID = fmt.Sprintf("%s-%d", heartbeat.ID, i)
			f.heartbeat(n, next)
		}
	}
	return f
}

func (f *startsFleet) startNode(address string) *startsNode {
	n := &startsNode{address: address}
	n.directory = NewDirectory(homesPrefix, address, nil, time.Now)
	n.registrar = NewRegistrar(RegistrarConfig{Zone: "z", Address: address, Process: 1, HomesPrefix: homesPrefix, DeparturesPrefix: departuresPrefix,
		Records:        listRecords(f.store),
		Peers:          Peers{Addresses: n.directory.Addresses, Notify: func(context.Context, string, Departure) error { return nil }, NotifyStart: f.notify},
		StoreReachable: func() bool { return !n.lost.Load() },
		OnStart:        n.directory.ApplyStart,
	}, Stores{Record: f.store, Departure: f.store}, nil, time.Now)
	go n.registrar.Run(f.t.Context())
	return n
}

func (f *startsFleet) heartbeat(n *startsNode, heartbeat Heartbeat) {
	assert.NilError(f.t, n.registrar.Heartbeat(f.t.Context(), heartbeat))
	synctest.Wait()
}

// notify delivers a notice to the node at an address.
func (f *startsFleet) notify(_ context.Context, address string, notice StartNotice) error {
	n := f.nodes[slices.IndexFunc(f.nodes, func(n *startsNode) bool { return n.address == address })]
	f.sent.Add(1)
	n.mutex.Lock()
	n.received = append(n.received, notice)
	n.mutex.Unlock()
	if n.old.Load() {
		return errors.New("status 404")
	}
	n.registrar.HandleStart(notice)
	return nil
}

// deliver passes the state of the store to all nodes.
func (f *startsFleet) deliver() {
	snapshot, err := f.store.Store.List(f.t.Context(), "")
	assert.NilError(f.t, err)
	for _, n := range f.nodes {
		n.directory.ApplyChanges(snapshot.Entries, "store")
		n.registrar.ApplyChanges(snapshot.Entries)
	}
}

// loseStore begins an outage that only some nodes notice.
func (f *startsFleet) loseStore(noticing ...*startsNode) {
	f.store.down.Store(true)
	for _, n := range noticing {
		n.lost.Store(true)
		n.registrar.HandleStoreLost()
	}
}

// regainStore ends the outage and lets nodes write their records.
func (f *startsFleet) regainStore() {
	f.store.down.Store(false)
	for _, n := range f.nodes {
		n.lost.Store(false)
	}
	time.Sleep(5 * time.Second)
	f.deliver()
}

// notices returns the notices that the node has received.
func (n *startsNode) notices() []StartNotice {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.Clone(n.received)
}

// assertInstances asserts which instances of ready targets a node knows, in order.
func (f *startsFleet) assertInstances(n *startsNode, expected ...string) {
	f.t.Helper()
	var known []string
	for _, home := range n.directory.Homes("s") {
		known = append(known, home.Instance)
	}
	slices.Sort(known)
	assert.DeepEqual(f.t, known, expected)
}

// TestStartsReachPeersDuringOutage guards against refused requests after targets were replaced
// shortly before an outage of the store: nodes knew of the departures, but not of the starts, and
// had no home for the service. One node notices the outage; the others have written their records
// and make no further call to the store.
func TestStartsReachPeersDuringOutage(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newStartsFleet(t, 5)
		f.loseStore(f.nodes[0])
		time.Sleep(100 * time.Millisecond)
		for _, n := range f.nodes {
			f.assertInstances(n, "second-0", "second-1", "second-2", "second-3", "second-4")
		}
		assert.Equal(t, f.sent.Load(), int64(5*4), "each node sends one notice to each other node")
		f.heartbeat(f.nodes[0], readyHeartbeat("third-0", 1))
		f.assertInstances(f.nodes[4], "second-1", "second-2", "second-3", "second-4", "third-0")
	})
}

// TestNoNoticesWhileStoreWorks guards against notices without need, as each costs a message for
// every other node: none is sent while the store works, nor during an outage for a target that the
// replicas show.
func TestNoNoticesWhileStoreWorks(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newStartsFleet(t, 3)
		for _, n := range f.nodes {
			assert.Equal(t, len(n.directory.Homes("s")), 1, "a node uses its own target without waiting for the store")
		}
		time.Sleep(30 * time.Second)
		assert.Equal(t, f.sent.Load(), int64(0))
		f.deliver()
		f.loseStore(f.nodes...)
		time.Sleep(30 * time.Second)
		assert.Equal(t, f.sent.Load(), int64(0))
	})
}

// TestNoticesAreBounded guards against a storm of notices during a long outage with a peer of the
// version without notices: it is asked once more, then with all others at the usual interval.
func TestNoticesAreBounded(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newStartsFleet(t, 3)
		f.nodes[2].old.Store(true)
		f.loseStore(f.nodes...)
		time.Sleep(startResendInterval - time.Second)
		assert.Equal(t, len(f.nodes[1].notices()), 2)
		assert.Equal(t, len(f.nodes[2].notices()), 4)
		f.assertInstances(f.nodes[1], "second-0", "second-1", "second-2")
		time.Sleep(startResendInterval)
		assert.Equal(t, len(f.nodes[1].notices()), 4)
		assert.Equal(t, len(f.nodes[2].notices()), 8)
		f.regainStore()
		time.Sleep(time.Minute)
		assert.Equal(t, len(f.nodes[1].notices()), 4)
	})
}

// TestNoticesAfterStoreReturns guards against notices that outlive the outage: what nodes write
// afterwards replaces them, late notices change nothing, and a departed target does not become
// ready again.
func TestNoticesAfterStoreReturns(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newStartsFleet(t, 2)
		f.loseStore(f.nodes...)
		time.Sleep(time.Second)
		f.heartbeat(f.nodes[0], readyHeartbeat("third-0", 1))
		time.Sleep(time.Second)
		f.assertInstances(f.nodes[1], "second-1", "third-0")
		f.regainStore()
		f.assertInstances(f.nodes[1], "second-1", "third-0")
		f.heartbeat(f.nodes[0], drainingHeartbeat("third-0", 2))
		f.deliver()
		f.assertInstances(f.nodes[1], "second-1")
		for _, notice := range f.nodes[1].notices() {
			f.nodes[1].registrar.HandleStart(notice)
			f.assertInstances(f.nodes[1], "second-1")
		}
	})
}

// TestNoticesOutlastRestoredStore guards against losing noticed targets when the store returns
// from a backup that names targets which have left: the noticed ones are kept until their nodes
// have had time to write them.
func TestNoticesOutlastRestoredStore(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newStartsFleet(t, 2)
		f.loseStore(f.nodes...)
		time.Sleep(time.Second)
		record := Record{Instance: "first-0", Service: "s", Zone: "z", Slots: 10, Address: f.nodes[0].address, State: Ready, Process: 1}
		f.nodes[1].directory.ApplyChanges([]store.Entry{{Key: homesPrefix + record.Address, Revision: store.NewRevision(1, 2), Value: encode(record)}}, "store")
		f.assertInstances(f.nodes[1], "second-0", "second-1")
	})
}

// TestNoticeOrder guards against accepting late, repeated or reordered notices.
func TestNoticeOrder(t *testing.T) {
	stored := func() *Home {
		return &Home{Record: Record{Instance: "i@2", State: Ready, Address: "a", Process: 7}, Revision: 10}
	}
	noticed := stored()
	noticed.NoticeSequence, noticed.previousProcess = 4, 6
	cases := []struct {
		name, instance string
		known          *Home
		base           store.Revision
		process        uint32
		sequence       uint64
		newer          bool
	}{
		{"sent after the stored record was written", "j@1", stored(), 10, 7, 2, true},
		{"sent before the stored record was written", "j@1", stored(), 9, 7, 2, false},
		{"node has written a later record", "j@1", stored(), 11, 7, 2, true},
		{"earlier start of the same target", "i@1", stored(), 11, 7, 9, false},
		{"later start of the same target", "i@3", stored(), 10, 7, 2, true},
		{"repeated", "i@2", noticed, 10, 7, 4, false},
		{"late", "h@9", noticed, 10, 7, 3, false},
		{"next of the same process", "j@1", noticed, 10, 7, 5, true},
		{"first of a new process", "j@1", noticed, 10, 8, 1, true},
		{"late one of the process before", "j@1", noticed, 10, 6, 9, false},
	}
	for _, c := range cases {
		notice := StartNotice{Record: Record{Instance: c.instance, State: Ready, Address: "a", Process: c.process}, Base: c.base, Sequence: c.sequence}
		assert.Check(t, notice.supersedes(c.known) == c.newer, c.name)
	}
}

// TestRepeatedNoticeHasCurrentRecord guards against a notice that carries the slots and the rate limit that
// the target had at its start. Peers would keep them beyond the outage, because the notice names the
// revision of the newer record.
func TestRepeatedNoticeHasCurrentRecord(t *testing.T) {
	s := newStarts(startsConfig{reachable: func() bool { return false }, written: func() store.Revision { return 3 }, now: time.Now,
		peers: Peers{Addresses: func() []string { return []string{"peer"} }, NotifyStart: func(context.Context, string, StartNotice) error { return nil }}})
	rate := 6.8
	started := Record{Instance: "i-1@7", Service: "s", Address: "home", State: Ready, Slots: 10, Process: 1}
	limited := started
	limited.Slots, limited.RateLimit = 20, &rate
	_, changed := s.update(started)
	assert.Assert(t, changed)
	_, changed = s.update(limited)
	assert.Assert(t, !changed, "the incarnation and its state are the same")
	notice, _, _ := s.next()
	assert.DeepEqual(t, notice, StartNotice{Record: limited, Base: 3, Sequence: 1})
}
