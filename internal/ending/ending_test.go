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

func TestTransferDurationFollowsSlowestReader(t *testing.T) {
	const megabyte = 1 << 20
	now := time.Unix(1000, 0)
	var pace ending.ReaderPace
	assert.Equal(t, pace.TransferDuration(30_000, now), time.Duration(0), "the kernel sends it after the exit")
	assert.Assert(t, pace.TransferDuration(16*megabyte, now) > 10*time.Second, "no reader was observed")
	pace.Record(megabyte/2, time.Microsecond, now)
	assert.Assert(t, pace.TransferDuration(16*megabyte, now) > 10*time.Second, "the kernel buffers a small response")
	pace.Record(16*megabyte, 10*time.Millisecond, now)
	assert.Assert(t, pace.TransferDuration(16*megabyte, now) < 50*time.Millisecond)
	pace.Record(16*megabyte, 2*time.Second, now)
	pace.Record(16*megabyte, 10*time.Millisecond, now)
	slow := pace.TransferDuration(16*megabyte, now)
	assert.Assert(t, slow >= 2*time.Second && slow < 4*time.Second, "%s", slow)
	assert.Equal(t, pace.TransferDuration(16*megabyte, now.Add(59*time.Second)), slow)
	assert.Assert(t, pace.TransferDuration(16*megabyte, now.Add(10*time.Minute)) > 10*time.Second, "the observations are old")
}

func TestRecentHoldsLargestOfLastPeriods(t *testing.T) {
	now := time.Unix(1000, 0)
	var recent ending.Recent[int]
	assert.Equal(t, recent.Max(now), 0)
	recent.Record(5, now)
	recent.Record(3, now.Add(30*time.Second))
	assert.Equal(t, recent.Max(now.Add(40*time.Second)), 5)
	recent.Record(3, now.Add(70*time.Second))
	assert.Equal(t, recent.Max(now.Add(80*time.Second)), 5)
	assert.Equal(t, recent.Max(now.Add(130*time.Second)), 3)
	assert.Equal(t, recent.Max(now.Add(time.Hour)), 0)
}
