package ending_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/ending"
)

func TestWorkStartsOnlyIfDoneBeforeShutdown(t *testing.T) {
	now := time.Unix(1000, 0)
	var shutdown ending.ShutdownTime
	assert.Assert(t, shutdown.Allows(time.Hour, now), "no shutdown time is set")
	shutdown.Set(now.Add(time.Second))
	assert.Assert(t, shutdown.Allows(time.Second, now))
	assert.Assert(t, !shutdown.Allows(time.Second, now.Add(time.Millisecond)))
}

func TestSafeDurationIsMultipleOfTypicalDuration(t *testing.T) {
	assert.Assert(t, ending.SafeDuration(0) > 0, "the usual duration is unknown")
	assert.Assert(t, ending.SafeDuration(time.Second) >= 5*time.Second)
}
