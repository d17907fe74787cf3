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

	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
)

// echoHome echoes the call's body; a call of /wait blocks until it is canceled.
type echoHome struct{ canceled chan struct{} }

func (h *echoHome) Run(ctx context.Context, call *Call) *Reply {
	if call.URI == "/wait" {
		<-ctx.Done()
		close(h.canceled)
		return &Reply{Outcome: Failed, Reason: CallCanceled}
	}
	return &Reply{Outcome: Answered, Status: 201, Header: http.Header{"X-A": {"b"}}, Body: call.Body, RetryAfter: time.Second,
		Load: Load{InFlight: 1, Limit: 3, Latency: time.Millisecond, Threshold: 7, Stopping: true}}
}

const (
	testMaxBytes  = 1 << 16
	callerAddress = "10.0.0.9:8300"
	// testProcess identifies the home's process.
	testProcess = 7
)

func digestsAt(revision store.Revision) []replica.Digest {
	return []replica.Digest{{Revision: revision, Age: time.Second}}
}

// fakeAntiEntropy records the digests that it receives.
type fakeAntiEntropy struct {
	revision store.Revision
	calls    chan []replica.Digest
	replies  chan []replica.Digest
	peer     string
	sentAt   time.Time
}

func newFakeAntiEntropy(revision store.Revision) *fakeAntiEntropy {
	return &fakeAntiEntropy{revision: revision, calls: make(chan []replica.Digest, 8), replies: make(chan []replica.Digest, 8)}
}

func (f *fakeAntiEntropy) Digests() []replica.Digest { return digestsAt(f.revision) }

func (f *fakeAntiEntropy) HandleCallDigests(peer string, digests []replica.Digest) {
	f.peer = peer
	f.calls <- digests
}

func (f *fakeAntiEntropy) HandleReplyDigests(peer string, digests []replica.Digest, sentAt time.Time) {
	f.peer, f.sentAt = peer, sentAt
	f.replies <- digests
}

func (f *fakeAntiEntropy) AnswerQuery(query *replica.Query) *replica.Answer {
	items := []replica.Item{{Key: "k", Value: []byte("document"), Revision: 4, Lease: store.LeaseID{Number: 6}}, {Key: "gone", Revision: 5, Deleted: true}}
	return &replica.Answer{Deltas: []replica.Delta{{Digest: query.Digests[0], Full: true, Items: items}}}
}

var testCodec = NewCodec("X-Signature")

type testPeer struct {
	client                     *Client
	home                       *echoHome
	address                    string
	callerDigests, peerDigests *fakeAntiEntropy
}

func startPeer(t *testing.T) *testPeer {
	t.Helper()
	p := &testPeer{home: &echoHome{canceled: make(chan struct{})}, callerDigests: newFakeAntiEntropy(3), peerDigests: newFakeAntiEntropy(5)}
	server := httptest.NewServer(Handler(ServerConfig{Home: p.home, AntiEntropy: p.peerDigests, Codec: testCodec, MaxMessageBytes: testMaxBytes, Process: testProcess}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	p.client = NewClient(ClientConfig{MaxMessageBytes: testMaxBytes, DialTimeout: time.Second, UserTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, Address: callerAddress, Codec: testCodec})
	p.client.SetAntiEntropy(p.callerDigests)
	p.address = strings.TrimPrefix(server.URL, "http://")
	return p
}

func startClientAndHome(t *testing.T) (*Client, *echoHome, string) {
	t.Helper()
	p := startPeer(t)
	return p.client, p.home, p.address
}

func TestCallRoundTrip(t *testing.T) {
	client, _, address := startClientAndHome(t)
	body := bytes.Repeat([]byte{0, 1, 0xff}, 1000)
	reply, err := client.Call(t.Context(), address, &Call{Service: "s", RequestID: "a", Method: "POST", URI: "/x", Body: body, Remaining: time.Second})
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, &Reply{Outcome: Answered, Status: 201, Header: http.Header{"X-A": {"b"}}, Body: body, RetryAfter: time.Second,
		Load: Load{InFlight: 1, Limit: 3, Latency: time.Millisecond, Threshold: 7, Stopping: true}, Digests: digestsAt(5)})
}

// startRecorder records the notices of started targets that it receives.
type startRecorder struct{ notices []registry.StartNotice }

func (r *startRecorder) HandleStart(notice registry.StartNotice) {
	r.notices = append(r.notices, notice)
}

// TestStartNoticeReachesPeer guards against notices that a peer cannot decode, against incomplete
// ones, and against a peer without notices that appears to have received one.
func TestStartNoticeReachesPeer(t *testing.T) {
	recorder := &startRecorder{}
	server := httptest.NewServer(Handler(ServerConfig{Starts: recorder, MaxMessageBytes: testMaxBytes}))
	t.Cleanup(server.Close)
	client, _, oldPeer := startClientAndHome(t)
	address := strings.TrimPrefix(server.URL, "http://")
	notice := registry.StartNotice{Record: registry.Record{Instance: "i@5", Service: "s", Zone: "z", Address: "10.0.0.2:8300", Slots: 10, State: registry.Ready, Process: 7}, Base: store.NewRevision(2, 3), Sequence: 4}
	assert.NilError(t, client.SendStart(t.Context(), address, notice))
	assert.DeepEqual(t, recorder.notices, []registry.StartNotice{notice})
	assert.ErrorContains(t, client.SendStart(t.Context(), address, registry.StartNotice{}), "400")
	assert.ErrorContains(t, client.SendStart(t.Context(), oldPeer, notice), "404")
}

func TestCancellationReachesHome(t *testing.T) {
	client, home, address := startClientAndHome(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Call(ctx, address, &Call{URI: "/wait"})
	var failure *Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, failure.Sent, "the call may have run")
	select {
	case <-home.canceled:
	case <-time.After(10 * time.Second):
		t.Fatal("the home's context was not canceled")
	}
}

func TestOversizedMessageIsRejected(t *testing.T) {
	client, _, address := startClientAndHome(t)
	_, err := client.Call(t.Context(), address, &Call{Body: make([]byte, testMaxBytes+1)})
	assert.ErrorContains(t, err, "400")
}

func TestUnreachablePeerReportsNotSent(t *testing.T) {
	client, _, _ := startClientAndHome(t)
	_, err := client.Call(t.Context(), "127.0.0.1:1", &Call{})
	var failure *Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, !failure.Sent)
	assert.Assert(t, client.Ping(t.Context(), "127.0.0.1:1") != nil)
}

func TestCallsAndRepliesCarryDigests(t *testing.T) {
	p := startPeer(t)
	before := time.Now()
	_, err := p.client.Call(t.Context(), p.address, &Call{URI: "/x"})
	assert.NilError(t, err)
	assert.DeepEqual(t, <-p.peerDigests.calls, digestsAt(3))
	assert.Equal(t, p.peerDigests.peer, callerAddress)
	assert.DeepEqual(t, <-p.callerDigests.replies, digestsAt(5))
	assert.Equal(t, p.callerDigests.peer, p.address)
	assert.Assert(t, !p.callerDigests.sentAt.Before(before) && p.callerDigests.sentAt.Before(time.Now()))
}

func TestQueryReturnsDeltas(t *testing.T) {
	p := startPeer(t)
	answer, err := p.client.Query(t.Context(), p.address, &replica.Query{From: callerAddress, Digests: digestsAt(7)})
	assert.NilError(t, err)
	assert.DeepEqual(t, answer, p.peerDigests.AnswerQuery(&replica.Query{Digests: digestsAt(7)}))
	assert.NilError(t, p.client.Ping(t.Context(), p.address))
	_, err = p.client.Query(t.Context(), "127.0.0.1:1", &replica.Query{})
	var failure *Error
	assert.Assert(t, errors.As(err, &failure))
}

// filledCopy returns a replica that a syncer has filled from the store.
func filledCopy(t *testing.T, source store.Store) *replica.Copy {
	t.Helper()
	filled := replica.NewCopy(time.Second, func([]store.Entry, string) {}, time.Now)
	syncer := &replica.Syncer{Copy: filled, Store: source, Prefix: "k", Position: func() (int, bool) { return 0, true }, Now: time.Now}
	go syncer.Run(t.Context())
	waitFor(t, "the replica is filled", filled.Initialized)
	return filled
}

func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", description)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
}

// TestReplyDigestTriggersQuery checks that a node fetches a document when the digests on a
// reply show that the peer's replica is ahead of its own.
func TestReplyDigestTriggersQuery(t *testing.T) {
	source := memory.New(time.Now)
	_, err := source.CompareAndSwap(t.Context(), "k", 0, []byte("document"), store.NoLease)
	assert.NilError(t, err)
	server := httptest.NewServer(Handler(ServerConfig{Home: &echoHome{}, AntiEntropy: replica.NewAntiEntropy(replica.AntiEntropyConfig{Address: "peer", Peers: noPeers, Now: time.Now}, filledCopy(t, source)), Codec: testCodec, MaxMessageBytes: testMaxBytes, Process: testProcess}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	address := strings.TrimPrefix(server.URL, "http://")

	received := make(chan string, 1)
	empty := replica.NewCopy(time.Second, func(entries []store.Entry, from string) { received <- string(entries[0].Value) + " from " + from }, time.Now)
	client := NewClient(ClientConfig{MaxMessageBytes: testMaxBytes, DialTimeout: time.Second, UserTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, Address: callerAddress, Codec: testCodec})
	client.SetAntiEntropy(replica.NewAntiEntropy(replica.AntiEntropyConfig{Address: callerAddress, Peers: noPeers, SendQuery: client.Query, Now: time.Now}, empty))
	_, err = client.Call(t.Context(), address, &Call{URI: "/x"})
	assert.NilError(t, err)
	assert.Equal(t, <-received, "document from "+address)
}

func TestHomeUnavailableReasons(t *testing.T) {
	for _, reason := range []Reason{NoTarget, TargetLeaving, Stopping, Misdirected} {
		assert.Assert(t, reason.HomeUnavailable(), string(reason))
	}
	for _, reason := range []Reason{QueueFull, Evicted, WouldMissDeadline, QueueTimeout, TargetFull, ConnectFailed, ExchangeBroken, InvalidResponse, DeadlinePassed, CallCanceled, Suspected} {
		assert.Assert(t, !reason.HomeUnavailable(), string(reason))
	}
}

func noPeers() []string { return nil }
