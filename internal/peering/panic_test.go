package peering

import (
	"bytes"
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/ratelimit"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/replica"
)

// panickingHome panics once a call has run for the duration.
type panickingHome struct{ after time.Duration }

func (h panickingHome) Run(context.Context, *Call) *Reply {
	time.Sleep(h.after)
	panic("home")
}

// startHome serves the handler of a home; panics of its handlers are not logged.
func startHome(t *testing.T, config ServerConfig) string {
	t.Helper()
	config.AntiEntropy, config.Codec, config.MaxMessageBytes, config.Process = ignoringPeer{}, testCodec, testMaxBytes, testProcess
	server := httptest.NewUnstartedServer(Handler(config))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String()
}

// TestPanicOfCallEndsProcess guards against an interim response to a call whose handler has
// panicked: in the goroutine of a timer, nothing recovers the panic of the finished response.
func TestPanicOfCallEndsProcess(t *testing.T) {
	address := startHome(t, ServerConfig{Home: panickingHome{}})
	client := NewClient(ClientConfig{MaxMessageBytes: testMaxBytes, DialTimeout: time.Second, MaxIdle: 4, Address: callerAddress, Codec: testCodec})
	_, err := client.Call(t.Context(), address, &Call{RequestID: "a", Method: "POST", URI: "/x", Remaining: time.Second})
	assert.Assert(t, err != nil)
	time.Sleep(interimInterval + 100*time.Millisecond)
}

// TestPanicOfCallLeavesResumptionWaiting guards against a resumed call that waits for its deadline
// because the run that it resumes has panicked.
func TestPanicOfCallLeavesResumptionWaiting(t *testing.T) {
	s := &server{ServerConfig: ServerConfig{Home: panickingHome{after: 50 * time.Millisecond}, AntiEntropy: newFakeAntiEntropy(5), Codec: testCodec, Process: testProcess}, exchanges: newExchangeTable(time.Now)}
	call := &Call{RequestID: "a", From: callerAddress}
	go func() {
		defer func() { _ = recover() }()
		s.runOrResume(context.Background(), call)
	}()
	time.Sleep(10 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	encoded, completed := s.runOrResume(ctx, &Call{RequestID: "a", From: callerAddress, Resumed: true, Process: testProcess})
	assert.Assert(t, completed, "the resumption waited for its deadline")
	reply, err := testCodec.decodeReply(encoded.bytes())
	assert.NilError(t, err)
	assert.Equal(t, reply.Reason, ExchangeBroken)
}

// TestSocketErrorTakesProcessor guards against a permit socket that reads without a pause while its
// reads fail.
func TestSocketErrorTakesProcessor(t *testing.T) {
	socket := listenPermitSocket(t, nil)
	assert.NilError(t, socket.socket.SetReadDeadline(time.Now().Add(-time.Second)))
	before := processorTime(t)
	time.Sleep(400 * time.Millisecond)
	used := processorTime(t) - before
	assert.Assert(t, used < 150*time.Millisecond, "used %v", used)
	assert.NilError(t, socket.socket.SetReadDeadline(time.Time{}))
	holder := listenPermitSocket(t, &recordingIssuer{})
	_, err := holder.Request(t.Context(), addressOf(socket), &ratelimit.PermitRequest{Tenant: "acme"})
	assert.ErrorIs(t, err, errGrantTimeout)
}

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// ignoringPeer handles valid messages.
type ignoringPeer struct{}

func (ignoringPeer) HandleNotice(*quarantine.Notice)                        {}
func (ignoringPeer) HandleDeparture(registry.Departure)                     {}
func (ignoringPeer) HandleStart(registry.StartNotice)                       {}
func (ignoringPeer) Run(context.Context, *Call) *Reply                      { return &Reply{Outcome: Answered, Status: 200} }
func (ignoringPeer) Digests() []replica.Digest                              { return digestsAt(5) }
func (ignoringPeer) AnswerQuery(*replica.Query) *replica.Answer             { return &replica.Answer{} }
func (ignoringPeer) HandleCallDigests(string, []replica.Digest)             {}
func (ignoringPeer) HandleReplyDigests(string, []replica.Digest, time.Time) {}

// malformed returns the message's truncations, and mutations of it with a fixed seed.
func malformed(message []byte) [][]byte {
	random := rand.New(rand.NewPCG(1, 2))
	messages := [][]byte{nil, {0}, {0xff}, bytes.Repeat([]byte{0x81}, 20000), {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, {0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}}
	for length := range message {
		messages = append(messages, message[:length])
	}
	for range 2000 {
		mutated := bytes.Clone(message)
		for range 1 + random.IntN(4) {
			mutated[random.IntN(len(mutated))] = byte(random.Uint32())
		}
		messages = append(messages, mutated)
	}
	return messages
}

// TestMalformedMessagePanics guards against a message of a peer whose handler panics.
func TestMalformedMessagePanics(t *testing.T) {
	var call bytes.Buffer
	testCodec.encodeCall(&call, &Call{Service: "s", RequestID: "a", Method: "PUT", URI: "/x", Header: http.Header{"X-A": {"b"}}, Body: []byte("body"), Remaining: time.Second, Digests: digestsAt(3)})
	messages := map[string][]byte{
		callPath:      call.Bytes(),
		queryPath:     encode(&replica.Query{Digests: digestsAt(3)}),
		noticePath:    encode(&quarantine.Notice{}),
		departurePath: encode(registry.Departure{Instance: "i", Address: callerAddress}),
		startPath:     encode(registry.StartNotice{}),
		permitPath:    encode((&ratelimit.PermitRequest{Tenant: "acme", Needed: 3}).Wire()),
	}
	peer := ignoringPeer{}
	handler := Handler(ServerConfig{Home: peer, AntiEntropy: peer, Quarantine: peer, Departures: peer, Starts: peer, Permits: &recordingIssuer{}, Codec: testCodec, MaxMessageBytes: testMaxBytes, Process: testProcess})
	for path, message := range messages {
		t.Run(path, func(t *testing.T) {
			for _, content := range malformed(message) {
				handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, path, bytes.NewReader(content)))
			}
		})
	}
}

// TestMalformedReplyPanics guards against a message of a peer whose decoding panics.
func TestMalformedReplyPanics(t *testing.T) {
	reply := testCodec.encodeReply(&Reply{Outcome: Answered, Status: 201, Header: http.Header{"X-A": {"b"}}, Body: []byte("body"), Digests: digestsAt(3), Load: Load{InFlight: 1, Limit: 3}})
	for _, content := range malformed(reply) {
		_, _ = testCodec.decodeReply(content)
	}
	for _, content := range malformed(encode((&ratelimit.Grant{Held: true, Issued: 3, Demand: 2}).Wire())) {
		var grant ratelimit.Grant
		_ = grant.Decode(content)
	}
	for _, content := range malformed(encode(&replica.Answer{})) {
		var answer replica.Answer
		_ = cbor.Unmarshal(content, &answer)
	}
}

// TestMalformedDatagramEndsProcess guards against a datagram that ends the process.
func TestMalformedDatagramEndsProcess(t *testing.T) {
	for name, permits := range map[string]PermitIssuer{"holder": &recordingIssuer{}, "node without permits": nil} {
		t.Run(name, func(t *testing.T) {
			socket := listenPermitSocket(t, permits)
			connection, err := net.Dial("udp4", addressOf(socket))
			assert.NilError(t, err)
			defer connection.Close()
			for _, kind := range []byte{0, datagramRequest, datagramGrant, 255} {
				for _, datagram := range malformed(encodeDatagram(kind, 1, (&ratelimit.PermitRequest{Tenant: "acme", Needed: 3}).Wire())) {
					_, _ = connection.Write(datagram)
				}
			}
			time.Sleep(50 * time.Millisecond)
		})
	}
}
