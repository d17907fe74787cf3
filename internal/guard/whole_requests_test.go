package guard

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/completion"
	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/shed"
)

// runCounter counts runs by result.
type runCounter struct {
	runs       map[completion.Result]int
	thresholds map[string]uint16
}

func (c *runCounter) CallFinished(peering.Outcome, peering.Reason, time.Duration, time.Duration) {}

func (c *runCounter) CallSent(SendKind) {}

func (c *runCounter) CallGivenBack(string) {}

func (c *runCounter) LoadReported(pace.Kind) {}

func (c *runCounter) RunFinished(_ string, result completion.Result) { c.runs[result]++ }

func (c *runCounter) RouteThreshold(route string, threshold uint16) { c.thresholds[route] = threshold }

// startCallingTarget returns a guard whose target makes two calls of different routes, of which
// the second one fails for each of the causes, and then responds with the status.
func startCallingTarget(t *testing.T, status int, causes ...FailureCause) (*Guard, *runCounter) {
	var g *Guard
	address := startRawTarget(t, func(connection net.Conn, request *http.Request) {
		id := request.Header.Get("X-Id")
		g.CountCall(id, "first")
		g.CountCall(id, "second")
		for _, cause := range causes {
			g.RecordCallFailure(id, cause)
		}
		fmt.Fprintf(connection, "HTTP/1.1 %d Status\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n", status, id)
	})
	config := newTestGuard(address).config
	counter := &runCounter{runs: make(map[completion.Result]int), thresholds: make(map[string]uint16)}
	config.WholeRequests, config.Observer = true, counter
	g = New(config, nil, time.Now)
	g.SetTarget(newTarget(registry.Ready, 2))
	return g, counter
}

func TestRunsAreCountedByCause(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		causes []FailureCause
		want   completion.Result
	}{
		{"complete", 200, nil, completion.Whole},
		{"complete without the call", 200, []FailureCause{NoCapacity}, completion.Whole},
		{"error of the caller", 404, nil, completion.Whole},
		{"lack of capacity", 500, []FailureCause{NoCapacity}, completion.NoRoom},
		{"refusal passed on", 429, []FailureCause{NoCapacity, OtherFailure}, completion.NoRoom},
		{"failed call", 503, []FailureCause{OtherFailure}, completion.Other},
		{"target error", 500, nil, completion.Other},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, counter := startCallingTarget(t, c.status, c.causes...)
			reply := g.Run(t.Context(), newCall("a"))
			assert.DeepEqual(t, counter.runs, map[completion.Result]int{c.want: 1})
			assert.Equal(t, reply.NoRoom, c.want == completion.NoRoom)
		})
	}
}

// TestRouteThresholdIsReported lets all runs of a route fail for lack of capacity. The threshold
// must reach the peers with the load of that route only.
func TestRouteThresholdIsReported(t *testing.T) {
	g, counter := startCallingTarget(t, 500, NoCapacity)
	for range 4 {
		for range 10 {
			g.Run(t.Context(), newCall("a"))
		}
		time.Sleep(time.Millisecond)
		g.updateThreshold(shed.None)
	}
	assert.Assert(t, g.Load("r").Threshold < shed.None)
	assert.Equal(t, counter.thresholds["r"], g.Load("r").Threshold)
	assert.Equal(t, g.Load("other").Threshold, shed.None)
}

func TestRunsWithoutCallsAreNotCounted(t *testing.T) {
	g := respondWith(t, "HTTP/1.1 500 Oops\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n")
	counter := &runCounter{}
	g.config.Observer, g.completion = counter, completion.New(time.Now)
	g.Run(t.Context(), newCall("a"))
	assert.Equal(t, len(counter.runs), 0)
}

func TestNothingIsReportedUnlessEnabled(t *testing.T) {
	g, counter := startCallingTarget(t, 500, NoCapacity)
	g.config.WholeRequests, g.completion = false, nil
	reply := g.Run(t.Context(), newCall("a"))
	assert.Assert(t, !reply.NoRoom && len(counter.runs) == 0)
}
