package guard

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/downstream"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/shortage"
)

// TestRepliesReportCostsAndShortages guards against figures of runs that failed half-way, and against
// replies without the reports of this home and of others.
func TestRepliesReportCostsAndShortages(t *testing.T) {
	var g *Guard
	status, made := http.StatusOK, 4
	config := newTestGuard(startRawTarget(t, func(connection net.Conn, request *http.Request) {
		id := request.Header.Get("X-Id")
		for range made {
			g.RecordCallSent(id, "next", "last")
		}
		if made < 4 {
			g.RecordCallFailure(id)
		}
		fmt.Fprintf(connection, "HTTP/1.1 %d Status\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n", status, id)
	})).config
	config.Shortages, config.Costs = shortage.New(config.Service, "here", time.Now), downstream.New(config.Service, time.Now)
	config.Shortages.SetHomes("last", 10)
	g = New(config, nil, time.Now)
	g.SetTarget(newTarget(registry.Ready, 2))
	var reply *peering.Reply
	for range downstream.MinRuns {
		g.Run(context.Background(), newCall("a"))
	}
	for _, run := range []struct{ status, made int }{{200, 4}, {500, 2}, {404, 0}, {200, 2}} {
		status, made = run.status, run.made
		call := newCall("a")
		call.WantCost = true
		reply = g.Run(context.Background(), call)
		assert.Equal(t, len(reply.Costs), 2)
		assert.Equal(t, reply.Costs[1].Calls, 4.0)
		assert.Equal(t, len(reply.Shortages), 0)
	}
	g.config.Shortages.SetLocal(300, 2)
	g.config.Shortages.Merge([]shortage.Report{{Service: "last", Home: "other", Threshold: 200, Weight: 10}})
	reply = g.Run(context.Background(), newCall("a"))
	assert.Equal(t, len(reply.Shortages), 2)
	assert.Equal(t, reply.Shortages[0].Home, "here")
	assert.Equal(t, reply.Shortages[1].Home, "other")
}
