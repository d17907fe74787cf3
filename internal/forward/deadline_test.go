package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/problem"
)

// homeClockLead is how much earlier the home notices the deadline than the entry node.
const homeClockLead = 20 * time.Millisecond

// holdUntilDeadline returns a home that ends a call at its deadline, homeClockLead before
// the entry node does.
func holdUntilDeadline(outcome peering.Outcome) func(context.Context, *peering.Call) *peering.Reply {
	return func(ctx context.Context, call *peering.Call) *peering.Reply {
		select {
		case <-time.After(call.Remaining - homeClockLead):
		case <-ctx.Done():
		}
		return &peering.Reply{Outcome: outcome, Reason: peering.DeadlinePassed}
	}
}

// doWithin sends a request with the given timeout header.
func (f *fixture) doWithin(millis, method, path string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "http://a.example"+path, strings.NewReader(""))
	request.RequestURI = path
	request.Header.Set("X-Id", "a")
	request.Header.Set("X-Deadline", millis)
	answer := httptest.NewRecorder()
	f.forwarder.ServeHTTP(answer, request)
	return answer
}

// TestDeadlineNoticedByHomeFirstIsDeadlineExceeded guards against reporting a passed
// deadline as a failure of the target. Both the entry node and the home check the
// deadline. If the home noticed first, its reply arrived before the entry node's own
// deadline and was treated as a target failure: the caller got 502 target-failed
// ("deadline: may have run and must not run twice") instead of 504 deadline-exceeded, and
// a repeatable request was offered to other homes without any time left ("no other home
// took the repetition"). Of 126 such requests on four idle nodes, 76 were answered 502.
func TestDeadlineNoticedByHomeFirstIsDeadlineExceeded(t *testing.T) {
	for _, path := range []string{"/once/x", "/read/x"} {
		t.Run(path, func(t *testing.T) {
			fixture := newFixture(t, holdUntilDeadline(peering.Failed), holdUntilDeadline(peering.Failed))
			answer := fixture.doWithin("200", http.MethodGet, path)
			assert.Equal(t, answer.Code, http.StatusGatewayTimeout, "%s", answer.Body)
			assert.Assert(t, strings.Contains(answer.Body.String(), string(problem.DeadlineExceeded)), "%s", answer.Body)
			assert.Assert(t, strings.Contains(answer.Body.String(), `"executed":"unknown"`), "%s", answer.Body)
			assert.Equal(t, fixture.calls(), 1, "the request was retried after its deadline")
		})
	}
}

// TestDeadlineWhileQueuedIsNotExecuted has a home queue the request until its deadline.
// It was not executed, so the answer must say so and have a retry delay.
func TestDeadlineWhileQueuedIsNotExecuted(t *testing.T) {
	fixture := newFixture(t, holdUntilDeadline(peering.Refused))
	answer := fixture.doWithin("200", http.MethodGet, "/once/x")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable, "%s", answer.Body)
	assert.Assert(t, strings.Contains(answer.Body.String(), `"executed":"no"`), "%s", answer.Body)
	assert.Assert(t, answer.Header().Get("Retry-After") != "")
}
