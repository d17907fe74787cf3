package claim

import (
	"slices"
	"time"
)

// DefaultCapacity is the default number of claims that a replica can hold.
const DefaultCapacity = 200_000

type recordState uint8

const (
	recordHeld recordState = iota
	// recordContested has more than one attempt; it is granted to none.
	recordContested
	// recordReleased remembers an attempt that will never run.
	recordReleased
	// recordReplaced has been followed by a newer record of the key.
	recordReplaced
)

type record struct {
	key     KeyHash
	attempt AttemptID
	// since is the time of insertion, counted from the table's base.
	since time.Duration
	state recordState
}

// chunkRecords is the number of records that are allocated and freed together.
const chunkRecords = 1024

// table holds claims in the order of their insertion, which is that of their
// expiry. Its memory is bounded by capacity; a record leaves it only when the
// retention has passed.
type table struct {
	capacity int
	base     time.Time
	index    map[KeyHash]uint64 // sequence number of the key's newest record
	// chunks hold the records from first on to before next; a record's place
	// in its chunk is its sequence number modulo chunkRecords.
	chunks [][]record
	first  uint64
	next   uint64
}

func newTable(capacity int) *table {
	return &table{capacity: capacity, index: make(map[KeyHash]uint64)}
}

func (t *table) len() int { return int(t.next - t.first) }

func (t *table) at(sequence uint64) *record {
	chunk := t.chunks[sequence/chunkRecords-t.first/chunkRecords]
	return &chunk[sequence%chunkRecords]
}

// age is the time since the table's base, which is the first time it is told.
func (t *table) age(now time.Time) time.Duration {
	if t.base.IsZero() {
		t.base = now
	}
	return now.Sub(t.base)
}

func (t *table) find(key KeyHash) *record {
	sequence, ok := t.index[key]
	if !ok {
		return nil
	}
	return t.at(sequence)
}

// insert adds a record and reports whether there was room.
func (t *table) insert(r record, now time.Time) bool {
	if t.len() >= t.capacity {
		return false
	}
	r.since = t.age(now)
	if old := t.find(r.key); old != nil {
		old.state = recordReplaced
	}
	if t.next%chunkRecords == 0 {
		t.chunks = append(t.chunks, make([]record, chunkRecords))
	}
	t.index[r.key] = t.next
	t.next++
	*t.at(t.next - 1) = r
	return true
}

// expire forgets the records that are older than the retention.
func (t *table) expire(now time.Time, retention time.Duration) {
	age := t.age(now)
	for t.len() > 0 && age-t.at(t.first).since > retention {
		t.forget(t.first, t.at(t.first).key)
		t.first++
		if t.first%chunkRecords == 0 {
			t.chunks = slices.Delete(t.chunks, 0, 1)
		}
	}
}

func (t *table) forget(sequence uint64, key KeyHash) {
	if newest, ok := t.index[key]; ok && newest == sequence {
		delete(t.index, key)
	}
}

// merge adds a claim that another replica handed over and reports whether
// there was room. A claim that is known already keeps its age, which counts
// from after the receipt of its call; where attempts differ the age starts
// anew, since the other one may belong to a later use of the key.
func (t *table) merge(c CopiedClaim, now time.Time) bool {
	state := recordHeld
	if c.Contested {
		state = recordContested
	}
	old := t.find(c.Key)
	if old != nil && old.attempt == c.Attempt && !c.Contested && old.state != recordContested {
		return true
	}
	if old != nil && old.state != recordReleased {
		state = recordContested
	}
	return t.insert(record{key: c.Key, attempt: c.Attempt, state: state}, now)
}

// page returns the claims from the cursor on, the cursor of the next page and
// whether this one is the last.
func (t *table) page(cursor uint64) (claims []CopiedClaim, next uint64, last bool) {
	next = max(cursor, t.first)
	for next < t.next && len(claims) < maximumPageClaims {
		r := t.at(next)
		next++
		if r.state == recordHeld || r.state == recordContested {
			claims = append(claims, CopiedClaim{Key: r.key, Attempt: r.attempt, Contested: r.state == recordContested})
		}
	}
	return claims, next, next >= t.next
}
