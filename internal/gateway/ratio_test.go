package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/problem"
)

// spentRatio has no retry left.
type spentRatio struct{}

func (spentRatio) Success()    {}
func (spentRatio) Allow() bool { return false }

// In an overload the node's share of retries is spent. A vent order that one
// target refused must still be tried at another, which may be taking less
// important calls.
func TestMostImportantCallsNeedNoShareOfRetries(t *testing.T) {
	g := &Gateway{ratio: spentRatio{}}
	refused := problem.New(problem.Overloaded, problem.ExecutedNo, "home", "a-1", "")
	mayHaveRun := problem.New(problem.TargetFailed, problem.ExecutedUnknown, "transport", "a-1", "")
	unreached := problem.New(problem.NoTarget, problem.ExecutedNo, "forward", "node", "")
	for level := range criticality.Level(criticality.LevelCount) {
		c := &call{}
		c.context.Rank.Level = level
		assert.Equal(t, g.withinRatio(c, refused), level == criticality.CriticalPlus, "%s", level)
		assert.Assert(t, !g.withinRatio(c, mayHaveRun))
		assert.Assert(t, !g.withinRatio(c, nil), "an answer that says failure")
		assert.Assert(t, g.withinRatio(c, unreached))
	}
}
