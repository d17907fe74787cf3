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

// earlierAtTheHome is by how much a home's clock reaches the deadline first.
const earlierAtTheHome = 20 * time.Millisecond

// outlasting is a home that gives a call up at its deadline, a little before the
// node that the caller asked does.
func outlasting(outcome peering.Outcome) func(context.Context, *peering.Call) *peering.Reply {
	return func(ctx context.Context, call *peering.Call) *peering.Reply {
		select {
		case <-time.After(call.Remaining - earlierAtTheHome):
		case <-ctx.Done():
		}
		return &peering.Reply{Outcome: outcome, Reason: peering.DeadlinePassed}
	}
}

// doWithin sends a request that has so long, as its header says.
func (f *fixture) doWithin(millis, method, path string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "http://a.example"+path, strings.NewReader(""))
	request.RequestURI = path
	request.Header.Set("X-Id", "a")
	request.Header.Set("X-Deadline", millis)
	answer := httptest.NewRecorder()
	f.forwarder.ServeHTTP(answer, request)
	return answer
}

// TestADeadlineIsToldAlikeByBothClocks: a request whose time ran out at its target was
// answered 504 deadline-exceeded or 502 target-failed by chance. The node that the
// caller asked and the home beside the target both watch the deadline. If the home
// noticed first, its reply came before the node's own time was over, and the node took
// it as a failure of the target: "deadline: may have run and must not run twice", or,
// for a request that may be repeated, an offer to other homes that had no time left,
// "no other home took the repetition". Of 126 such requests on four idle nodes 76 were
// answered 502.
func TestADeadlineIsToldAlikeByBothClocks(t *testing.T) {
	for _, path := range []string{"/once/x", "/read/x"} {
		t.Run(path, func(t *testing.T) {
			fixture := newFixture(t, outlasting(peering.Failed), outlasting(peering.Failed))
			answer := fixture.doWithin("200", http.MethodGet, path)
			assert.Equal(t, answer.Code, http.StatusGatewayTimeout, "%s", answer.Body)
			assert.Assert(t, strings.Contains(answer.Body.String(), string(problem.DeadlineExceeded)), "%s", answer.Body)
			assert.Assert(t, strings.Contains(answer.Body.String(), `"executed":"unknown"`), "%s", answer.Body)
			assert.Equal(t, fixture.calls(), 1, "it was repeated without time")
		})
	}
}

// TestARequestThatNoTargetRanBeforeItsDeadlineIsRefused: a home that has the request
// wait until its deadline has not had it run, so that the caller is told so and when
// to come back.
func TestARequestThatNoTargetRanBeforeItsDeadlineIsRefused(t *testing.T) {
	fixture := newFixture(t, outlasting(peering.Refused))
	answer := fixture.doWithin("200", http.MethodGet, "/once/x")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable, "%s", answer.Body)
	assert.Assert(t, strings.Contains(answer.Body.String(), `"executed":"no"`), "%s", answer.Body)
	assert.Assert(t, answer.Header().Get("Retry-After") != "")
}
