package guard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/peering"
)

var startTime = time.Unix(1000, 0)

// TestHangingCallsRaiseLatency covers a target that answered in 100 ms and then
// hangs: the calls in flight must raise the estimate before any of them ends.
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
	// Answered calls lower the estimate again.
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

// TestLostAnswersCountAsFailures cancels calls that lasted much longer than the
// average, because their answers were lost, which are failures, and others after a
// short time, because their callers left, which are not.
func TestLostAnswersCountAsFailures(t *testing.T) {
	var lost, canceled targetStats
	for _, stats := range []*targetStats{&lost, &canceled} {
		for range 50 {
			stats.recordEnd("r", &peering.Reply{Outcome: peering.Answered}, 100*time.Millisecond, startTime)
		}
	}
	for range 50 {
		lost.recordEnd("r", &peering.Reply{Outcome: peering.Failed, Reason: peering.CallerLeft}, time.Minute, startTime)
		canceled.recordEnd("r", &peering.Reply{Outcome: peering.Failed, Reason: peering.CallerLeft}, 20*time.Millisecond, startTime)
	}
	assert.Assert(t, lost.latency("r", startTime) > 100*time.Millisecond, "the time waited raises the average")
	assert.Assert(t, lost.failurePercent() > 0)
	assert.Equal(t, canceled.failurePercent(), 0)
	assert.Equal(t, canceled.latency("r", startTime).Round(time.Millisecond), 100*time.Millisecond)
}

func TestBrokenAnswersCountAsFailures(t *testing.T) {
	var stats targetStats
	for range 100 {
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Failed, Reason: peering.ExchangeBroken}, time.Millisecond, startTime)
	}
	assert.Assert(t, stats.failurePercent() > 90)
	for range 100 {
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Answered, Status: 500}, time.Millisecond, startTime)
	}
	assert.Assert(t, stats.failurePercent() < 5, "a failure status is an answer")
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
	assert.Assert(t, stats.errorPercent() < 5, "a failure caused by a downstream call does not count")
}

// TestFastFailuresDoNotLowerLatency covers a target that answers in 100 ms and then
// fails within a millisecond: its estimated latency must not fall.
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

// TestTargetRejectionsCountAsFailures covers a target that rejects calls although
// its slots are not exceeded.
func TestTargetRejectionsCountAsFailures(t *testing.T) {
	var stats targetStats
	for range 100 {
		stats.recordEnd("r", &peering.Reply{Outcome: peering.Refused, Reason: peering.TargetFull}, time.Millisecond, startTime)
	}
	assert.Assert(t, stats.failurePercent() > 90)
	assert.Equal(t, stats.errorPercent(), 0)
}
