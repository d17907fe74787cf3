package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/problem"
)

// noRetryRatio is a RetryRatio that allows no retry.
type noRetryRatio struct{}

func (noRetryRatio) RecordSuccess() {}
func (noRetryRatio) Allow() bool    { return false }

// During an overload the node's retry ratio is exhausted. A critical-plus call, such as
// a command to open a vent, that one target refused must still be retried at another
// target, which may be accepting less important calls.
func TestCriticalPlusCallsAreExemptFromRetryRatio(t *testing.T) {
	g := &Gateway{retryRatio: noRetryRatio{}}
	refused := problem.New(problem.Overloaded, problem.ExecutedNo, "home", "a-1", "")
	mayHaveExecuted := problem.New(problem.TargetFailed, problem.ExecutedUnknown, "transport", "a-1", "")
	notReached := problem.New(problem.NoTarget, problem.ExecutedNo, "forward", "node", "")
	for level := range criticality.Level(criticality.LevelCount) {
		c := &call{}
		c.context.Rank.Level = level
		assert.Equal(t, g.retryRatioAllows(c, refused), level == criticality.CriticalPlus, "%s", level)
		assert.Assert(t, !g.retryRatioAllows(c, mayHaveExecuted))
		assert.Assert(t, !g.retryRatioAllows(c, nil), "a response with an error status")
		assert.Assert(t, g.retryRatioAllows(c, notReached))
	}
}
