package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/internal/settings"
	"github.com/lugspur/lugspur/internal/store"
)

// testSettings returns the settings of a single node on free ports.
func testSettings(t *testing.T) settings.Node {
	t.Helper()
	node := settings.Default()
	node.Name, node.Zone, node.Store.Kind = "node-1", "z", settings.StoreMemory
	for _, address := range []*string{&node.Listen.Edge, &node.Listen.Mesh, &node.Listen.Peer, &node.Listen.Admin} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = listener.Close() }()
		*address = listener.Addr().String()
	}
	return node
}

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func getStatus(address, path string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func TestRunStopsWithoutLeaks(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	node := testSettings(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, node, discardLogger()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if getStatus(node.Listen.Admin, "/readyz") == 200 {
			return poll.Success()
		}
		return poll.Continue("readiness")
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(10*time.Second))
	assert.Equal(t, getStatus(node.Listen.Edge, "/nobody/x"), 404)
	assert.Equal(t, getStatus(node.Listen.Mesh, "/nobody/x"), 404)
	cancel()
	assert.NilError(t, <-done)
	for _, address := range []string{node.Listen.Edge, node.Listen.Mesh, node.Listen.Peer, node.Listen.Admin} {
		assert.Equal(t, getStatus(address, "/"), 0, "%s is still open", address)
	}
}

func TestRunClosesListenersAfterListenFailure(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	node := testSettings(t)
	occupied, err := net.Listen("tcp", node.Listen.Admin)
	assert.NilError(t, err)
	defer func() { _ = occupied.Close() }()
	assert.ErrorContains(t, Run(t.Context(), node, discardLogger()), node.Listen.Admin)
	for _, address := range []string{node.Listen.Edge, node.Listen.Mesh, node.Listen.Peer} {
		listener, err := net.Listen("tcp", address)
		assert.NilError(t, err, "%s was left open", address)
		_ = listener.Close()
	}
}

func TestQueueConfig(t *testing.T) {
	node := settings.Default()
	assert.Equal(t, queueConfig(node).MaxQueue, node.Queue.MaxLength)
	assert.Equal(t, queueConfig(node).MaxWait, 500*time.Millisecond)
	assert.Assert(t, !queueConfig(node).FirstInFirstOut)
	node.Queue.MaxLength, node.Features.PriorityQueue = 0, false
	assert.Assert(t, queueConfig(node).MaxQueue < 0, "a length of 0 must mean no queue, not the default")
	assert.Assert(t, queueConfig(node).FirstInFirstOut)
}

func TestNewRetryRatio(t *testing.T) {
	for name, c := range map[string]struct {
		percent                int
		enabled                bool
		minAllowed, maxAllowed int
	}{
		"off":             {10, false, 1000, 1000},
		"none":            {0, true, 0, 0},
		"initial reserve": {10, true, 1, 20},
	} {
		t.Run(name, func(t *testing.T) {
			node := settings.Default()
			node.Retries.RatioPercent, node.Features.RetryRatio = c.percent, c.enabled
			ratio := (&Node{settings: node}).newRetryRatio()
			allowed := 0
			for range 1000 {
				if ratio.Allow() {
					allowed++
				}
			}
			assert.Assert(t, allowed >= c.minAllowed && allowed <= c.maxAllowed, "%d were allowed", allowed)
		})
	}
}

func TestFloorTableIsBounded(t *testing.T) {
	table := newFloorTable()
	for i := range maxFloors + 10 {
		table.set(fmt.Sprint(i), store.Revision(i+1))
	}
	assert.Equal(t, len(table.floors), maxFloors)
	table.set("0", 77)
	assert.Equal(t, table.get("0"), store.Revision(77))
	assert.Equal(t, table.get(fmt.Sprint(maxFloors)), store.Revision(0))
}
