package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entry is the record of another member with the node's failure detection state for it.
type entry struct {
	Member
	// suspicionDeadline is the monotonic time at which a suspect is declared dead.
	suspicionDeadline time.Duration
	// finalProbeQueued is whether the node has queued its own probe of the suspect, which it
	// makes before the deadline.
	finalProbeQueued bool
	// tombstonedAt is the monotonic time at which the member was marked as dead or left.
	tombstonedAt time.Duration
	// position is the index of the entry in its entryList.
	position int
	// digestInput is the record from which digest was computed, and digest its cached hash.
	digestInput Member
	digest      uint64
}

// cachedDigest returns the member's contribution to the list digest. It is recomputed only after
// a change of the record.
func (e *entry) cachedDigest() uint64 {
	record := e.compact()
	if record != e.digestInput {
		e.digestInput, e.digest = record, memberDigest(record)
	}
	return e.digest
}

// entryList is a set of entries that supports adding, removing and random selection in constant
// time.
type entryList struct{ entries []*entry }

func (l *entryList) add(e *entry) {
	e.position = len(l.entries)
	l.entries = append(l.entries, e)
}

// remove removes an entry and moves the last entry to its index.
func (l *entryList) remove(e *entry) {
	last := len(l.entries) - 1
	moved := l.entries[last]
	l.entries[e.position] = moved
	moved.position = e.position
	l.entries[last] = nil
	l.entries = l.entries[:last]
}

func (l *entryList) size() int { return len(l.entries) }

// table holds the entries of all other members, at most maxEntries.
type table struct {
	entries map[string]*entry
	// suspects are the entries in the state Suspect.
	suspects   map[string]*entry
	maxEntries int
	// present holds the entries that are neither dead nor left, dead those that are dead.
	// Entries that have left are in neither list.
	present entryList
	dead    entryList
}

func newTable(maxEntries int) *table {
	return &table{entries: map[string]*entry{}, suspects: map[string]*entry{}, maxEntries: maxEntries}
}

// listOf returns the list of entries in the state, or nil if there is none.
func (t *table) listOf(state State) *entryList {
	switch {
	case !state.DeadOrLeft():
		return &t.present
	case state == Dead:
		return &t.dead
	default:
		return nil
	}
}

// insert adds a member. If the table is full it drops the oldest tombstone to make room, or
// returns nil if there is no tombstone.
func (t *table) insert(member Member) *entry {
	if len(t.entries) >= t.maxEntries && !t.dropOldestTombstone() {
		return nil
	}
	added := &entry{Member: member}
	t.entries[member.Name] = added
	if list := t.listOf(member.State); list != nil {
		list.add(added)
	}
	if member.State == Suspect {
		t.suspects[member.Name] = added
	}
	return added
}

// setState changes the state of an entry and moves it to the list for that state.
func (t *table) setState(e *entry, state State) {
	before, after := t.listOf(e.State), t.listOf(state)
	if before != after {
		move(e, before, after)
	}
	e.State = state
	if state == Suspect {
		t.suspects[e.Name] = e
		return
	}
	delete(t.suspects, e.Name)
}

// move moves an entry from one list to another; either may be nil.
func move(e *entry, from, to *entryList) {
	if from != nil {
		from.remove(e)
	}
	if to != nil {
		to.add(e)
	}
}

func (t *table) drop(e *entry) {
	move(e, t.listOf(e.State), nil)
	delete(t.entries, e.Name)
}

func (t *table) dropOldestTombstone() bool {
	var oldest *entry
	for _, candidate := range t.entries {
		if candidate.State.DeadOrLeft() && (oldest == nil || olderTombstone(candidate, oldest)) {
			oldest = candidate
		}
	}
	if oldest == nil {
		return false
	}
	t.drop(oldest)
	return true
}

func compareByName(a, b *entry) int { return cmp.Compare(a.Name, b.Name) }

// olderTombstone orders tombstones by age, then by name.
func olderTombstone(a, b *entry) bool {
	if a.tombstonedAt != b.tombstonedAt {
		return a.tombstonedAt < b.tombstonedAt
	}
	return a.Name < b.Name
}

// dropTombstonesBefore removes the members that were marked as dead or left before the cutoff
// time and reports whether there were any.
func (t *table) dropTombstonesBefore(cutoff time.Duration) bool {
	before := len(t.entries)
	for _, candidate := range t.entries {
		if candidate.State.DeadOrLeft() && candidate.tombstonedAt < cutoff {
			t.drop(candidate)
		}
	}
	return len(t.entries) < before
}

// digest returns the digest of the list: a hash of all members that are neither dead nor left,
// including the node itself.
func (t *table) digest(self Member) uint64 {
	var sum uint64
	if !self.State.DeadOrLeft() {
		sum = memberDigest(self)
	}
	for _, known := range t.present.entries {
		sum ^= known.cachedDigest()
	}
	return sum
}

// addresses returns the peer addresses of all members that are neither dead nor left.
func (t *table) addresses() map[string]struct{} {
	addresses := make(map[string]struct{}, t.present.size())
	for _, known := range t.present.entries {
		addresses[known.PeerAddress] = struct{}{}
	}
	return addresses
}

// view is an immutable copy of the table and the node's own record for readers outside the
// protocol. It is built at most once per change. Its lists are sorted by name.
type view struct {
	// all holds all members, including tombstones.
	all  []Member
	live []Member
	// liveByZone holds the live members of each zone.
	liveByZone map[string][]Member
	digest     uint64
}

// buildView builds a view from the node's own record, the entries of the table and the digest of
// both.
func buildView(self Member, entries map[string]*entry, digest uint64) *view {
	sorted := make([]*entry, 0, len(entries)+1)
	sorted = append(sorted, &entry{Member: self})
	for _, known := range entries {
		sorted = append(sorted, known)
	}
	slices.SortFunc(sorted, compareByName)
	built := &view{
		all:        make([]Member, 0, len(sorted)),
		live:       make([]Member, 0, len(sorted)),
		liveByZone: map[string][]Member{},
		digest:     digest,
	}
	for _, known := range sorted {
		built.add(known)
	}
	return built
}

// add appends one member to the lists it belongs to.
func (v *view) add(known *entry) {
	v.all = append(v.all, known.Member)
	if known.State.Live() {
		v.live = append(v.live, known.Member)
		v.liveByZone[known.Zone] = append(v.liveByZone[known.Zone], known.Member)
	}
}

// memberDigest hashes the fields on which two lists must agree. As a suspicion is local and
// temporary, the state Suspect is hashed as Alive.
func memberDigest(member Member) uint64 {
	if member.State == Suspect {
		member.State = Alive
	}
	encoded, err := encoder.Marshal(member.compact())
	if err != nil {
		return 0
	}
	return xxhash.Sum64(encoded)
}

// sampleAttempts is the maximum number of random draws for each requested member of a sample.
const sampleAttempts = 16

// sample draws up to count distinct members accepted by the filter, in time that does not depend
// on the length of the list. It may miss members if the filter accepts only a few.
func sample(random *rand.Rand, from entryList, count int, accept func(Member) bool) []Member {
	var drawn []Member
	if from.size() == 0 {
		return nil
	}
	for attempt := 0; attempt < sampleAttempts*count && len(drawn) < count; attempt++ {
		candidate := from.entries[random.IntN(from.size())].Member
		if accept(candidate) && !containsName(drawn, candidate.Name) {
			drawn = append(drawn, candidate)
		}
	}
	return drawn
}

func containsName(members []Member, name string) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.Name == name })
}
