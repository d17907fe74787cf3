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

func TestTailIsExceededByFew(t *testing.T) {
	now := time.Unix(1000, 0)
	var durations ending.Durations
	assert.Equal(t, durations.Tail(now), time.Duration(0))
	durations.Record(3500*time.Millisecond, now)
	alone := durations.Tail(now)
	assert.Assert(t, alone >= 3500*time.Millisecond && alone < 5*time.Second, "%s", alone)
	for range 50 {
		durations.Record(40*time.Millisecond, now)
	}
	assert.Equal(t, durations.Tail(now), alone, "one in 51 is not few")
	for range 150 {
		durations.Record(40*time.Millisecond, now)
	}
	tail := durations.Tail(now)
	assert.Assert(t, tail >= 40*time.Millisecond && tail < 60*time.Millisecond, "%s", tail)
	assert.Equal(t, durations.Tail(now.Add(70*time.Second)), tail)
	assert.Equal(t, durations.Tail(now.Add(time.Hour)), time.Duration(0))
	durations.Record(24*time.Hour, now)
	durations.Record(0, now)
}

// TestStopPlaysAdmission plays a stop with a grace period of 6 s: what is admitted when, and when its
// caller has a response at the latest.
func TestStopPlaysAdmission(t *testing.T) {
	const (
		millisecond = time.Millisecond
		exit        = 5700 * millisecond
		closed      = 2200 * millisecond
		timeout     = 4 * time.Second
	)
	stopped := time.Unix(1000, 0)
	for _, test := range []struct {
		name        string
		usual, tail time.Duration
		once        bool
		arrives     time.Duration
		admitted    bool
		limited     bool
	}{
		{"early", 40 * millisecond, 0, false, 0, true, false},
		{"early and long", time.Second, 0, true, 2 * time.Second, true, true},
		{"quick", 40 * millisecond, 0, false, 3 * time.Second, true, true},
		{"quick and late", 40 * millisecond, 0, false, 5 * time.Second, true, true},
		{"too late", 40 * millisecond, 0, false, 5200 * millisecond, false, true},
		{"long", 500 * millisecond, 0, false, 2500 * millisecond, false, true},
		{"once with a long tail", 40 * millisecond, 3500 * millisecond, true, 3 * time.Second, false, true},
		{"repeatable with a long tail", 40 * millisecond, 3500 * millisecond, false, 3 * time.Second, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var shutdown ending.ShutdownTime
			shutdown.Announce(stopped.Add(exit))
			if test.arrives >= closed {
				shutdown.Set(stopped.Add(exit))
			}
			now := stopped.Add(test.arrives)
			needed := ending.SafeDuration(test.usual)
			if test.once {
				needed = ending.SafeDurationOnce(test.usual, test.tail)
			}
			assert.Equal(t, shutdown.Allows(needed, now), test.admitted)
			limit, limited := shutdown.RunLimit(timeout, now)
			assert.Equal(t, limited, test.limited)
			deadline := shutdown.Limit(now.Add(timeout))
			assert.Assert(t, !deadline.After(stopped.Add(exit)))
			assert.Assert(t, now.Add(limit).Before(deadline) == limited, "the target's response arrives before the deadline")
		})
	}
}
