package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func crashOf(instance string, number, crashes int) Crash {
	return Crash{Instance: instance, Suspects: []Suspicion{{Fingerprint: numbered(number), Crashes: crashes}}}
}

// TestReportsCountOnceInAnyOrder has reports come late, twice and out of order.
func TestReportsCountOnceInAnyOrder(t *testing.T) {
	for _, order := range [][]int{{1, 2, 3}, {3, 1, 2}, {2, 3, 1, 3, 2}} {
		table := NewTable(time.Now)
		convicted := 0
		for _, crashes := range order {
			convicted += len(table.Crashed(crashOf(fmt.Sprint("i-", crashes), 1, crashes)))
		}
		assert.Equal(t, convicted, 1, "%v", order)
		assert.Equal(t, table.Standing(numbered(1)).Crashes, quarantineCrashes)
	}
}

// TestRunsSideBySideCountOnce has many targets crash at the same moment under tries of one
// request: none of these began after another had ended.
func TestRunsSideBySideCountOnce(t *testing.T) {
	table := NewTable(time.Now)
	for i := range 10 {
		table.Crashed(crashOf(fmt.Sprint("i-", i), 1, 1))
	}
	assert.DeepEqual(t, table.Standing(numbered(1)), State{Crashes: 1})
}

func TestSuspectsAreForgotten(t *testing.T) {
	now := time.Now()
	table := NewTable(func() time.Time { return now })
	table.Crashed(crashOf("i-1", 1, quarantineCrashes))
	table.Crashed(crashOf("i-2", 2, 1))
	now = now.Add(remembered - time.Second)
	assert.Assert(t, table.Standing(numbered(1)).Quarantined)
	now = now.Add(time.Second)
	assert.DeepEqual(t, table.Standing(numbered(1)), State{})
	assert.Assert(t, !table.Empty())
	table.Expire()
	assert.Assert(t, table.Empty())
	assert.Equal(t, table.Quarantined(), 0)
}

// TestAFloodOfSuspectsIsBounded has a service crash under every one of many distinct
// requests, and one of them be known to be a query of death before.
func TestAFloodOfSuspectsIsBounded(t *testing.T) {
	table := NewTable(time.Now)
	table.Crashed(crashOf("i-0", 0, quarantineCrashes))
	for i := 1; i <= 3*maxSuspects; i++ {
		table.Crashed(crashOf(fmt.Sprint("i-", i), i, 1))
		table.Answered(numbered(-i))
	}
	assert.Assert(t, len(table.known) <= maxSuspects)
	assert.Assert(t, len(table.cleared) <= maxSuspects)
	assert.Assert(t, table.Standing(numbered(0)).Quarantined, "the verdict stays")
	for i := range 2 * maxQuarantined {
		table.Crashed(crashOf(fmt.Sprint("j-", i), -i-1, quarantineCrashes))
	}
	assert.Equal(t, table.Quarantined(), maxQuarantined)
	assert.Assert(t, table.Unplaced() > 0)
}

func TestPausesBetweenTrialsGrow(t *testing.T) {
	assert.Equal(t, trialPause(0), firstTrialPause)
	assert.Equal(t, trialPause(2), 4*firstTrialPause)
	assert.Equal(t, trialPause(20), longestTrialPause)
	assert.Assert(t, longestTrialPause < remembered, "a verdict is not forgotten between two trials")
}

// TestOfTwoSuspectsNoneIsConvicted has a query of death and a request that all callers send
// alike be open each time a target crashes, as nodes learned of the crashes late: neither
// is convicted by that, and the first of them once it ran without the other.
func TestOfTwoSuspectsNoneIsConvicted(t *testing.T) {
	guilty, popular := Call{Fingerprint: numbered(1), Crashes: 3}, Call{Fingerprint: numbered(2), Crashes: 3}
	table := NewTable(time.Now)
	assert.Equal(t, len(table.Crashed(crashReport("i-1", []Call{guilty, popular, popular}))), 0)
	assert.Equal(t, table.Standing(numbered(2)).Crashes, isolationCrashes)
	other := Call{Fingerprint: numbered(3), Crashes: 1}
	assert.Equal(t, len(table.Crashed(crashReport("i-2", []Call{guilty, guilty, other}))), 1)
	assert.Assert(t, table.Standing(numbered(1)).Quarantined)
	assert.Assert(t, !table.Standing(numbered(2)).Quarantined)
}
