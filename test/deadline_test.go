package test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/platformstub"
)

const (
	// givenTime is how long the callers of outlasting requests wait, as their header
	// says, in milliseconds.
	givenTime = "400"
	// outlastingWork is longer than that.
	outlastingWork = 1500 * time.Millisecond
	// outlastingRequests are sent to each node, fewer than its target's slots.
	outlastingRequests = 12
)

// TestPlatformACallThatOutlastsItsTime sends requests by four idle nodes to targets
// that work for longer than the callers wait. All are told the same, that the time ran
// out: nothing failed, and a target may have run the request.
func TestPlatformACallThatOutlastsItsTime(t *testing.T) {
	p := startPlatform(t, "west", "west", "east", "east")
	for _, n := range p.nodes {
		n.target.SetFaults(platformstub.TargetFaults{Slow: outlastingWork})
	}
	for _, path := range []string{"/read/x", "/once/x"} {
		assert.DeepEqual(t, p.outlast(path), map[int]int{http.StatusGatewayTimeout: outlastingRequests})
	}
}

// outlast sends requests by the nodes in turn and returns how many got each status.
func (p *platform) outlast(path string) map[int]int {
	statuses := make(map[int]int)
	var mutex sync.Mutex
	var group sync.WaitGroup
	for i := range outlastingRequests {
		group.Go(func() {
			request, _ := p.request(p.nodes[i%len(p.nodes)], http.MethodGet, path)
			request.Header.Set("Lugspur-Deadline-Ms", givenTime)
			status, _, _ := answerTo(request)
			mutex.Lock()
			defer mutex.Unlock()
			statuses[status]++
		})
	}
	group.Wait()
	return statuses
}
