package forward

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/guard"
	"github.com/lugspur/lugspur/internal/peering"
)

// TestCauseOfFailedCall covers the cause that a nested call reports to the home of its parent.
// Rejections by targets must not count as lack of capacity, or a fault of targets would make
// homes refuse requests that would not complete anyway.
func TestCauseOfFailedCall(t *testing.T) {
	withoutRoom := func(reply func(context.Context, *peering.Call) *peering.Reply) func(context.Context, *peering.Call) *peering.Reply {
		return func(ctx context.Context, call *peering.Call) *peering.Reply {
			withoutRoom := reply(ctx, call)
			withoutRoom.NoRoom = true
			return withoutRoom
		}
	}
	for _, c := range []struct {
		name  string
		path  string
		reply func(context.Context, *peering.Call) *peering.Reply
		want  guard.FailureCause
	}{
		{"queue full", "/read/", replyRefused(peering.QueueFull), guard.NoCapacity},
		{"evicted", "/read/", replyRefused(peering.Evicted), guard.NoCapacity},
		{"waited", "/read/", replyRefused(peering.QueueTimeout), guard.NoCapacity},
		{"late", "/read/", replyRefused(peering.WouldMissDeadline), guard.NoCapacity},
		{"run without room", "/read/", withoutRoom(replyDownstreamError), guard.NoCapacity},
		{"run without room and response", "/once/", withoutRoom(replyFailed), guard.NoCapacity},
		{"run that failed at a node of the previous build", "/read/", replyDownstreamError, guard.OtherFailure},
		{"rejected by targets", "/read/", replyRefused(peering.TargetFull), guard.OtherFailure},
		{"target error", "/once/", replyTargetError, guard.OtherFailure},
	} {
		t.Run(c.name, func(t *testing.T) {
			fixture := newFixture(t, c.reply)
			fixture.do("GET", c.path+"x", "running.1", "")
			assert.DeepEqual(t, fixture.forwarder.local.(*fakeHome).failureCauses, []guard.FailureCause{c.want})
		})
	}
}

// TestDeniedRetryIsNoLackOfCapacity covers a call whose retry the budget denies after a refusal,
// and one whose parent was abandoned.
func TestDeniedRetryIsNoLackOfCapacity(t *testing.T) {
	abandoned, cancel := context.WithCancel(t.Context())
	cancel()
	for _, q := range []*request{
		{call: &peering.Call{}, lastReason: peering.QueueFull, budgetDenied: true, parentContext: t.Context()},
		{call: &peering.Call{}, lastReason: peering.QueueFull, parentContext: abandoned},
		{call: &peering.Call{Crashes: 1}, lastReason: peering.QueueTimeout, parentContext: t.Context()},
	} {
		assert.Equal(t, q.failureCause(t.Context(), nil), guard.OtherFailure)
	}
}
