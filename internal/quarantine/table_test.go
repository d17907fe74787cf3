package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func singleCrash(instance string, number, crashes int) Crash {
	return Crash{Instance: instance, Suspects: []SuspectReport{{Fingerprint: fingerprintOf(number), Crashes: crashes}}}
}

// TestCrashReportsAreIdempotentAndCommutative checks that duplicate and reordered reports lead
// to the same state.
func TestCrashReportsAreIdempotentAndCommutative(t *testing.T) {
	for _, order := range [][]int{{1, 2, 3}, {3, 1, 2}, {2, 3, 1, 3, 2}} {
		table := NewTable(time.Now)
		quarantined := 0
		for _, crashes := range order {
			quarantined += len(table.RecordCrash(singleCrash(fmt.Sprint("i-", crashes), 1, crashes)))
		}
		assert.Equal(t, quarantined, 1, "%v", order)
		assert.Equal(t, table.State(fingerprintOf(1)).Crashes, quarantineCrashes)
	}
}

// TestConcurrentCrashesCountOnce checks that crashes of targets that ran attempts of one
// request concurrently count as one crash, as none of the attempts began after another's
// crash.
func TestConcurrentCrashesCountOnce(t *testing.T) {
	table := NewTable(time.Now)
	for i := range 10 {
		table.RecordCrash(singleCrash(fmt.Sprint("i-", i), 1, 1))
	}
	assert.DeepEqual(t, table.State(fingerprintOf(1)), State{Crashes: 1})
}

func TestSuspectsExpire(t *testing.T) {
	now := time.Now()
	table := NewTable(func() time.Time { return now })
	table.RecordCrash(singleCrash("i-1", 1, quarantineCrashes))
	table.RecordCrash(singleCrash("i-2", 2, 1))
	now = now.Add(suspectTTL - time.Second)
	assert.Assert(t, table.State(fingerprintOf(1)).Quarantined)
	now = now.Add(time.Second)
	assert.DeepEqual(t, table.State(fingerprintOf(1)), State{})
	assert.Assert(t, !table.Empty())
	table.Expire()
	assert.Assert(t, table.Empty())
	assert.Equal(t, table.Quarantined(), 0)
}

// TestSuspectsAreBounded checks that a service that crashes on each of many distinct requests
// neither exceeds the bounds nor evicts a quarantined request.
func TestSuspectsAreBounded(t *testing.T) {
	table := NewTable(time.Now)
	table.RecordCrash(singleCrash("i-0", 0, quarantineCrashes))
	for i := 1; i <= 3*maxSuspects; i++ {
		table.RecordCrash(singleCrash(fmt.Sprint("i-", i), i, 1))
		table.RecordAnswer(fingerprintOf(-i))
	}
	assert.Assert(t, len(table.suspects) <= maxSuspects)
	assert.Assert(t, len(table.cleared) <= maxSuspects)
	assert.Assert(t, table.State(fingerprintOf(0)).Quarantined, "the quarantine is kept")
	for i := range 2 * maxQuarantined {
		table.RecordCrash(singleCrash(fmt.Sprint("j-", i), -i-1, quarantineCrashes))
	}
	assert.Equal(t, table.Quarantined(), maxQuarantined)
	assert.Assert(t, table.OverflowCount() > 0)
}

func TestTrialDelayBackoff(t *testing.T) {
	assert.Equal(t, trialDelay(0), initialTrialDelay)
	assert.Equal(t, trialDelay(2), 4*initialTrialDelay)
	assert.Equal(t, trialDelay(20), maxTrialDelay)
	assert.Assert(t, maxTrialDelay < suspectTTL, "a quarantine must not expire between two trials")
}

// TestConcurrentSuspectsAreNotQuarantined checks a query of death and a popular harmless
// request that are both open when a target crashes, because nodes learned of earlier crashes
// late: such a crash quarantines neither, and a crash with only the query of death open
// quarantines that one.
func TestConcurrentSuspectsAreNotQuarantined(t *testing.T) {
	queryOfDeath, popular := Call{Fingerprint: fingerprintOf(1), Crashes: 3}, Call{Fingerprint: fingerprintOf(2), Crashes: 3}
	table := NewTable(time.Now)
	assert.Equal(t, len(table.RecordCrash(crashReport("i-1", []Call{queryOfDeath, popular, popular}))), 0)
	assert.Equal(t, table.State(fingerprintOf(2)).Crashes, isolationCrashes)
	other := Call{Fingerprint: fingerprintOf(3), Crashes: 1}
	assert.Equal(t, len(table.RecordCrash(crashReport("i-2", []Call{queryOfDeath, queryOfDeath, other}))), 1)
	assert.Assert(t, table.State(fingerprintOf(1)).Quarantined)
	assert.Assert(t, !table.State(fingerprintOf(2)).Quarantined)
}

// TestStoredQuarantinesAreBounded guards against suspects without bound that come from the store.
func TestStoredQuarantinesAreBounded(t *testing.T) {
	table := NewTable(time.Now)
	for i := range maxSuspects + 100 {
		table.ApplyQuarantine(fingerprintOf(i), 0)
	}
	assert.Assert(t, len(table.suspects) <= maxSuspects, "%d suspects", len(table.suspects))
	assert.Equal(t, table.Quarantined(), maxQuarantined)
}
