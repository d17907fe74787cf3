package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
)

// A node that has reached the concurrency limit for less important calls must still
// accept more important calls and the nested calls of requests in progress.
func TestConcurrencyIsReservedByPriority(t *testing.T) {
	g := &Gateway{settings: Settings{MaxConcurrent: 100}}
	previous := int64(0)
	for level := criticality.Level(criticality.LevelCount); level > 0; level-- {
		c := &call{listener: Edge}
		c.context.Rank.Level = level - 1
		allowed := g.concurrencyLimit(c)
		assert.Assert(t, allowed > previous, "%s", level-1)
		previous = allowed
		c.listener = Mesh
		assert.Assert(t, g.concurrencyLimit(c) > 100)
	}
	assert.Equal(t, previous, int64(100))
	assert.Equal(t, (&Gateway{settings: Settings{MaxConcurrent: 1}}).concurrencyLimit(&call{listener: Edge}), int64(1))
}
