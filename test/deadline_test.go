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
	// shortTimeoutMillis is the timeout of the requests in milliseconds, as their header
	// has it.
	shortTimeoutMillis = "400"
	// longWork is longer than that timeout.
	longWork = 1500 * time.Millisecond
	// concurrentRequests is below the slots of a target, so that no request is queued.
	concurrentRequests = 12
)

// TestPlatformCallExceedsDeadline sends requests through four idle nodes to targets that
// work for longer than the timeout. Every caller must receive 504: nothing failed, and a
// target may have executed the request.
func TestPlatformCallExceedsDeadline(t *testing.T) {
	p := startPlatform(t, "west", "west", "east", "east")
	for _, n := range p.nodes {
		n.target.SetFaults(platformstub.TargetFaults{Delay: longWork})
	}
	for _, path := range []string{"/read/x", "/once/x"} {
		statuses := p.sendWithTimeout(shortTimeoutMillis, path, p.nodes...)
		assert.DeepEqual(t, statuses, map[int]int{http.StatusGatewayTimeout: concurrentRequests})
	}
}

// sendWithTimeout sends concurrent requests through the nodes in turn, with the given
// timeout, and returns the number of answers by status.
func (p *platform) sendWithTimeout(millis, path string, nodes ...*platformNode) map[int]int {
	statuses := make(map[int]int)
	var mutex sync.Mutex
	var group sync.WaitGroup
	for i := range concurrentRequests {
		group.Go(func() {
			request, _ := p.request(nodes[i%len(nodes)], http.MethodGet, path)
			request.Header.Set("Lugspur-Deadline-Ms", millis)
			status, _, _ := doRequest(request)
			mutex.Lock()
			defer mutex.Unlock()
			statuses[status]++
		})
	}
	group.Wait()
	return statuses
}

// TestPlatformDeliversAnswersAfterStall suspends the node that the callers use for longer
// than their timeout while targets answer in time. The answers are buffered when the node
// resumes and must be delivered late: the requests were executed, and those that must not
// be executed twice cannot be retried.
func TestPlatformDeliversAnswersAfterStall(t *testing.T) {
	const (
		stopAfter = 100 * time.Millisecond
		stopped   = 1200 * time.Millisecond
		timeout   = "700"
		work      = 250 * time.Millisecond
	)
	p := startPlatform(t, "west", "west")
	for _, n := range p.nodes {
		n.target.SetFaults(platformstub.TargetFaults{Delay: work})
	}
	for _, path := range []string{"/read/x", "/once/x"} {
		process := p.nodes[0].process.Process
		time.AfterFunc(stopAfter, func() { _ = process.Signal(syscall.SIGSTOP) })
		time.AfterFunc(stopAfter+stopped, func() { _ = process.Signal(syscall.SIGCONT) })
		statuses := p.sendWithTimeout(timeout, path, p.nodes[0])
		assert.DeepEqual(t, statuses, map[int]int{http.StatusOK: concurrentRequests})
	}
}
