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

func TestLatestStartLeavesTimeForWork(t *testing.T) {
	now := time.Unix(1000, 0)
	var shutdown ending.ShutdownTime
	_, set := shutdown.LatestStart(time.Second)
	assert.Assert(t, !set)
	called := make(chan struct{})
	shutdown.AfterSet(func() { close(called) })
	stopped := make(chan struct{})
	stop := shutdown.AfterSet(func() { close(stopped) })
	assert.Assert(t, stop())
	shutdown.Set(now.Add(3 * time.Second))
	<-called
	latest, set := shutdown.LatestStart(time.Second)
	assert.Assert(t, set)
	assert.Assert(t, latest.Equal(now.Add(2*time.Second)))
	assert.Assert(t, shutdown.Allows(time.Second, latest))
	assert.Assert(t, !shutdown.Allows(time.Second, latest.Add(1)))
	assert.Assert(t, shutdown.ReturnDelay(now) > 3*time.Second)
	assert.Assert(t, shutdown.ReturnDelay(now.Add(time.Minute)) > 0)
	select {
	case <-stopped:
		t.Fatal("the function must not be called once it is stopped")
	default:
	}
}
