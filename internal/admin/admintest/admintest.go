// Package admintest serves the administration API of one node in a test, over
// a store in memory whose faults the test chooses.
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

// Token is what writes must show.
const Token = "token-of-the-tests"

// WriteTimeout bounds a write at the node.
const WriteTimeout = 300 * time.Millisecond

// Fault is how the store fails.
type Fault int32

// The faults of the store.
const (
	// Healthy answers everything.
	Healthy Fault = iota
	// Unavailable refuses everything; nothing takes effect.
	Unavailable
	// ResponsesLost takes writes and loses their answers; reads fail.
	ResponsesLost
	// WritesLost loses writes together with their answers; reads fail.
	WritesLost
	// ReadOnly loses writes together with their answers; reads succeed.
	ReadOnly
)

// Node is a node's administration API with what stands behind it.
type Node struct {
	Server  *httptest.Server
	Replica *configuration.Replica
	Writer  *configuration.Writer
	// Emergency holds the emergency drains.
	Emergency *configuration.EmergencyDrains
	// Status is what the node answers.
	Status admin.Status

	store *faultyStore
}

// Start serves a node until the test ends.
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
		Status:       source{node: n},
		Emergency:    emergency{drains: n.Emergency},
		Log:          log,
		WriteTimeout: WriteTimeout,
	}
}

// SetFault makes the store fail, or heals it.
func (n *Node) SetFault(fault Fault) { n.store.fault.Store(int32(fault)) }

// WriteBypassingReplica writes an object to the store, unseen by the replica, as
// another node does whose news has not arrived yet.
func (n *Node) WriteBypassingReplica(t testing.TB, next resource.Envelope, expected store.Revision, change resource.Change) resource.Versioned {
	t.Helper()
	other := configuration.NewReplica(time.Now)
	writer := configuration.NewWriter(n.store, other, func(...resource.Versioned) {}, time.Now)
	written, err := writer.Write(t.Context(), next, expected, change)
	if err != nil {
		t.Fatalf("write behind the replica: %v", err)
	}
	return written
}

type source struct{ node *Node }

func (s source) Status() admin.Status       { return s.node.Status }
func (s source) Readiness() admin.Readiness { return s.node.Status.Node.Readiness }

type emergency struct {
	drains *configuration.EmergencyDrains
}

func (e emergency) EmergencyDrain(name string) error {
	e.drains.Add(name)
	return nil
}

func (e emergency) EmergencyDrained(name string) bool { return e.drains.Drained(name) }

// faultyStore fails as it is told to.
type faultyStore struct {
	store.Store
	fault atomic.Int32
}

// Get fails as the fault says.
func (s *faultyStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if fault := Fault(s.fault.Load()); fault != Healthy && fault != ReadOnly {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// CompareAndSwap fails as the fault says.
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
