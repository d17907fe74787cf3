package registry

import (
	"strconv"
	"strings"
)

// Incarnation is one start of a target. Two starts under one id are different targets: the
// later one holds and knows nothing of the earlier, and what was learned or acknowledged of
// one says nothing of the other.
type Incarnation struct {
	// ID is the target's, as calls expect it.
	ID string
	// Born is when it started, in Unix milliseconds of the target's own clock. Starts of one
	// id compare by it alone; zero, told by targets that tell none, is before all others.
	Born int64
}

// bornSign parts the id from the moment of the start.
const bornSign = "@"

// String returns the name of the incarnation in records, keys and logs: the id, and the moment
// of the start if there is one.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + bornSign + strconv.FormatInt(i.Born, 10)
}

// parseIncarnation reads the name of an incarnation.
func parseIncarnation(name string) Incarnation {
	at := strings.LastIndex(name, bornSign)
	if at < 0 {
		return Incarnation{ID: name}
	}
	born, err := strconv.ParseInt(name[at+len(bornSign):], 10, 64)
	if err != nil || born <= 0 {
		return Incarnation{ID: name}
	}
	return Incarnation{ID: name[:at], Born: born}
}
