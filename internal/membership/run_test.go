package membership

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// udpNode is a node with a UDP socket on the loopback interface.
type udpNode struct {
	*Membership
	transport *UDPTransport
	done      chan error
	cancel    context.CancelFunc
}

func startUDPNode(t *testing.T, name string, seeds ...string) *udpNode {
	t.Helper()
	transport, err := ListenUDP("127.0.0.1:0")
	assert.NilError(t, err)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	membership, err := New(Config{
		Self:      Member{Name: name, Zone: "a", PeerAddress: transport.LocalAddress()},
		Seeds:     seeds,
		Period:    50 * time.Millisecond,
		Transport: transport,
		Logger:    logrus.NewEntry(logger),
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	node := &udpNode{Membership: membership, transport: transport, done: make(chan error, 1), cancel: cancel}
	go func() { node.done <- membership.Run(ctx) }()
	return node
}

func (n *udpNode) stop(t *testing.T) {
	t.Helper()
	n.Close()
	assert.NilError(t, <-n.done)
	n.cancel()
	assert.NilError(t, n.transport.Close())
}

func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting: %s", description)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

func TestThreeNodesOverUDP(t *testing.T) {
	first := startUDPNode(t, "first")
	second := startUDPNode(t, "second", first.Self().PeerAddress)
	third := startUDPNode(t, "third", first.Self().PeerAddress)
	nodes := []*udpNode{first, second, third}
	waitFor(t, "all nodes to list each other", func() bool {
		for _, node := range nodes {
			if len(node.Live("a")) != len(nodes) || !node.ListReliable() {
				return false
			}
		}
		return true
	})
	third.Leave()
	third.stop(t)
	waitFor(t, "the other nodes to remove the node that left", func() bool { return len(first.Live("")) == 2 && len(second.Live("")) == 2 })
	second.cancel()
	assert.ErrorIs(t, <-second.done, context.Canceled)
	waitFor(t, "the crash to be detected", func() bool { return len(first.Live("")) == 1 })
	assert.NilError(t, second.transport.Close())
	first.stop(t)
}

func TestRunReturnsWhenTransportCloses(t *testing.T) {
	node := startUDPNode(t, "only")
	assert.NilError(t, node.transport.Close())
	assert.NilError(t, <-node.done)
	node.cancel()
}

func TestInvalidConfigRejected(t *testing.T) {
	valid := Config{Self: exampleMember(1), Transport: &simulatedNode{}, Clock: newSimulation(1).start(0, 0).clock}
	tests := []struct {
		modify  func(*Config)
		wantErr error
	}{
		{func(*Config) {}, nil},
		{func(c *Config) { c.Transport = nil }, errNoTransport},
		{func(c *Config) { c.Self.PeerAddress = "" }, errInvalidAddress},
		{func(c *Config) { c.Self.Name = "" }, errInvalidName},
		{func(c *Config) { c.Period = -time.Second; c.PauseLimit = 1; c.IsolationLimit = 1 }, errNegativeSetting},
		{func(c *Config) { c.Fanout = -1 }, errNegativeSetting},
		{func(c *Config) { c.ClusterName = "\x00" }, errInvalidClusterName},
	}
	for i, test := range tests {
		config := valid
		test.modify(&config)
		_, err := New(config)
		assert.ErrorIs(t, err, test.wantErr, "case %d", i)
	}
}

func TestHTTPExchange(t *testing.T) {
	s := newSimulation(20)
	nodes := startCluster(t, s, 5)
	server := httptest.NewServer(nodes[0].Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := server.Client()

	members, size, err := HTTPExchange(client, "test")(t.Context(), address, 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, members, nodes[0].Snapshot())
	assert.Assert(t, size > 0)
	joiner := s.start(9, 0)
	joiner.Merge(members)
	assert.Equal(t, len(joiner.Live("")), 6)
	assert.Equal(t, joiner.Stats().QueuedUpdates, 1, "merged members were queued as updates")

	members, size, err = HTTPExchange(client, "test")(t.Context(), address, nodes[0].Digest())
	assert.NilError(t, err)
	assert.Assert(t, members == nil && size == 0, "a list was sent although the digests are equal")

	_, _, err = HTTPExchange(client, "other")(t.Context(), address, 1)
	assert.ErrorIs(t, err, errOtherCluster)
	assert.ErrorContains(t, err, "another cluster")

	response, err := client.Post(server.URL+ExchangePath, listContentType, strings.NewReader("x"))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusMethodNotAllowed)
}

func TestHTTPExchangeRejectsInvalidResponse(t *testing.T) {
	tests := map[string]func(http.ResponseWriter){
		"endless": func(w http.ResponseWriter) {
			for range maxListBytes/1024 + 1 {
				fmt.Fprint(w, strings.Repeat("x", 1024))
			}
		},
		"malformed": func(w http.ResponseWriter) { fmt.Fprint(w, "x") },
		"status":    func(w http.ResponseWriter) { w.WriteHeader(http.StatusTeapot) },
		"too many": func(w http.ResponseWriter) {
			body, err := encoder.Marshal(memberList{Cluster: "test", Members: make([]Member, DefaultMaxMembers+2)})
			if err == nil {
				_, _ = w.Write(body)
			}
		},
	}
	for name, serve := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { serve(w) }))
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			_, _, err := HTTPExchange(server.Client(), "test")(t.Context(), address, 1)
			assert.Assert(t, err != nil)
		})
	}
}

func TestMergeProbesDeadAndKeepsNewerRecords(t *testing.T) {
	s := newSimulation(21)
	nodes := startCluster(t, s, 5)
	list := append([]Member(nil), nodes[0].Snapshot()...)
	for i := range list {
		list[i].State = Dead
	}
	nodes[1].Merge(list)
	assert.Equal(t, len(nodes[1].Live("")), 5, "a death in a merged list was applied")
	before := nodes[1].Stats().ProbesSent
	s.advance(3 * DefaultPeriod)
	assert.Assert(t, nodes[1].Stats().ProbesSent >= before+4+2, "the members reported dead were not probed")
	stale := append([]Member(nil), nodes[0].Snapshot()...)
	for i := range stale {
		stale[i].Incarnation--
		stale[i].MeshAddress = "10.9.9.9:9"
	}
	nodes[1].Merge(stale)
	for _, member := range nodes[1].Members() {
		assert.Assert(t, member.MeshAddress != "10.9.9.9:9", "an older record was applied")
	}
}
