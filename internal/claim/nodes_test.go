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

// fakeStore stores one key. If down is set, it is unavailable. If loseResponses
// is set, a write takes effect but its response is lost.
type fakeStore struct {
	store.Store
	mutex         sync.Mutex
	entry         store.Entry
	down          atomic.Bool
	loseResponses atomic.Bool
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
	if f.loseResponses.Load() {
		return 0, store.ErrUnknownOutcome
	}
	return f.entry.Revision, nil
}

const testRetention = 10 * time.Minute

type testNode struct {
	info    Node
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

func (c *testCluster) now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

func (c *testCluster) advance(d time.Duration) { c.offset.Add(int64(d)) }

// Members returns all nodes. Nodes whose server is closed aren't alive.
func (c *testCluster) Members() []Node {
	var nodes []Node
	for _, node := range c.nodes {
		nodes = append(nodes, node.info)
	}
	return nodes
}

func startTestCluster(t *testing.T, count, capacity int) *testCluster {
	t.Helper()
	c := &testCluster{t: t, store: &fakeStore{}, capacity: capacity, client: &http.Client{Transport: &http.Transport{}}}
	for i := range count {
		c.nodes = append(c.nodes, &testNode{info: Node{Name: fmt.Sprintf("node-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)}})
		c.boot(i)
	}
	t.Cleanup(func() {
		for i := range c.nodes {
			c.kill(i)
		}
		c.client.CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	return c
}

// boot starts a node with its configured name and without claims.
func (c *testCluster) boot(i int) {
	node := c.nodes[i]
	node.info.BootID = NewBootID()
	node.service = NewService(ServiceConfig{Self: node.info.member().Identity, Capacity: c.capacity, Now: c.now})
	mux := http.NewServeMux()
	node.service.Register(mux)
	node.server = httptest.NewServer(mux)
	node.info.PeerAddress = node.server.Listener.Addr().String()
	node.info.Alive = true
	node.claimer = NewClaimer(ClaimerConfig{Service: node.service, Client: c.client})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	node.manager = NewManager(ManagerConfig{
		Service: node.service, Store: c.store, Members: c, Client: c.client, Logger: logger, Retention: testRetention,
	})
}

func (c *testCluster) kill(i int) {
	node := c.nodes[i]
	if node.info.Alive {
		node.claimer.Close()
		node.server.CloseClientConnections()
		node.server.Close()
		node.info.Alive = false
	}
}

// reconcileOnce runs one reconciliation on each live node.
func (c *testCluster) reconcileOnce() {
	for _, node := range c.nodes {
		if node.info.Alive {
			node.manager.reconcile(c.t.Context())
		}
	}
}

// converge reconciles all live nodes often enough for all changes to be made.
func (c *testCluster) converge() {
	for range 20 {
		c.advance(2 * DefaultInterval)
		c.reconcileOnce()
	}
}

func (c *testCluster) claim(i int, key string) Outcome {
	c.t.Helper()
	decision, err := c.nodes[i].claimer.Claim(c.t.Context(), "service", key, NewAttemptID())
	assert.Equal(c.t, err == nil, decision.Outcome == Granted)
	return decision.Outcome
}

// splitBySeat returns the indexes of the nodes that hold a seat and of the others.
func (c *testCluster) splitBySeat() (holders, others []int) {
	roster, err := DecodeRoster(c.store.entry.Value)
	assert.NilError(c.t, err)
	for i, node := range c.nodes {
		if roster.seatOf(node.info.member().Identity) != nil {
			holders = append(holders, i)
		} else {
			others = append(others, i)
		}
	}
	return holders, others
}

func (c *testCluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(c.t, time.Now().Before(deadline), description)
	}
}
