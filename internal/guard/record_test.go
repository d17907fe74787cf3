package guard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/peering"
)

func TestLatenciesAreKeptByRoute(t *testing.T) {
	var record trackRecord
	for range 100 {
		record.ended("slow", &peering.Reply{Outcome: peering.Answered}, time.Second)
		record.ended("fast", &peering.Reply{Outcome: peering.Answered}, time.Millisecond)
	}
	assert.Equal(t, record.latency("slow").Round(time.Millisecond), time.Second)
	assert.Equal(t, record.latency("fast").Round(time.Millisecond), time.Millisecond)
	assert.Equal(t, record.latency("unknown"), time.Duration(0))
}

// TestLostAnswersCountAsFailures gives calls up that lasted much longer than
// usual, as their answers were lost in silence, and others after a short time,
// as their callers left.
func TestLostAnswersCountAsFailures(t *testing.T) {
	var lost, left trackRecord
	for _, record := range []*trackRecord{&lost, &left} {
		for range 50 {
			record.ended("r", &peering.Reply{Outcome: peering.Answered}, 100*time.Millisecond)
		}
	}
	for range 50 {
		lost.ended("r", &peering.Reply{Outcome: peering.Failed, Reason: peering.CallerLeft}, time.Minute)
		left.ended("r", &peering.Reply{Outcome: peering.Failed, Reason: peering.CallerLeft}, 20*time.Millisecond)
	}
	assert.Assert(t, lost.latency("r") > 100*time.Millisecond, "what was waited for raises the average")
	assert.Assert(t, lost.failures() > 0)
	assert.Equal(t, left.failures(), 0)
	assert.Equal(t, left.latency("r").Round(time.Millisecond), 100*time.Millisecond)
}

func TestBrokenAnswersCountAsFailures(t *testing.T) {
	var record trackRecord
	for range 100 {
		record.ended("r", &peering.Reply{Outcome: peering.Failed, Reason: peering.Broken}, time.Millisecond)
	}
	assert.Assert(t, record.failures() > 90)
	for range 100 {
		record.ended("r", &peering.Reply{Outcome: peering.Answered, Status: 500}, time.Millisecond)
	}
	assert.Assert(t, record.failures() < 5, "a target's own failure is an answer")
}

func TestRepetitionsAreCountedOverAWindow(t *testing.T) {
	var record trackRecord
	now := time.Unix(1000, 0)
	for i := range 100 {
		record.arrived(i%4 == 0, now)
	}
	assert.Equal(t, record.repeats(now), 25)
	now = now.Add(repeatWindow)
	assert.Equal(t, record.repeats(now), 25, "the window before still counts")
	now = now.Add(2 * repeatWindow)
	assert.Equal(t, record.repeats(now), 0)
}
