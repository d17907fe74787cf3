package guard

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/targetrate"
)

// respondWith returns a guard whose target answers each request with the next response, in which
// %s is the request's ID, and repeats the last one.
func respondWith(t *testing.T, responses ...string) *Guard {
	t.Helper()
	next := make(chan string, len(responses))
	for _, response := range responses {
		next <- response
	}
	last := ""
	address := startRawTarget(t, func(connection net.Conn, request *http.Request) {
		select {
		case last = <-next:
		default:
		}
		fmt.Fprintf(connection, last, request.Header.Get("X-Id"))
	})
	return newTestGuard(address)
}

const limitedHeader = "X-Rate-Limit: 6.8\r\n"

func TestEveryResponseAnnouncesRateLimit(t *testing.T) {
	for _, c := range []struct {
		name, response string
		limited        bool
	}{
		{"success", "HTTP/1.1 200 OK\r\nX-Id: %s\r\n" + limitedHeader + "X-Signature: sig\r\nContent-Length: 2\r\n\r\nok", true},
		{"target error", "HTTP/1.1 500 Oops\r\nX-Id: %s\r\n" + limitedHeader + "Content-Length: 0\r\n\r\n", true},
		{"rejection", "HTTP/1.1 429 Full\r\nX-Id: %s\r\nX-Not-Executed: 1\r\n" + limitedHeader + "Content-Length: 0\r\n\r\n", true},
		{"another target", "HTTP/1.1 421 Other\r\nX-Id: %s\r\n" + limitedHeader + "Content-Length: 0\r\n\r\n", true},
		{"no signature", "HTTP/1.1 200 OK\r\nX-Id: %s\r\n" + limitedHeader + "Content-Length: 2\r\n\r\nok", true},
		{"cut off", "HTTP/1.1 200 OK\r\nX-Id: %s\r\n" + limitedHeader + "X-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", true},
		{"of another call", "HTTP/1.1 200 OK\r\nX-Id: other-%[1]s\r\n" + limitedHeader + "Content-Length: 2\r\n\r\nok" + "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\n" + limitedHeader + "X-Signature: sig\r\nContent-Length: 2\r\n\r\nok", true},
		{"not HTTP", "X-Rate-Limit: 6.8\r\n%s\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := respondWith(t, c.response)
			g.Run(context.Background(), newCall("a"))
			assert.Equal(t, g.RateLimit().Limited, c.limited)
		})
	}
}

func TestAnnouncementsArePassedOn(t *testing.T) {
	g := respondWith(t, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n"+limitedHeader+"X-Leaving: 1\r\nX-Signature: sig\r\nContent-Length: 2\r\n\r\nok")
	reply := g.Run(context.Background(), newCall("a"))
	assert.Equal(t, reply.Header.Get("X-Rate-Limit"), "6.8")
	assert.Equal(t, reply.Header.Get("X-Leaving"), "1")
	assert.Equal(t, reply.Load.Target, peering.TargetAnnouncement{Instance: "i-1", Rate: targetrate.Announcement{Limited: true, Rate: 6.8}, Leaving: true})
}

func TestCallsBeyondRateLimitAreRefusedAtOnce(t *testing.T) {
	g := respondWith(t, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Rate-Limit: 0\r\nX-Signature: sig\r\nContent-Length: 2\r\n\r\nok")
	assert.Equal(t, g.Run(context.Background(), newCall("a")).Outcome, peering.Answered)
	reply := g.Run(context.Background(), newCall("b"))
	assert.Equal(t, reply.Outcome, peering.Refused)
	assert.Equal(t, reply.Reason, peering.RateLimited)
	assert.Assert(t, reply.RetryAfter > time.Second && !reply.MayHaveReachedTarget(), "%+v", reply)
}

func TestRestartedHomeEnforcesRateLimitThatPeerKnows(t *testing.T) {
	g := respondWith(t, okResponse)
	call := newCall("a")
	call.Target = peering.TargetAnnouncement{Instance: "i-1", Rate: targetrate.Announcement{Limited: true, Rate: 1}}
	assert.Equal(t, g.Run(context.Background(), call).Reason, peering.RateLimited)
	call.Target.Instance = "i-0"
	other := respondWith(t, okResponse)
	assert.Equal(t, other.Run(context.Background(), call).Outcome, peering.Answered, "the limit is that of another incarnation")
}

func TestRateLimitEndsWithIncarnation(t *testing.T) {
	g := respondWith(t, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n"+limitedHeader+"X-Signature: sig\r\nContent-Length: 2\r\n\r\nok")
	g.Run(context.Background(), newCall("a"))
	assert.Assert(t, g.RateLimit().Limited)
	restarted := newTarget(registry.Ready, 2)
	restarted.StartMillis = 7
	g.SetTarget(restarted)
	assert.Assert(t, !g.RateLimit().Limited)
}

func TestDepartureOfAnotherTargetIsIgnored(t *testing.T) {
	g := respondWith(t, "HTTP/1.1 421 Other\r\nX-Id: %s\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n", okResponse)
	assert.Equal(t, g.Run(context.Background(), newCall("a")).Reason, peering.Misdirected)
	g.SetTarget(newTarget(registry.Ready, 2))
	assert.Equal(t, g.Run(context.Background(), newCall("b")).Outcome, peering.Answered)
}

func TestAnnouncedDepartureIsFinal(t *testing.T) {
	left := make(chan registry.Incarnation, 1)
	g := respondWith(t, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Leaving: 1\r\nX-Signature: sig\r\nContent-Length: 2\r\n\r\nok", okResponse)
	g.config.OnLeaving = func(incarnation registry.Incarnation) { left <- incarnation }
	assert.Equal(t, g.Run(context.Background(), newCall("a")).Outcome, peering.Answered)
	assert.Equal(t, <-left, registry.Incarnation{ID: "i-1"})
	g.SetTarget(newTarget(registry.Ready, 3))
	assert.Equal(t, g.Run(context.Background(), newCall("b")).Reason, peering.TargetLeaving)
	restarted := newTarget(registry.Ready, 2)
	restarted.StartMillis = 7
	g.SetTarget(restarted)
	assert.Equal(t, g.Run(context.Background(), newCall("c")).Outcome, peering.Answered)
}

// TestPaceIsPassedOn guards against a pace that is lost between target and peers, taken from a
// malformed report, or kept after the target was replaced.
func TestPaceIsPassedOn(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: sig\r\nContent-Length: 2\r\n"
	g := respondWith(t, response+"X-Load: 1,0,2,250\r\n\r\nok", response+"X-Load: 1,0,2,NaN\r\n\r\nok", response+"X-Load: 1,0\r\n\r\nok",
		"HTTP/1.1 421 Other\r\nX-Id: %s\r\nX-Load: 1,0,2,80\r\nContent-Length: 0\r\n\r\n")
	g.log = eventlog.New(eventlog.Config{RootOf: func(id string) string { return id }}, "node", io.Discard, time.Now)
	for range 4 {
		reply := g.Run(context.Background(), newCall("a"))
		assert.Equal(t, reply.Load.Pace.Percent, 250)
		assert.Equal(t, reply.Header.Get("X-Load"), "")
	}
	assert.Equal(t, g.Pace().Percent, 250)
	logged := uint64(0)
	g.log.Counts(func(kind eventlog.Kind, count uint64) {
		if kind == eventlog.TargetLoadMalformed {
			logged += count
		}
	})
	assert.Equal(t, logged, uint64(1))
	restarted := newTarget(registry.Ready, 2)
	restarted.StartMillis = 7
	g.SetTarget(restarted)
	assert.Equal(t, g.Pace(), pace.Reading{})
}
