package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/shed"
)

// The end of shedding must be announced until the entries in the tables of other
// nodes have expired, and no longer.
func TestShedLevelEndIsAnnouncedUntilExpiry(t *testing.T) {
	tracker := newShedLevelTracker()
	now := time.Unix(1000, 0)
	assert.Assert(t, !tracker.shouldAnnounce("a-1", shed.None, now), "never shed")
	assert.Assert(t, tracker.shouldAnnounce("a-1", 200, now))
	assert.Assert(t, tracker.shouldAnnounce("a-1", shed.None, now.Add(shed.DefaultExpiry)))
	assert.Assert(t, !tracker.shouldAnnounce("a-1", shed.None, now.Add(shed.DefaultExpiry+time.Millisecond)))
	assert.Assert(t, !tracker.shouldAnnounce("a-1", shed.None, now.Add(shed.DefaultExpiry+2*time.Millisecond)))
	assert.Equal(t, len(tracker.lastShed), 0)
}
