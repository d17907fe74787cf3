package criticality

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRanksAreOrderedByLevelThenCohort(t *testing.T) {
	previous := Rank{}
	for key := uint16(1); key < RankCount; key++ {
		rank := RankOf(key)
		assert.Equal(t, rank.Key(), key)
		assert.Assert(t, previous.MoreImportantThan(rank) && !rank.MoreImportantThan(previous))
		assert.Assert(t, previous.Level <= rank.Level)
		previous = rank
	}
	assert.Equal(t, previous, Lowest)
	assert.Equal(t, RankOf(RankCount), Lowest)
	assert.Assert(t, !Lowest.MoreImportantThan(Lowest))
	assert.Equal(t, RankOf(0), Rank{Level: CriticalPlus})
}

func TestLevelNames(t *testing.T) {
	for i, name := range Names() {
		level, err := ParseLevel(name)
		assert.NilError(t, err)
		assert.Equal(t, level, Level(i))
		assert.Equal(t, level.String(), name)
		assert.Assert(t, level.Valid())
	}
	for _, name := range []string{"", "Critical", "critical plus", "level(4)"} {
		level, err := ParseLevel(name)
		assert.ErrorContains(t, err, "critical-plus")
		assert.Equal(t, level, Sheddable, "an unknown level is the least important")
	}
	assert.Assert(t, !Level(LevelCount).Valid())
	assert.Equal(t, Level(LevelCount).String(), "level(4)")
}

func TestCohorts(t *testing.T) {
	const callers = 10_000
	counts, changed := map[uint8]int{}, 0
	for i := range callers {
		caller := fmt.Sprintf("caller-%d", i)
		cohort := CohortOf(caller, 1)
		assert.Assert(t, cohort < CohortCount)
		assert.Equal(t, CohortOf(caller, 1), cohort)
		counts[cohort]++
		if CohortOf(caller, 2) != cohort {
			changed++
		}
	}
	assert.Equal(t, len(counts), CohortCount)
	for cohort, count := range counts {
		assert.Assert(t, count > callers/CohortCount/3 && count < 3*callers/CohortCount, "cohort %d has %d callers", cohort, count)
	}
	assert.Assert(t, changed > callers*9/10, "the order of callers does not change with the epoch")
}
