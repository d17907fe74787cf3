package claim

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
)

// fakeStore stores one key. If down is set, it is unavailable. If loseAnswers is
// set, a write takes effect but its answer is lost.
type fakeStore struct {
	store.Store
	mutex       sync.Mutex
	entry       store.Entry
	down        atomic.Bool
	loseAnswers atomic.Bool
}

func (f *fakeStore) Get(context.Context, string) (store.Entry, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.down.Load() {
		return store.Entry{}, store.ErrUnavailable
	}
	if f.entry.Revision == 0 {
		return store.Entry{}, store.ErrNotFound
	}
	return f.entry, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, key string, expected store.Revision, value []byte, _ store.LeaseID) (store.Revision, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.down.Load() {
		return 0, store.ErrUnavailable
	}
	if expected != f.entry.Revision {
		return 0, store.ErrConflict
	}
	f.entry = store.Entry{Key: key, Value: value, Revision: expected + 1}
	if f.loseAnswers.Load() {
		return 0, store.ErrUnknownOutcome
	}
	return f.entry.Revision, nil
}

const testRetention = 10 * time.Minute

type testNode struct {
	node    Node
	service *Service
	claimer *Claimer
	manager *Manager
	server  *httptest.Server
}

type testCluster struct {
	t        *testing.T
	store    *fakeStore
	offset   atomic.Int64 // clock offset in nanoseconds
	capacity int
	client   *http.Client
	nodes    []*testNode
}

func (n *testCluster) now() time.Time { return time.Now().Add(time.Duration(n.offset.Load())) }

func (n *testCluster) advance(d time.Duration) { n.offset.Add(int64(d)) }

// Members returns all nodes. Nodes whose server is closed aren't alive.
func (n *testCluster) Members() []Node {
	var nodes []Node
	for _, node := range n.nodes {
		nodes = append(nodes, node.node)
	}
	return nodes
}

func startNodes(t *testing.T, count, capacity int) *testCluster {
	t.Helper()
	n := &testCluster{t: t, store: &fakeStore{}, capacity: capacity, client: &http.Client{Transport: &http.Transport{}}}
	for i := range count {
		n.nodes = append(n.nodes, &testNode{node: Node{Name: fmt.Sprintf("node-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)}})
		n.boot(i)
	}
	t.Cleanup(func() {
		for i := range n.nodes {
			n.kill(i)
		}
		n.client.CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	return n
}

// boot starts a node with its configured name and without claims.
func (n *testCluster) boot(i int) {
	node := n.nodes[i]
	node.node.BootID = NewBootID()
	node.service = NewService(ServiceConfig{Self: node.node.member().Identity, Capacity: n.capacity, Now: n.now})
	mux := http.NewServeMux()
	node.service.Register(mux)
	node.server = httptest.NewServer(mux)
	node.node.PeerAddress = node.server.Listener.Addr().String()
	node.node.Alive = true
	node.claimer = NewClaimer(ClaimerConfig{Service: node.service, Client: n.client})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	node.manager = NewManager(ManagerConfig{
		Service: node.service, Store: n.store, Members: n, Client: n.client, Logger: logger, Retention: testRetention,
	})
}

func (n *testCluster) kill(i int) {
	node := n.nodes[i]
	if node.node.Alive {
		node.claimer.Close()
		node.server.CloseClientConnections()
		node.server.Close()
		node.node.Alive = false
	}
}

// reconcileOnce runs one reconciliation on each live node.
func (n *testCluster) reconcileOnce() {
	for _, node := range n.nodes {
		if node.node.Alive {
			node.manager.reconcile(n.t.Context())
		}
	}
}

// converge reconciles all live nodes often enough for all changes to be made.
func (n *testCluster) converge() {
	for range 20 {
		n.advance(2 * DefaultInterval)
		n.reconcileOnce()
	}
}

func (n *testCluster) claim(i int, key string) Outcome {
	n.t.Helper()
	decision, err := n.nodes[i].claimer.Claim(n.t.Context(), "service", key, NewAttemptID())
	assert.Equal(n.t, err == nil, decision.Outcome == Granted)
	return decision.Outcome
}

// seats returns the indexes of the nodes that hold a seat and of the others.
func (n *testCluster) seats() (holders, others []int) {
	roster, err := DecodeRoster(n.store.entry.Value)
	assert.NilError(n.t, err)
	for i, node := range n.nodes {
		if roster.seatOf(node.node.member().Identity) != nil {
			holders = append(holders, i)
		} else {
			others = append(others, i)
		}
	}
	return holders, others
}

func (n *testCluster) eventually(description string, condition func() bool) {
	n.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(n.t, time.Now().Before(deadline), description)
	}
}
