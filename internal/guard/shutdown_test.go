package guard

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
)

const timeoutResponse = "HTTP/1.1 504 Gateway Timeout\r\nX-Id: %s\r\nX-Signature: sig\r\nContent-Length: 0\r\n\r\n"

// startLongTarget starts a target that works on each request until the deadline that it receives.
func startLongTarget(t *testing.T) string {
	t.Helper()
	return startRawTarget(t, func(connection net.Conn, request *http.Request) {
		milliseconds, _ := strconv.Atoi(request.Header.Get("X-Deadline"))
		time.Sleep(time.Duration(milliseconds) * time.Millisecond)
		fmt.Fprintf(connection, timeoutResponse, request.Header.Get("X-Id"))
	})
}

// TestCallThatOutlastsShutdownIsAnswered guards against calls that are still at the target when the
// node exits. The target ends them in time, and another home may repeat those that may run twice.
func TestCallThatOutlastsShutdownIsAnswered(t *testing.T) {
	for _, test := range []struct {
		name       string
		atMostOnce bool
		from       string
		outcome    peering.Outcome
		reason     peering.Reason
	}{
		{"at most once", true, "peer", peering.Answered, ""},
		{"repeatable", false, "peer", peering.Failed, peering.Stopping},
		{"own", false, "", peering.Answered, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := newTestGuard(startLongTarget(t))
			end := time.Now().Add(700 * time.Millisecond)
			g.AnnounceShutdown(end)
			call := newCall("a")
			call.AtMostOnce, call.From = test.atMostOnce, test.from
			reply := g.Run(context.Background(), call)
			assert.Assert(t, time.Now().Before(end))
			assert.Equal(t, reply.Outcome, test.outcome)
			assert.Equal(t, reply.Reason, test.reason)
		})
	}
}

// TestRunLimitOfCallerEndsCall checks that the target is given no more time than the calling node has.
func TestRunLimitOfCallerEndsCall(t *testing.T) {
	g := newTestGuard(startLongTarget(t))
	call := newCall("a")
	call.From, call.RunLimit = "peer", 200*time.Millisecond
	started := time.Now()
	reply := g.Run(context.Background(), call)
	assert.Equal(t, reply.Status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(started) < time.Second)
}

// TestQueuedCallIsNotSentTooLate guards against calls that are queued when the node closes, and sent
// to the target too late to end before it exits.
func TestQueuedCallIsNotSentTooLate(t *testing.T) {
	received := make(chan string, 2)
	release := make(chan struct{})
	g := newTestGuard(startRawTarget(t, func(connection net.Conn, request *http.Request) {
		received <- request.Header.Get("X-Id")
		<-release
		fmt.Fprintf(connection, okResponse, request.Header.Get("X-Id"))
	}))
	g.SetTarget(newTarget(registry.Ready, 1))
	replies := make(chan *peering.Reply, 2)
	run := func(id string) { replies <- g.Run(context.Background(), newCall(id)) }
	go run("running")
	assert.Equal(t, <-received, "running")
	go run("queued")
	for g.InFlight() < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	g.SetShutdownDeadline(time.Now().Add(300 * time.Millisecond))
	g.Close()
	close(release)
	reasons := map[peering.Reason]int{(<-replies).Reason: 1}
	reasons[(<-replies).Reason]++
	assert.DeepEqual(t, reasons, map[peering.Reason]int{"": 1, peering.Stopping: 1})
}

// TestOnceCallOfRouteWithLongRunsIsRefused checks that calls that must not run twice are admitted by
// the tail of the recent durations of their route.
func TestOnceCallOfRouteWithLongRunsIsRefused(t *testing.T) {
	g := newTestGuard(startRawTarget(t, func(connection net.Conn, request *http.Request) {
		fmt.Fprintf(connection, okResponse, request.Header.Get("X-Id"))
	}))
	stats := &g.current.Load().stats
	for range 20 {
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Answered}, 3*time.Second, time.Now())
	}
	for range 1000 {
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Answered}, time.Millisecond, time.Now())
	}
	g.SetShutdownDeadline(time.Now().Add(3 * time.Second))
	repeatable, once := newCall("a"), newCall("b")
	once.AtMostOnce = true
	assert.Equal(t, g.Run(context.Background(), repeatable).Outcome, peering.Answered)
	assert.Equal(t, g.Run(context.Background(), once).Reason, peering.Stopping)
}
