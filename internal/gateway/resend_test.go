package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/resource"
)

// If a target itself sends a failed call again, this must be charged to the request's
// retry budget, and refused once the budget is exhausted.
func TestResendsAreChargedToRetryBudget(t *testing.T) {
	target := newFakeTarget(t, respondWith(500, "failed"))
	f := singleNode(t, resource.Service{}, resource.Policy{Retry: "0"}, target)
	sent := newTestContext(f.peer)
	f.retryBudgets.Open(sent.RequestID, 2, time.Now().Add(time.Minute))
	for range 3 {
		sendRequest(t, "POST", f.mesh, "/a/x", "body", withContext(t, sent)).assertEqual(t, 500, "failed")
	}
	got := sendRequest(t, "POST", f.mesh, "/a/x", "body", withContext(t, sent))
	got.assertProblem(t, 503, problem.RetriesSpent, problem.ExecutedNo)
	assert.Equal(t, len(target.calls()), 3)
	sendRequest(t, "POST", f.mesh, "/a/x", "another body", withContext(t, sent)).assertEqual(t, 500, "failed")
}
