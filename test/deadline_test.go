package test

import (
	"net/http"
	"sync"
	"syscall"
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
	// outlastingRequests are sent at once, fewer than a target's slots.
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
		statuses := p.within(givenTime, path, p.nodes...)
		assert.DeepEqual(t, statuses, map[int]int{http.StatusGatewayTimeout: outlastingRequests})
	}
}

// within sends requests by the nodes in turn, with so many milliseconds each, and returns how
// many got each status.
func (p *platform) within(millis, path string, nodes ...*platformNode) map[int]int {
	statuses := make(map[int]int)
	var mutex sync.Mutex
	var group sync.WaitGroup
	for i := range outlastingRequests {
		group.Go(func() {
			request, _ := p.request(nodes[i%len(nodes)], http.MethodGet, path)
			request.Header.Set("Lugspur-Deadline-Ms", millis)
			status, _, _ := answerTo(request)
			mutex.Lock()
			defer mutex.Unlock()
			statuses[status]++
		})
	}
	group.Wait()
	return statuses
}

// TestPlatformReadyAnswersOutlastAStall stops the node that the callers asked, for longer
// than they wait, while targets answer in time. The answers lie ready once the node goes on
// and are delivered, late: the requests have run, and those that must not run twice could not
// be sent again.
func TestPlatformReadyAnswersOutlastAStall(t *testing.T) {
	const (
		stopAfter = 100 * time.Millisecond
		stopped   = 1200 * time.Millisecond
		given     = "700"
		work      = 250 * time.Millisecond
	)
	p := startPlatform(t, "west", "west")
	for _, n := range p.nodes {
		n.target.SetFaults(platformstub.TargetFaults{Slow: work})
	}
	for _, path := range []string{"/read/x", "/once/x"} {
		asked := p.nodes[0].process.Process
		time.AfterFunc(stopAfter, func() { _ = asked.Signal(syscall.SIGSTOP) })
		time.AfterFunc(stopAfter+stopped, func() { _ = asked.Signal(syscall.SIGCONT) })
		statuses := p.within(given, path, p.nodes[0])
		assert.DeepEqual(t, statuses, map[int]int{http.StatusOK: outlastingRequests})
	}
}
