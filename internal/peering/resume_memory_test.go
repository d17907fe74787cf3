package peering

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/memorybudget"
)

// TestResumptionRefusedForMemoryIsNoRefusal guards against a call that is offered to another home, or
// told as not run, while the home that has no memory for its resumption runs it.
func TestResumptionRefusedForMemoryIsNoRefusal(t *testing.T) {
	home := &slowHome{duration: 3 * time.Second, started: make(chan struct{}, 1)}
	const maxBytes = 1 << 20
	memory := memorybudget.New(memorybudget.Limits{Total: 200 << 10}, time.Now, nil)
	server := httptest.NewServer(Handler(ServerConfig{Home: home, AntiEntropy: ignoringPeer{}, Codec: testCodec, MaxMessageBytes: maxBytes, Process: testProcess, Memory: memory}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	proxy := newBlackholeProxy(t, strings.TrimPrefix(server.URL, "http://"))
	client := NewClient(ClientConfig{MaxMessageBytes: maxBytes, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, Address: callerAddress, Codec: testCodec})
	go func() { <-home.started; proxy.blackhole() }()
	call := &Call{Service: "s", RequestID: "a", Method: "POST", URI: "/x", Body: make([]byte, 100<<10), AtMostOnce: true, Remaining: 8 * time.Second, Process: testProcess}
	reply, err := client.Call(t.Context(), proxy.listener.Addr().String(), call)
	failure, found := errors.AsType[*Error](err)
	assert.Assert(t, found && failure.Sent, "%v %+v", err, reply)
	assert.Equal(t, home.runs.Load(), int64(1))
}
