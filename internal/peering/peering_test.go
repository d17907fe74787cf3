package peering

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
)

// echoHome answers with the call's body, or waits for the caller to leave.
type echoHome struct{ left chan struct{} }

func (h *echoHome) Run(ctx context.Context, call *Call) *Reply {
	if call.URI == "/wait" {
		<-ctx.Done()
		close(h.left)
		return &Reply{Outcome: Failed, Reason: CallerLeft}
	}
	return &Reply{Outcome: Answered, Status: 201, Header: http.Header{"X-A": {"b"}}, Body: call.Body, RetryAfter: time.Second,
		Load: Load{InFlight: 1, Limit: 3, Latency: time.Millisecond, Threshold: 7, Stopping: true}}
}

const (
	testBound  = 1 << 16
	ownAddress = "10.0.0.9:8300"
	// testProcess is the process of the home.
	testProcess = 7
)

func digestsOf(through store.Revision) []replica.Digest {
	return []replica.Digest{{Revision: through, Age: time.Second}}
}

// fakeSpread notes what is heard of peers' copies.
type fakeSpread struct {
	through store.Revision
	calls   chan []replica.Digest
	replies chan []replica.Digest
	peer    string
	asked   time.Time
}

func newFakeSpread(through store.Revision) *fakeSpread {
	return &fakeSpread{through: through, calls: make(chan []replica.Digest, 8), replies: make(chan []replica.Digest, 8)}
}

func (s *fakeSpread) Digests() []replica.Digest { return digestsOf(s.through) }

func (s *fakeSpread) HandleCallDigests(peer string, digests []replica.Digest) {
	s.peer = peer
	s.calls <- digests
}

func (s *fakeSpread) HandleReplyDigests(peer string, digests []replica.Digest, asked time.Time) {
	s.peer, s.asked = peer, asked
	s.replies <- digests
}

func (s *fakeSpread) AnswerQuery(query *replica.Query) *replica.Answer {
	items := []replica.Item{{Key: "k", Value: []byte("document"), Revision: 4, Lease: store.LeaseID{Number: 6}}, {Key: "gone", Revision: 5, Deleted: true}}
	return &replica.Answer{Deltas: []replica.Delta{{Digest: query.Digests[0], Full: true, Items: items}}}
}

var testCodec = NewCodec("X-Signature")

type peer struct {
	client          *Client
	home            *echoHome
	address         string
	caller, spreads *fakeSpread
}

func startPeer(t *testing.T) *peer {
	t.Helper()
	p := &peer{home: &echoHome{left: make(chan struct{})}, caller: newFakeSpread(3), spreads: newFakeSpread(5)}
	server := httptest.NewServer(Handler(Services{Home: p.home, AntiEntropy: p.spreads, Codec: testCodec, MaxBytes: testBound, Process: testProcess}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	p.client = NewClient(ClientConfig{MaxBuffered: testBound, DialTimeout: time.Second, UserTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, Address: ownAddress, Codec: testCodec})
	p.client.SetAntiEntropy(p.caller)
	p.address = strings.TrimPrefix(server.URL, "http://")
	return p
}

func start(t *testing.T) (*Client, *echoHome, string) {
	t.Helper()
	p := startPeer(t)
	return p.client, p.home, p.address
}

func TestACallArrivesWholeAndSoDoesItsReply(t *testing.T) {
	client, _, address := start(t)
	body := bytes.Repeat([]byte{0, 1, 0xff}, 1000)
	reply, err := client.Call(t.Context(), address, &Call{Service: "s", RequestID: "a", Method: "POST", URI: "/x", Body: body, Remaining: time.Second})
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, &Reply{Outcome: Answered, Status: 201, Header: http.Header{"X-A": {"b"}}, Body: body, RetryAfter: time.Second,
		Load: Load{InFlight: 1, Limit: 3, Latency: time.Millisecond, Threshold: 7, Stopping: true}, Digests: digestsOf(5)})
}

func TestCancellationReachesHome(t *testing.T) {
	client, home, address := start(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Call(ctx, address, &Call{URI: "/wait"})
	var failure *Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, failure.Sent, "it may have run")
	select {
	case <-home.left:
	case <-time.After(10 * time.Second):
		t.Fatal("the home never heard that its caller left")
	}
}

func TestAMessageThatIsTooLargeIsRefused(t *testing.T) {
	client, _, address := start(t)
	_, err := client.Call(t.Context(), address, &Call{Body: make([]byte, testBound+1)})
	assert.ErrorContains(t, err, "400")
}

func TestAPeerThatIsNotThereWasNotReached(t *testing.T) {
	client, _, _ := start(t)
	_, err := client.Call(t.Context(), "127.0.0.1:1", &Call{})
	var failure *Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, !failure.Sent)
	assert.Assert(t, client.Ping(t.Context(), "127.0.0.1:1") != nil)
}

func TestCallsAndRepliesTellHowFarCopiesReach(t *testing.T) {
	p := startPeer(t)
	before := time.Now()
	_, err := p.client.Call(t.Context(), p.address, &Call{URI: "/x"})
	assert.NilError(t, err)
	assert.DeepEqual(t, <-p.spreads.calls, digestsOf(3))
	assert.Equal(t, p.spreads.peer, ownAddress)
	assert.DeepEqual(t, <-p.caller.replies, digestsOf(5))
	assert.Equal(t, p.caller.peer, p.address)
	assert.Assert(t, !p.caller.asked.Before(before) && p.caller.asked.Before(time.Now()))
}

func TestWhatACopyLacksIsFetched(t *testing.T) {
	p := startPeer(t)
	answer, err := p.client.Query(t.Context(), p.address, &replica.Query{From: ownAddress, Digests: digestsOf(7)})
	assert.NilError(t, err)
	assert.DeepEqual(t, answer, p.spreads.AnswerQuery(&replica.Query{Digests: digestsOf(7)}))
	assert.NilError(t, p.client.Ping(t.Context(), p.address))
	_, err = p.client.Query(t.Context(), "127.0.0.1:1", &replica.Query{})
	var failure *Error
	assert.Assert(t, errors.As(err, &failure))
}

// copyOf returns a copy that a keeper fills from the store.
func copyOf(t *testing.T, source store.Store) *replica.Copy {
	t.Helper()
	held := replica.NewCopy(time.Second, func([]store.Entry, string) {}, time.Now)
	keeper := &replica.Syncer{Copy: held, Store: source, Prefix: "k", Position: func() (int, bool) { return 0, true }, Now: time.Now}
	go keeper.Run(t.Context())
	await(t, "the copy is filled", held.Initialized)
	return held
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
}

// TestReplyDigestTriggersQuery has a node call a peer that knows a newer
// document: the reply tells so, and the node fetches it.
func TestReplyDigestTriggersQuery(t *testing.T) {
	source := memory.New(time.Now)
	_, err := source.CompareAndSwap(t.Context(), "k", 0, []byte("document"), store.NoLease)
	assert.NilError(t, err)
	server := httptest.NewServer(Handler(Services{Home: &echoHome{}, AntiEntropy: replica.NewAntiEntropy(replica.AntiEntropyConfig{Address: "peer", Peers: noPeers, Now: time.Now}, copyOf(t, source)), Codec: testCodec, MaxBytes: testBound, Process: testProcess}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	address := strings.TrimPrefix(server.URL, "http://")

	taken := make(chan string, 1)
	lacking := replica.NewCopy(time.Second, func(entries []store.Entry, from string) { taken <- string(entries[0].Value) + " from " + from }, time.Now)
	client := NewClient(ClientConfig{MaxBuffered: testBound, DialTimeout: time.Second, UserTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, Address: ownAddress, Codec: testCodec})
	client.SetAntiEntropy(replica.NewAntiEntropy(replica.AntiEntropyConfig{Address: ownAddress, Peers: noPeers, SendQuery: client.Query, Now: time.Now}, lacking))
	_, err = client.Call(t.Context(), address, &Call{URI: "/x"})
	assert.NilError(t, err)
	assert.Equal(t, <-taken, "document from "+address)
}

func TestOnlyReasonsOfTheHomeItselfAreFinal(t *testing.T) {
	for _, reason := range []Reason{NoTarget, TargetLeaving, Stopping, Misdirected} {
		assert.Assert(t, reason.HomeUnavailable(), string(reason))
	}
	for _, reason := range []Reason{QueueFull, Evicted, Late, QueueTimeout, TargetFull, ConnectFailed, ExchangeBroken, InvalidResponse, DeadlinePassed, CallerLeft, Suspected} {
		assert.Assert(t, !reason.HomeUnavailable(), string(reason))
	}
}

func noPeers() []string { return nil }
