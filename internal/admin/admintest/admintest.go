// Package admintest provides a test server for the administration API of one
// node, backed by an in-memory store with fault injection.
package admintest

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/configuration"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
)

// Token is the bearer token that writes require.
const Token = "token-of-the-tests"

// WriteTimeout is the node's time limit of a write.
const WriteTimeout = 300 * time.Millisecond

// Fault is an injected fault of the store.
type Fault int32

// Faults of the store.
const (
	// Healthy injects no fault.
	Healthy Fault = iota
	// Unavailable rejects all requests; none takes effect.
	Unavailable
	// ResponsesLost applies writes and drops their responses; reads fail.
	ResponsesLost
	// WritesLost drops writes and returns an unknown outcome; reads fail.
	WritesLost
	// ReadOnly drops writes and returns an unknown outcome; reads succeed.
	ReadOnly
)

// Node is the administration API of a node with its dependencies.
type Node struct {
	Server  *httptest.Server
	Replica *configuration.Replica
	Writer  *configuration.Writer
	// Emergency holds the emergency drains.
	Emergency *configuration.EmergencyDrains
	// Status is the status that the API returns.
	Status admin.Status

	store *faultyStore
}

// Start starts a node that is closed when the test ends.
func Start(t testing.TB) *Node {
	t.Helper()
	node := &Node{store: &faultyStore{Store: memory.New(time.Now)}, Status: readyStatus()}
	node.Replica = configuration.NewReplica(time.Now)
	node.Writer = configuration.NewWriter(node.store, node.Replica, func(...resource.Versioned) {}, time.Now)
	node.Emergency = configuration.NewEmergencyDrains(time.Now)
	mux := http.NewServeMux()
	admin.NewServer(node.options()).Register(mux)
	node.Server = httptest.NewServer(mux)
	t.Cleanup(node.Server.Close)
	return node
}

func readyStatus() admin.Status {
	return admin.Status{
		Node:  admin.NodeStatus{Name: "node-a1", Zone: "a", Readiness: admin.Readiness{Ready: true}},
		Store: admin.StoreStatus{Reachable: true},
	}
}

func (n *Node) options() admin.Options {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return admin.Options{
		NodeName:     "node-a1",
		Token:        Token,
		Writer:       n.Writer,
		Replica:      n.Replica,
		Status:       statusSource{node: n},
		Emergency:    emergencyDrainer{drains: n.Emergency},
		Log:          log,
		WriteTimeout: WriteTimeout,
	}
}

// SetFault injects a fault into the store; Healthy removes it.
func (n *Node) SetFault(fault Fault) { n.store.fault.Store(int32(fault)) }

// WriteBypassingReplica writes an object to the store without updating the replica,
// like a write of another node that has not been propagated yet.
func (n *Node) WriteBypassingReplica(t testing.TB, next resource.Envelope, expected store.Revision, change resource.Change) resource.Versioned {
	t.Helper()
	otherReplica := configuration.NewReplica(time.Now)
	writer := configuration.NewWriter(n.store, otherReplica, func(...resource.Versioned) {}, time.Now)
	written, err := writer.Write(t.Context(), next, expected, change)
	if err != nil {
		t.Fatalf("write without updating the replica: %v", err)
	}
	return written
}

type statusSource struct{ node *Node }

func (s statusSource) Status() admin.Status       { return s.node.Status }
func (s statusSource) Readiness() admin.Readiness { return s.node.Status.Node.Readiness }

type emergencyDrainer struct {
	drains *configuration.EmergencyDrains
}

func (e emergencyDrainer) EmergencyDrain(name string) error {
	e.drains.Add(name)
	return nil
}

func (e emergencyDrainer) EmergencyDrained(name string) bool { return e.drains.Drained(name) }

// faultyStore is a store that fails according to fault.
type faultyStore struct {
	store.Store
	fault atomic.Int32
}

// Get implements store.Store.
func (s *faultyStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if fault := Fault(s.fault.Load()); fault != Healthy && fault != ReadOnly {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// CompareAndSwap implements store.Store.
func (s *faultyStore) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	switch Fault(s.fault.Load()) {
	case Unavailable:
		return 0, store.ErrUnavailable
	case WritesLost, ReadOnly:
		return 0, store.ErrUnknownOutcome
	case ResponsesLost:
		_, _ = s.Store.CompareAndSwap(ctx, key, expected, value, lease)
		return 0, store.ErrUnknownOutcome
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
}
