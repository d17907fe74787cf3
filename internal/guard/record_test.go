package guard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/peering"
)

var start = time.Unix(1000, 0)

// TestHangingCallsRaiseTheLatency looks at a target that answered in 100 ms and
// then answers no more: what is in flight shows it before any call ends.
func TestHangingCallsRaiseTheLatency(t *testing.T) {
	var record trackRecord
	now := start
	for range 50 {
		record.began("r", now)
		now = now.Add(20 * time.Millisecond)
		record.ended("r", &peering.Reply{Outcome: peering.Answered}, 100*time.Millisecond, now)
	}
	before := record.latency("r", now)
	for range 10 {
		record.began("r", now)
	}
	assert.Assert(t, record.latency("r", now) <= before)
	assert.Assert(t, record.latency("r", now.Add(3*time.Second)) > time.Second)
	// Calls that end with an answer bring it back.
	now = now.Add(3 * time.Second)
	for range 10 {
		record.ended("r", &peering.Reply{Outcome: peering.Refused}, 3*time.Second, now)
	}
	for range 50 {
		record.began("r", now)
		now = now.Add(20 * time.Millisecond)
		record.ended("r", &peering.Reply{Outcome: peering.Answered}, 20*time.Millisecond, now)
	}
	assert.Assert(t, record.latency("r", now) < 120*time.Millisecond, "%s", record.latency("r", now))
}

func TestLatenciesAreKeptByRoute(t *testing.T) {
	var record trackRecord
	for range 100 {
		record.ended("slow", &peering.Reply{Outcome: peering.Answered}, time.Second, start)
		record.ended("fast", &peering.Reply{Outcome: peering.Answered}, time.Millisecond, start)
	}
	assert.Equal(t, record.latency("slow", start).Round(time.Millisecond), time.Second)
	assert.Equal(t, record.latency("fast", start).Round(time.Millisecond), time.Millisecond)
	assert.Equal(t, record.latency("unknown", start), time.Duration(0))
}

// TestLostAnswersCountAsFailures gives calls up that lasted much longer than
// usual, as their answers were lost in silence, and others after a short time,
// as their callers left.
func TestLostAnswersCountAsFailures(t *testing.T) {
	var lost, left trackRecord
	for _, record := range []*trackRecord{&lost, &left} {
		for range 50 {
			record.ended("r", &peering.Reply{Outcome: peering.Answered}, 100*time.Millisecond, start)
		}
	}
	for range 50 {
		lost.ended("r", &peering.Reply{Outcome: peering.Failed, Reason: peering.CallerLeft}, time.Minute, start)
		left.ended("r", &peering.Reply{Outcome: peering.Failed, Reason: peering.CallerLeft}, 20*time.Millisecond, start)
	}
	assert.Assert(t, lost.latency("r", start) > 100*time.Millisecond, "what was waited for raises the average")
	assert.Assert(t, lost.failures() > 0)
	assert.Equal(t, left.failures(), 0)
	assert.Equal(t, left.latency("r", start).Round(time.Millisecond), 100*time.Millisecond)
}

func TestBrokenAnswersCountAsFailures(t *testing.T) {
	var record trackRecord
	for range 100 {
		record.ended("r", &peering.Reply{Outcome: peering.Failed, Reason: peering.ExchangeBroken}, time.Millisecond, start)
	}
	assert.Assert(t, record.failures() > 90)
	for range 100 {
		record.ended("r", &peering.Reply{Outcome: peering.Answered, Status: 500}, time.Millisecond, start)
	}
	assert.Assert(t, record.failures() < 5, "a target's own failure is an answer")
}

func TestErrorsOfTheTargetAreToldApart(t *testing.T) {
	var record trackRecord
	for i := range 200 {
		record.ended("r", &peering.Reply{Outcome: peering.Answered, Status: 500, TargetError: i%2 == 0}, time.Millisecond, start)
	}
	assert.Assert(t, record.errors() > 30 && record.errors() < 70, "%d", record.errors())
	assert.Equal(t, record.failures(), 0)
	for range 100 {
		record.ended("r", &peering.Reply{Outcome: peering.Answered, Status: 500}, time.Millisecond, start)
	}
	assert.Assert(t, record.errors() < 5, "what a call further down is to blame for is none")
}

// TestATargetThatFailsAtOnceIsNoQuickOne has a target answer in 100 ms and then
// fail within a millisecond: its usual time must not fall.
func TestATargetThatFailsAtOnceIsNoQuickOne(t *testing.T) {
	var record trackRecord
	now := start
	for range 50 {
		record.began("r", now)
		now = now.Add(100 * time.Millisecond)
		record.ended("r", &peering.Reply{Outcome: peering.Answered, Status: 200}, 100*time.Millisecond, now)
	}
	for range 200 {
		record.began("r", now)
		now = now.Add(time.Millisecond)
		record.ended("r", &peering.Reply{Outcome: peering.Answered, Status: 500, TargetError: true}, time.Millisecond, now)
	}
	assert.Assert(t, record.latency("r", now) >= 99*time.Millisecond, "%s", record.latency("r", now))
	assert.Assert(t, record.errors() > 90)
}

// TestRejectionsByTheTargetCountAsFailures has a target turn calls away although it
// is offered no more than its slots.
func TestRejectionsByTheTargetCountAsFailures(t *testing.T) {
	var record trackRecord
	for range 100 {
		record.ended("r", &peering.Reply{Outcome: peering.Refused, Reason: peering.TargetFull}, time.Millisecond, start)
	}
	assert.Assert(t, record.failures() > 90)
	assert.Equal(t, record.errors(), 0)
}
