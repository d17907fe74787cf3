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

// TestACrashedTargetDrawsNoCalls has nothing listen at the target's address: after
// a few tries the home says that it has no target, so that peers pass it over,
// and tries again later.
func TestACrashedTargetDrawsNoCalls(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	g := guardOf(address)
	var offset atomic.Int64
	g.now = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
	for range unconnectedBound {
		assert.Equal(t, g.Run(context.Background(), call("a")).Reason, peering.ConnectFailed)
	}
	reply := g.Run(context.Background(), call("b"))
	assert.Equal(t, reply.Reason, peering.NoTarget)
	assert.Assert(t, reply.Reason.HomeUnavailable(), "peers pass it over")
	offset.Store(int64(unreachablePause))
	assert.Equal(t, g.Run(context.Background(), call("c")).Reason, peering.ConnectFailed, "it is tried again")
	assert.Equal(t, g.Run(context.Background(), call("d")).Reason, peering.NoTarget)
}

// TestATargetThatComesBackIsUsedAtOnce has a target listen again after it was
// unreachable.
func TestATargetThatComesBackIsUsedAtOnce(t *testing.T) {
	var i reach
	now := time.Unix(1000, 0)
	for n := range unconnectedBound {
		assert.Equal(t, i.failed(now), n == unconnectedBound-1)
	}
	assert.Assert(t, i.paused(now))
	assert.Assert(t, !i.paused(now.Add(unreachablePause)))
	assert.Assert(t, !i.failed(now), "told once")
	assert.Assert(t, i.connected())
	assert.Assert(t, !i.paused(now))
	assert.Assert(t, !i.connected(), "told once")
}

// TestOneFailureAmongAnswersIsNoCrash keeps a target that resets some connections.
func TestOneFailureAmongAnswersIsNoCrash(t *testing.T) {
	address := rawTarget(t, func(connection net.Conn, request *http.Request) {
		_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: " + request.Header.Get("X-Id") + "\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"))
	})
	g := guardOf(address)
	i := g.current.Load()
	for range 10 {
		g.noteReach(i, false)
		assert.Equal(t, g.Run(context.Background(), call("a")).Outcome, peering.Answered)
	}
}
