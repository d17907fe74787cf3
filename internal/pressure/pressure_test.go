package pressure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/shed"
)

// TestThresholdsTravelUpTheChain is the chain of two nodes: the second one
// knows the bottom's threshold and tells it on for the route that calls there.
func TestThresholdsTravelUpTheChain(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	middle, ingress := New(clock), New(clock)
	middle.Learn("view", "fetch")
	middle.Report("fetch", "bottom-1", Level{Threshold: 200}, 10)
	middle.Report("fetch", "bottom-2", Level{Threshold: 300}, 10)
	assert.Equal(t, middle.Below("view").Threshold, uint16(300))
	assert.Equal(t, middle.Below("export").Threshold, shed.None, "a route that calls nothing is not held back")
	ingress.Report("view", "middle", middle.Below("view"), 10)
	assert.Assert(t, ingress.Threshold("view") <= 300)
	assert.Assert(t, ingress.Threshold("view") > 299)
	assert.Assert(t, ingress.Threshold("export") == shed.None)
}

func TestAThresholdExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	levels := New(func() time.Time { return now })
	levels.Report("view", "home", Level{Threshold: 1}, 10)
	assert.Assert(t, levels.Threshold("view") == 1)
	now = now.Add(expiry + time.Millisecond)
	assert.Assert(t, levels.Threshold("view") == shed.None)
}

func TestARepeatedReportKeepsTheThreshold(t *testing.T) {
	now := time.Unix(1000, 0)
	levels := New(func() time.Time { return now })
	for range 40 {
		levels.Report("view", "home", Level{Threshold: 1}, 10)
		assert.Assert(t, levels.Threshold("view") == 1)
		now = now.Add(expiry / 20)
	}
	levels.Report("view", "home", Level{Threshold: shed.None}, 10)
	assert.Assert(t, levels.Threshold("view") == shed.None, "a raised threshold holds at once")
}

func TestRepetitionsAreToldUpTheChain(t *testing.T) {
	now := time.Unix(1000, 0)
	levels := New(func() time.Time { return now })
	levels.Learn("view", "fetch")
	levels.Report("fetch", "bottom-1", Level{Threshold: shed.None, Repeats: 12}, 10)
	levels.Report("fetch", "bottom-2", Level{Threshold: shed.None, Repeats: 3}, 10)
	assert.Equal(t, levels.Below("view").Repeats, 12, "the highest part counts")
	now = now.Add(expiry)
	assert.Equal(t, levels.Below("view").Repeats, 0)
}
