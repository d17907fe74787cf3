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

// outcomes are what callers were told of their requests, by id.
type outcomes struct {
	mutex    sync.Mutex
	statuses map[string]int
	notRun   map[string]bool
}

// callOnce sends an unsafe request and notes what its caller is told.
func (p *platform) callOnce(n *platformNode, told *outcomes) {
	request, id := p.request(n, http.MethodPost, "/once/x")
	status, _, body := answerTo(request)
	told.note(id, status, strings.Contains(body, `"executed":"no"`))
}

func (o *outcomes) note(id string, status int, notRun bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.statuses[id] = status
	if notRun {
		o.notRun[id] = true
	}
}

// TestPlatformNothingRunsTwiceAcrossStarts has targets crash under unsafe requests and start
// again under their ids within 50 ms, before any heartbeat is missed. The id that answers then
// says nothing of what the start before did: no request may run a second time at the new one,
// and none that its caller was told has not run may have run at either. The new starts turn half
// of what arrives away, so that requests are tried at several.
func TestPlatformNothingRunsTwiceAcrossStarts(t *testing.T) {
	p := startPlatform(t, "west", "west", "east")
	told := &outcomes{statuses: make(map[string]int), notRun: make(map[string]bool)}
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
						p.callOnce(n, told)
					}
				}
			})
		}
	}
	starts := []*platformstub.Target{p.target(0), p.target(1), p.target(2)}
	for round := range 12 {
		time.Sleep(250 * time.Millisecond)
		next := p.startAgain(p.nodes[round%len(p.nodes)])
		next.SetFaults(platformstub.TargetFaults{RejectEvery: 2})
		starts = append(starts, next)
	}
	time.Sleep(250 * time.Millisecond)
	close(stop)
	callers.Wait()
	runs := make(map[string]int)
	for _, target := range starts {
		for _, run := range target.Log() {
			runs[edge.RootRequestID(run.ID)]++
		}
	}
	counts := make(map[int]int)
	for id, status := range told.statuses {
		counts[status]++
		assert.Check(t, runs[id] <= 1, "%s, answered %d, ran %d times", id, status, runs[id])
		assert.Check(t, !told.notRun[id] || runs[id] == 0, "%s was said not to have run", id)
	}
	t.Logf("answers %v, said not to have run %d", counts, len(told.notRun))
	assert.Assert(t, counts[http.StatusOK] > 200, "%v", counts)
	assert.Assert(t, counts[http.StatusBadGateway] > 0, "no target crashed under a request: %v", counts)
	assert.Assert(t, len(told.notRun) > 0, "no request was said not to have run")
}
