package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/problem"
)

// noRetryRatio is a Ratio that allows no retry.
type noRetryRatio struct{}

func (noRetryRatio) RecordSuccess() {}
func (noRetryRatio) Allow() bool    { return false }

// During an overload the node's retry ratio is exhausted. A critical-plus call (such
// as an order to open a vent) that one target refused must still be retried at
// another one, which may be accepting less important calls.
func TestCriticalPlusCallsAreExemptFromRetryRatio(t *testing.T) {
	g := &Gateway{ratio: noRetryRatio{}}
	refused := problem.New(problem.Overloaded, problem.ExecutedNo, "home", "a-1", "")
	mayHaveRun := problem.New(problem.TargetFailed, problem.ExecutedUnknown, "transport", "a-1", "")
	notReached := problem.New(problem.NoTarget, problem.ExecutedNo, "forward", "node", "")
	for level := range criticality.Level(criticality.LevelCount) {
		c := &call{}
		c.context.Rank.Level = level
		assert.Equal(t, g.withinRatio(c, refused), level == criticality.CriticalPlus, "%s", level)
		assert.Assert(t, !g.withinRatio(c, mayHaveRun))
		assert.Assert(t, !g.withinRatio(c, nil), "a response with an error status")
		assert.Assert(t, g.withinRatio(c, notReached))
	}
}
