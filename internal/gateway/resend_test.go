package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/resource"
)

// A target that sends a failed call again spends the request's retries, also
// when it does so by itself, and is refused once they are spent.
func TestTargetsThatResendSpendTheBudget(t *testing.T) {
	target := newBackEnd(t, saying(500, "failed"))
	f := alone(t, resource.Service{}, resource.Policy{Retry: "0"}, target)
	sent := someContext(f.peer)
	f.budgets.Open(sent.RequestID, 2, time.Now().Add(time.Minute))
	for range 3 {
		do(t, "POST", f.mesh, "/a/x", "body", withContext(t, sent)).is(t, 500, "failed")
	}
	got := do(t, "POST", f.mesh, "/a/x", "body", withContext(t, sent))
	got.refusedWith(t, 503, problem.RetriesSpent, problem.ExecutedNo)
	assert.Equal(t, len(target.calls()), 3)
	do(t, "POST", f.mesh, "/a/x", "another body", withContext(t, sent)).is(t, 500, "failed")
}
