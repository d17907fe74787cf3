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
	address := startRawTarget(t, func(connection net.Conn, request *http.Request) {
		id := request.Header.Get("X-Id")
		for range made {
			g.RecordCallSent(id, "next", "last")
		}
		if made < 4 {
			g.RecordCallFailure(id, NoCapacity)
		}
		fmt.Fprintf(connection, "HTTP/1.1 %d Status\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n", status, id)
	})
	config := newTestGuard(address).config
	config.Shortages = shortage.New(config.Service, "here", time.Now)
	config.Costs = downstream.New(config.Service, time.Now)
	g = New(config, nil, time.Now)
	g.SetTarget(newTarget(registry.Ready, 2))
	run := func() *peering.Reply {
		call := newCall("a")
		call.WantCost = true
		return g.Run(context.Background(), call)
	}
	assert.Equal(t, len(run().Shortages), 0)
	for _, failing := range []struct{ status, made int }{{500, 2}, {404, 0}, {200, 2}} {
		status, made = failing.status, failing.made
		costs := run().Costs
		assert.Equal(t, len(costs), 2)
		assert.Equal(t, costs[1].Calls, 4.0)
	}
	g.config.Shortages.SetLocal(300, 2)
	g.config.Shortages.SetHomes("last", 10)
	g.config.Shortages.Merge([]shortage.Report{{Service: "last", Home: "other", Threshold: 200, Weight: 10}})
	reports := run().Shortages
	assert.Equal(t, len(reports), 2)
	assert.Equal(t, reports[0].Home, "here")
	assert.Equal(t, reports[1].Home, "other")
}
