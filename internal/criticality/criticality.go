// Package criticality ranks calls by the cost of their loss to the operator.
//
// The four levels are those of the site reliability engineering literature.
// Within a level, calls are ordered by cohort, a stable hash of the caller, so
// that partial load shedding refuses all calls of some callers instead of some
// calls of every caller.
package criticality

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Level is a named criticality. A lower value is more important.
type Level uint8

// The levels, most important first.
const (
	CriticalPlus Level = iota
	Critical
	SheddablePlus
	Sheddable
)

// LevelCount is the number of levels.
const LevelCount = 4

// CohortCount is the number of cohorts within a level.
const CohortCount = 128

var levelNames = [LevelCount]string{"critical-plus", "critical", "sheddable-plus", "sheddable"}

// String returns the level's name as used in policies and settings.
func (l Level) String() string {
	if int(l) >= LevelCount {
		return fmt.Sprintf("level(%d)", uint8(l))
	}
	return levelNames[l]
}

// Valid reports whether the level is one of the four defined levels.
func (l Level) Valid() bool { return int(l) < LevelCount }

// ParseLevel returns the level with the given name.
func ParseLevel(name string) (Level, error) {
	for i, levelName := range levelNames {
		if levelName == name {
			return Level(i), nil
		}
	}
	return Sheddable, fmt.Errorf("unknown criticality %q: allowed are %v", name, levelNames)
}

// Names returns the names of the levels, most important first.
func Names() []string { return levelNames[:] }

// Rank is the position of a call in the total order by level, then by cohort.
type Rank struct {
	Level  Level
	Cohort uint8
}

// Lowest is the least important rank.
var Lowest = Rank{Level: Sheddable, Cohort: CohortCount - 1}

// RankCount is one more than the largest rank key.
const RankCount = LevelCount * CohortCount

// Key returns the rank as a number from 0 (most important) to RankCount-1.
func (r Rank) Key() uint16 { return uint16(r.Level)*CohortCount + uint16(r.Cohort%CohortCount) }

// RankOf returns the rank with the given key, or Lowest if the key is out of range.
func RankOf(key uint16) Rank {
	if key >= RankCount {
		return Lowest
	}
	return Rank{Level: Level(key / CohortCount), Cohort: uint8(key % CohortCount)}
}

// MoreImportantThan reports whether r is strictly more important than other.
func (r Rank) MoreImportantThan(other Rank) bool { return r.Key() < other.Key() }

// String returns the rank as level/cohort.
func (r Rank) String() string { return fmt.Sprintf("%s/%d", r.Level, r.Cohort) }

// CohortOf returns the cohort of a caller, which is stable within an epoch. A new
// epoch reorders the callers, so that no caller is always the first to be shed.
func CohortOf(caller string, epoch uint64) uint8 {
	digest := xxhash.New()
	_, _ = digest.WriteString(caller)
	var encoded [8]byte
	for i := range encoded {
		encoded[i] = byte(epoch >> (8 * i))
	}
	_, _ = digest.Write(encoded[:])
	return uint8(digest.Sum64() % CohortCount)
}
