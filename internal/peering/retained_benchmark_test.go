package peering

import (
	"context"
	"net/http/httptest"
	"runtime"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/replica"
)

// instantHome answers each call at once.
type instantHome struct{}

// Run returns a typical reply.
func (instantHome) Run(context.Context, *Call) *Reply { return benchmarkReply() }

// heapInUse returns the bytes of reachable objects.
func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkRetainedExchange measures the memory that an ended exchange takes while its reply is
// retained.
func BenchmarkRetainedExchange(b *testing.B) {
	const calls = 500
	server := httptest.NewServer(Handler(ServerConfig{Home: instantHome{}, AntiEntropy: replica.NewAntiEntropy(replica.AntiEntropyConfig{Now: time.Now}), Codec: testCodec, MaxMessageBytes: testMaxBytes, Process: testProcess}))
	b.Cleanup(server.Close)
	client := NewClient(ClientConfig{MaxMessageBytes: testMaxBytes, DialTimeout: time.Second, UserTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, Address: callerAddress, Codec: testCodec})
	id := 0
	call := func() {
		id++
		call := benchmarkCall()
		call.RequestID = strconv.Itoa(id)
		_, err := client.Call(b.Context(), server.Listener.Addr().String(), call)
		assert.NilError(b, err)
	}
	total := uint64(0)
	for b.Loop() {
		// The first call after the retention removes the exchanges of the previous round.
		time.Sleep(replyRetention)
		call()
		before := heapInUse()
		for range calls {
			call()
		}
		total += heapInUse() - before
	}
	b.ReportMetric(float64(total)/float64(b.N*calls), "retained-B/op")
}
