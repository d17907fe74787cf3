package registry

import (
	"strconv"
	"strings"
)

// Incarnation identifies one start of a target. Two incarnations with the same ID are different
// targets: the later one has none of the earlier one's state, and nothing learned about or
// acknowledged to one applies to the other.
type Incarnation struct {
	// ID is the target's instance ID, as used in calls.
	ID string
	// StartMillis is the start time in Unix milliseconds of the target's own clock.
	// Incarnations with the same ID are ordered by it alone. Zero, for targets that do not
	// report it, precedes all others.
	StartMillis int64
}

// startSeparator separates the ID from the start time.
const startSeparator = "@"

// String returns the incarnation's name in records, keys and logs: the ID, followed by the
// start time if it is known.
func (i Incarnation) String() string {
	if i.StartMillis == 0 {
		return i.ID
	}
	return i.ID + startSeparator + strconv.FormatInt(i.StartMillis, 10)
}

// parseIncarnation parses the name of an incarnation.
func parseIncarnation(name string) Incarnation {
	separator := strings.LastIndex(name, startSeparator)
	if separator < 0 {
		return Incarnation{ID: name}
	}
	startMillis, err := strconv.ParseInt(name[separator+len(startSeparator):], 10, 64)
	if err != nil || startMillis <= 0 {
		return Incarnation{ID: name}
	}
	return Incarnation{ID: name[:separator], StartMillis: startMillis}
}
