package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
)

// A node that is full of less important calls must still have room for more
// important ones, and for the calls of requests that are under way.
func TestRoomIsLeftToMoreImportantCalls(t *testing.T) {
	g := &Gateway{settings: Settings{MaxConcurrent: 100}}
	before := int64(0)
	for level := criticality.Level(criticality.LevelCount); level > 0; level-- {
		c := &call{listener: Edge}
		c.context.Rank.Level = level - 1
		allowed := g.concurrencyFor(c)
		assert.Assert(t, allowed > before, "%s", level-1)
		before = allowed
		c.listener = Mesh
		assert.Assert(t, g.concurrencyFor(c) > 100)
	}
	assert.Equal(t, before, int64(100))
	assert.Equal(t, (&Gateway{settings: Settings{MaxConcurrent: 1}}).concurrencyFor(&call{listener: Edge}), int64(1))
}
