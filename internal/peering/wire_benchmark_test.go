package peering

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/lugspur/lugspur/internal/replica"
)

// benchmarkCall returns a typical call: the first offer of a nested read.
func benchmarkCall() *Call {
	return &Call{Service: "prices", RequestID: "cbfed4665665238d.96c6f396bb9a3a42", Method: http.MethodGet, URI: "/list/7?x=y", Host: "prices.example",
		Header:    http.Header{"User-Agent": {"caller"}, "Accept": {"*/*"}, "X-Custom": {"a"}},
		Remaining: 800 * time.Millisecond, Caller: "cards", Route: "price-list", Rank: 300, MaxWait: 180 * time.Millisecond, Nested: true, From: "10.1.0.34:8560",
		Digests: []replica.Digest{{Revision: 1234, Age: 45 * time.Millisecond}, {Revision: 1250, Age: 40 * time.Millisecond}}}
}

// benchmarkReply returns a typical reply.
func benchmarkReply() *Reply {
	return &Reply{Outcome: Answered, Status: http.StatusOK, Header: http.Header{"X-Signature": {"3e1b.07.5a2.600.0.c9f2a4d1"}, "Content-Type": {"text/plain"}}, Body: []byte("ok"),
		Load:    Load{InFlight: 12, Queued: 3, Limit: 19, Latency: 22340 * time.Microsecond, Threshold: 700, Target: TargetAnnouncement{Instance: "i-1@7"}},
		Digests: benchmarkCall().Digests}
}

// pageHome answers each call at once with a body of 4 KiB.
type pageHome struct{}

// Run returns the reply.
func (pageHome) Run(context.Context, *Call) *Reply {
	reply := benchmarkReply()
	reply.Body = page
	return reply
}

var page = bytes.Repeat([]byte("x"), 4<<10)

// BenchmarkCall measures sequential calls with a reply of 4 KiB, at both nodes.
func BenchmarkCall(b *testing.B) {
	server := httptest.NewServer(Handler(ServerConfig{Home: pageHome{}, AntiEntropy: replica.NewAntiEntropy(replica.AntiEntropyConfig{Now: time.Now}), Codec: testCodec, MaxMessageBytes: testMaxBytes, Process: testProcess}))
	b.Cleanup(server.Close)
	client := NewClient(ClientConfig{MaxMessageBytes: testMaxBytes, DialTimeout: time.Second, UserTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, Address: callerAddress, Codec: testCodec})
	call := benchmarkCall()
	b.ReportAllocs()
	for b.Loop() {
		reply, err := client.Call(b.Context(), server.Listener.Addr().String(), call)
		if err != nil || len(reply.Body) != len(page) {
			b.Fatal(err)
		}
	}
}

// BenchmarkCodec measures the encoding and the decoding of a typical call and its reply.
func BenchmarkCodec(b *testing.B) {
	call, reply := benchmarkCall(), benchmarkReply()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := testCodec.decodeCall(encodedCall(call)); err != nil {
			b.Fatal(err)
		}
		if _, err := testCodec.decodeReply(testCodec.encodeReply(reply)); err != nil {
			b.Fatal(err)
		}
	}
}
