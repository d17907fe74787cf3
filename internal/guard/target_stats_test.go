package guard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/peering"
)

var startTime = time.Unix(1000, 0)

// TestHangingCallsRaiseLatency covers a target that responded in 100 ms and then hangs:
// the calls in flight must raise the estimate before any of them ends.
func TestHangingCallsRaiseLatency(t *testing.T) {
	var stats targetStats
	now := startTime
	for range 50 {
		stats.recordStart("r", now)
		now = now.Add(20 * time.Millisecond)
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Answered}, 100*time.Millisecond, now)
	}
	before := stats.latency("r", now)
	for range 10 {
		stats.recordStart("r", now)
	}
	assert.Assert(t, stats.latency("r", now) <= before)
	assert.Assert(t, stats.latency("r", now.Add(3*time.Second)) > time.Second)
	// Fast responses lower the estimate again.
	now = now.Add(3 * time.Second)
	for range 10 {
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Refused}, 3*time.Second, now)
	}
	for range 50 {
		stats.recordStart("r", now)
		now = now.Add(20 * time.Millisecond)
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Answered}, 20*time.Millisecond, now)
	}
	assert.Assert(t, stats.latency("r", now) < 120*time.Millisecond, "%s", stats.latency("r", now))
}

func TestLatenciesAreKeptByRoute(t *testing.T) {
	var stats targetStats
	for range 100 {
		stats.recordEnd("slow", &peering.Reply{Outcome: peering.Answered}, time.Second, startTime)
		stats.recordEnd("fast", &peering.Reply{Outcome: peering.Answered}, time.Millisecond, startTime)
	}
	assert.Equal(t, stats.latency("slow", startTime).Round(time.Millisecond), time.Second)
	assert.Equal(t, stats.latency("fast", startTime).Round(time.Millisecond), time.Millisecond)
	assert.Equal(t, stats.latency("unknown", startTime), time.Duration(0))
}

// TestLostResponsesCountAsFailures cancels calls that have lasted much longer than the
// average, as if their responses were lost. They count as failures, unlike calls that
// their callers cancel after a short time.
func TestLostResponsesCountAsFailures(t *testing.T) {
	var lost, canceled targetStats
	for _, stats := range []*targetStats{&lost, &canceled} {
		for range 50 {
			stats.recordEnd("r", &peering.Reply{Outcome: peering.Answered}, 100*time.Millisecond, startTime)
		}
	}
	for range 50 {
		lost.recordEnd("r", &peering.Reply{Outcome: peering.Failed, Reason: peering.CallCanceled}, time.Minute, startTime)
		canceled.recordEnd("r", &peering.Reply{Outcome: peering.Failed, Reason: peering.CallCanceled}, 20*time.Millisecond, startTime)
	}
	assert.Assert(t, lost.latency("r", startTime) > 100*time.Millisecond, "the duration of unanswered calls raises the average")
	assert.Assert(t, lost.failurePercent() > 0)
	assert.Equal(t, canceled.failurePercent(), 0)
	assert.Equal(t, canceled.latency("r", startTime).Round(time.Millisecond), 100*time.Millisecond)
}

func TestBrokenExchangesCountAsFailures(t *testing.T) {
	var stats targetStats
	for range 100 {
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Failed, Reason: peering.ExchangeBroken}, time.Millisecond, startTime)
	}
	assert.Assert(t, stats.failurePercent() > 90)
	for range 100 {
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Answered, Status: 500}, time.Millisecond, startTime)
	}
	assert.Assert(t, stats.failurePercent() < 5, "a response with an error status is valid")
}

func TestTargetErrorsAreCountedSeparately(t *testing.T) {
	var stats targetStats
	for i := range 200 {
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Answered, Status: 500, TargetError: i%2 == 0}, time.Millisecond, startTime)
	}
	assert.Assert(t, stats.errorPercent() > 30 && stats.errorPercent() < 70, "%d", stats.errorPercent())
	assert.Equal(t, stats.failurePercent(), 0)
	for range 100 {
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Answered, Status: 500}, time.Millisecond, startTime)
	}
	assert.Assert(t, stats.errorPercent() < 5, "an error caused by a downstream call does not count")
}

// TestFastFailuresDoNotLowerLatency covers a target that responds in 100 ms and then
// returns errors within a millisecond: its estimated latency must not decrease.
func TestFastFailuresDoNotLowerLatency(t *testing.T) {
	var stats targetStats
	now := startTime
	for range 50 {
		stats.recordStart("r", now)
		now = now.Add(100 * time.Millisecond)
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Answered, Status: 200}, 100*time.Millisecond, now)
	}
	for range 200 {
		stats.recordStart("r", now)
		now = now.Add(time.Millisecond)
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Answered, Status: 500, TargetError: true}, time.Millisecond, now)
	}
	assert.Assert(t, stats.latency("r", now) >= 99*time.Millisecond, "%s", stats.latency("r", now))
	assert.Assert(t, stats.errorPercent() > 90)
}

// TestTargetRejectionsCountAsFailures covers a target that rejects calls although the
// number of calls in flight does not exceed its slots.
func TestTargetRejectionsCountAsFailures(t *testing.T) {
	var stats targetStats
	for range 100 {
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Refused, Reason: peering.TargetFull}, time.Millisecond, startTime)
	}
	assert.Assert(t, stats.failurePercent() > 90)
	assert.Equal(t, stats.errorPercent(), 0)
}

// TestSlowPhaseDoesNotRaiseUsualLatency covers a target that takes 2.5 times as long and reports
// it: a latency that rose as well would count the slowness twice.
func TestSlowPhaseDoesNotRaiseUsualLatency(t *testing.T) {
	stats := targetStats{pace: &pace.Tracker{}}
	now := startTime
	for i := range 100 {
		percentOfUsual := 100 + 150*(i/50)
		duration := time.Duration(percentOfUsual) * time.Millisecond
		stats.recordStart("r", now)
		now = now.Add(duration)
		stats.pace.Observe(pace.Report{Kind: pace.WithPace, Percent: float64(percentOfUsual)}, now)
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Answered}, duration, now)
		assert.Equal(t, stats.latency("r", now).Round(time.Millisecond), 100*time.Millisecond)
		assert.Equal(t, stats.currentLatency("r", now).Round(time.Millisecond), duration)
	}
}

// TestTinyPaceDoesNotSpoilLatency guards against one report of a pace near zero that makes the
// latency of a route infinite, so that entry nodes avoid the home for good.
func TestTinyPaceDoesNotSpoilLatency(t *testing.T) {
	stats := targetStats{pace: &pace.Tracker{}}
	now := startTime
	for i := range 100 {
		percentOfUsual := 100.0
		if i == 50 {
			percentOfUsual = 1e-20
		}
		stats.recordStart("r", now)
		now = now.Add(50 * time.Millisecond)
		stats.pace.Observe(pace.Report{Kind: pace.WithPace, Percent: percentOfUsual}, now)
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Answered}, 50*time.Millisecond, now)
		latency := stats.latency("r", now)
		assert.Assert(t, latency > 0 && latency < 150*time.Millisecond, "%s", latency)
	}
}
