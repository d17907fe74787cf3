package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/targetrate"
)

func TestRefusedRequestsReturnOneAfterTheOther(t *testing.T) {
	const interval = 200 * time.Millisecond
	now := time.Unix(1000, 0)
	var s returnSchedule
	reserve := func(level criticality.Level) time.Duration {
		return s.reserve("s", level, 50*time.Millisecond, interval, now)
	}
	assert.Equal(t, reserve(criticality.Critical), targetrate.MinWait)
	assert.Equal(t, reserve(criticality.Critical), targetrate.MinWait+interval)
	assert.Equal(t, reserve(criticality.CriticalPlus), targetrate.MinWait, "a more important request returns first")
	assert.Equal(t, reserve(criticality.Sheddable), targetrate.MinWait+2*interval)
	assert.Equal(t, s.reserve("other", criticality.Critical, 0, interval, now), targetrate.MinWait)
	for range 100 {
		reserve(criticality.Sheddable)
	}
	assert.Equal(t, reserve(criticality.Sheddable), targetrate.MaxWait)
	now = now.Add(time.Minute)
	assert.Equal(t, reserve(criticality.Sheddable), targetrate.MinWait)
}
