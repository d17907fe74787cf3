package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/shed"
)

// The end of a shed level must be told for as long as others may hold on to
// it, and no longer.
func TestTheEndOfAShedLevelIsTold(t *testing.T) {
	memory := newLevelMemory()
	now := time.Unix(1000, 0)
	assert.Assert(t, !memory.tells("a-1", shed.None, now), "never shed")
	assert.Assert(t, memory.tells("a-1", 200, now))
	assert.Assert(t, memory.tells("a-1", shed.None, now.Add(shed.DefaultExpiry)))
	assert.Assert(t, !memory.tells("a-1", shed.None, now.Add(shed.DefaultExpiry+time.Millisecond)))
	assert.Assert(t, !memory.tells("a-1", shed.None, now.Add(shed.DefaultExpiry+2*time.Millisecond)))
	assert.Equal(t, len(memory.shedAt), 0)
}
