package guard

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/peering"
)

// TestCrashedTargetReceivesNoCalls uses an address that refuses connections. After
// several failures the home must report that it has no target, so that peers choose
// other homes, and must retry the target after the backoff.
func TestCrashedTargetReceivesNoCalls(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	g := newTestGuard(address)
	var offset atomic.Int64
	g.now = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
	for range unreachableThreshold {
		assert.Equal(t, g.Run(context.Background(), newCall("a")).Reason, peering.ConnectFailed)
	}
	reply := g.Run(context.Background(), newCall("b"))
	assert.Equal(t, reply.Reason, peering.NoTarget)
	assert.Assert(t, reply.Reason.HomeUnavailable(), "peers choose other homes")
	offset.Store(int64(unreachableBackoff))
	assert.Equal(t, g.Run(context.Background(), newCall("c")).Reason, peering.ConnectFailed, "the target is retried")
	assert.Equal(t, g.Run(context.Background(), newCall("d")).Reason, peering.NoTarget)
}

// TestRecoveredTargetIsUsedAtOnce checks that the first successful connection to an
// unreachable target ends its backoff.
func TestRecoveredTargetIsUsedAtOnce(t *testing.T) {
	var r reachability
	now := time.Unix(1000, 0)
	for n := range unreachableThreshold {
		assert.Equal(t, r.recordFailure(now), n == unreachableThreshold-1)
	}
	assert.Assert(t, r.backingOff(now))
	assert.Assert(t, !r.backingOff(now.Add(unreachableBackoff)))
	assert.Assert(t, !r.recordFailure(now), "the change is reported once")
	assert.Assert(t, r.recordConnect())
	assert.Assert(t, !r.backingOff(now))
	assert.Assert(t, !r.recordConnect(), "the change is reported once")
}

// TestSingleConnectFailuresKeepTargetReachable alternates connection failures with
// responses: only consecutive failures make a target unreachable.
func TestSingleConnectFailuresKeepTargetReachable(t *testing.T) {
	address := startRawTarget(t, func(connection net.Conn, request *http.Request) {
		_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: " + request.Header.Get("X-Id") + "\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"))
	})
	g := newTestGuard(address)
	inc := g.current.Load()
	for range 10 {
		g.recordReachability(inc, false)
		assert.Equal(t, g.Run(context.Background(), newCall("a")).Outcome, peering.Answered)
	}
}
