package test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/platformstub"
	edge "github.com/lugspur/lugspur/platform"
)

// reportedOutcomes holds the answers that callers received, by request id.
type reportedOutcomes struct {
	mutex       sync.Mutex
	statuses    map[string]int
	notExecuted map[string]bool
}

// sendUnsafe sends a non-idempotent request and records its answer.
func (p *platform) sendUnsafe(n *platformNode, outcomes *reportedOutcomes) {
	request, id := p.request(n, http.MethodPost, "/once/x")
	status, _, body := doRequest(request)
	outcomes.record(id, status, strings.Contains(body, `"executed":"no"`))
}

func (o *reportedOutcomes) record(id string, status int, notExecuted bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.statuses[id] = status
	if notExecuted {
		o.notExecuted[id] = true
	}
}

// TestPlatformNoDuplicateExecutionAcrossTargetRestarts crashes targets under non-idempotent
// requests and restarts them with the same ids within 50 ms, before a heartbeat is missed. An
// answer with the same id then says nothing about the previous process: no request may be
// executed again by the new one, and none reported as not executed may have been executed by
// either. The restarted targets reject half of the requests, so that several are tried.
func TestPlatformNoDuplicateExecutionAcrossTargetRestarts(t *testing.T) {
	p := startPlatform(t, "west", "west", "east")
	outcomes := &reportedOutcomes{statuses: make(map[string]int), notExecuted: make(map[string]bool)}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 4 {
		for _, n := range p.nodes {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(2 * time.Millisecond):
						p.sendUnsafe(n, outcomes)
					}
				}
			})
		}
	}
	targets := []*platformstub.Target{p.target(0), p.target(1), p.target(2)}
	for round := range 12 {
		time.Sleep(250 * time.Millisecond)
		next := p.restartTarget(p.nodes[round%len(p.nodes)])
		next.SetFaults(platformstub.TargetFaults{RejectEvery: 2})
		targets = append(targets, next)
	}
	time.Sleep(250 * time.Millisecond)
	close(stop)
	callers.Wait()
	runs := make(map[string]int)
	for _, target := range targets {
		for _, run := range target.Log() {
			runs[edge.RootRequestID(run.ID)]++
		}
	}
	counts := make(map[int]int)
	for id, status := range outcomes.statuses {
		counts[status]++
		assert.Check(t, runs[id] <= 1, "%s, answered %d, ran %d times", id, status, runs[id])
		assert.Check(t, !outcomes.notExecuted[id] || runs[id] == 0, "%s was reported as not executed but was", id)
	}
	t.Logf("answers %v, reported as not executed %d", counts, len(outcomes.notExecuted))
	assert.Assert(t, counts[http.StatusOK] > 200, "%v", counts)
	assert.Assert(t, counts[http.StatusBadGateway] > 0, "no target crashed under a request: %v", counts)
	assert.Assert(t, len(outcomes.notExecuted) > 0, "no request was reported as not executed")
}
