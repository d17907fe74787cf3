package claim

import (
	"slices"
	"time"
)

// DefaultCapacity is the default maximum number of claims in a replica.
const DefaultCapacity = 200_000

type recordState uint8

const (
	recordHeld recordState = iota
	// recordContested may belong to more than one attempt and is granted to
	// none of them.
	recordContested
	// recordReleased belongs to an attempt that was released and will never run.
	recordReleased
	// recordSuperseded was followed by a newer record of the same key.
	recordSuperseded
)

type record struct {
	key     KeyHash
	attempt AttemptID
	// inserted is the time of insertion, as an offset from table.base.
	inserted time.Duration
	state    recordState
}

// chunkRecords is the number of records that are allocated and freed as one
// chunk.
const chunkRecords = 1024

// table holds claims in insertion order, which is also their expiry order. Its
// memory is bounded by capacity. Records are removed only when the retention
// has passed, never to make room.
type table struct {
	capacity int
	base     time.Time
	index    map[KeyHash]uint64 // sequence number of the key's newest record
	// chunks hold the records with sequence numbers in [first, next). The index
	// of a record in its chunk is its sequence number modulo chunkRecords.
	chunks [][]record
	first  uint64
	next   uint64
}

func newTable(capacity int) *table {
	return &table{capacity: capacity, index: make(map[KeyHash]uint64)}
}

func (t *table) len() int { return int(t.next - t.first) }

func (t *table) recordAt(sequence uint64) *record {
	chunk := t.chunks[sequence/chunkRecords-t.first/chunkRecords]
	return &chunk[sequence%chunkRecords]
}

// sinceBase returns the time since the table's base. The first call sets the
// base.
func (t *table) sinceBase(now time.Time) time.Duration {
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
	return t.recordAt(sequence)
}

// insert adds a record. It returns false if the table is full.
func (t *table) insert(r record, now time.Time) bool {
	if t.len() >= t.capacity {
		return false
	}
	r.inserted = t.sinceBase(now)
	if old := t.find(r.key); old != nil {
		old.state = recordSuperseded
	}
	if t.next%chunkRecords == 0 {
		t.chunks = append(t.chunks, make([]record, chunkRecords))
	}
	t.index[r.key] = t.next
	t.next++
	*t.recordAt(t.next - 1) = r
	return true
}

// expire removes the records that are older than the retention.
func (t *table) expire(now time.Time, retention time.Duration) {
	offset := t.sinceBase(now)
	for t.len() > 0 && offset-t.recordAt(t.first).inserted > retention {
		t.unindex(t.first, t.recordAt(t.first).key)
		t.first++
		if t.first%chunkRecords == 0 {
			t.chunks = slices.Delete(t.chunks, 0, 1)
		}
	}
}

func (t *table) unindex(sequence uint64, key KeyHash) {
	if newest, ok := t.index[key]; ok && newest == sequence {
		delete(t.index, key)
	}
}

// merge adds a claim copied from another replica. It returns false if the table
// is full. A claim that is already present keeps its age, which is safe because
// it was inserted after its call was received. If the attempts differ, the age
// starts again, because the other attempt may be a later use of the key.
func (t *table) merge(c CopiedClaim, now time.Time) bool {
	state := recordHeld
	if c.Contested {
		state = recordContested
	}
	existing := t.find(c.Key)
	if existing != nil && existing.attempt == c.Attempt && !c.Contested && existing.state != recordContested {
		return true
	}
	if existing != nil && existing.state != recordReleased {
		state = recordContested
	}
	return t.insert(record{key: c.Key, attempt: c.Attempt, state: state}, now)
}

// page returns the claims starting at the cursor, the cursor of the next page
// and whether this page is the last one.
func (t *table) page(cursor uint64) (claims []CopiedClaim, next uint64, last bool) {
	next = max(cursor, t.first)
	for next < t.next && len(claims) < maximumPageClaims {
		r := t.recordAt(next)
		next++
		if r.state == recordHeld || r.state == recordContested {
			claims = append(claims, CopiedClaim{Key: r.key, Attempt: r.attempt, Contested: r.state == recordContested})
		}
	}
	return claims, next, next >= t.next
}
