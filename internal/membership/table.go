package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entry is the record of one other member with the state of its failure detection.
type entry struct {
	Member
	// suspicionEnd is when a suspect is declared dead, on the monotonic clock.
	suspicionEnd time.Duration
	// finalProbeQueued is whether the node has queued its own probe of the suspect before the
	// suspicion ends.
	finalProbeQueued bool
	// goneAt is when the member was marked as dead or left, on the monotonic clock.
	goneAt time.Duration
	// position is the index of the entry in its entryList.
	position int
	// digestInput is the record from which digest was computed.
	digestInput Member
	digest      uint64
}

// memberDigest returns the member's share of the list digest. It is recomputed only after a
// change.
func (e *entry) memberDigest() uint64 {
	record := e.compact()
	if record != e.digestInput {
		e.digestInput, e.digest = record, memberDigest(record)
	}
	return e.digest
}

// entryList is a set of entries that supports random selection in constant time.
type entryList struct{ entries []*entry }

func (l *entryList) add(added *entry) {
	added.position = len(l.entries)
	l.entries = append(l.entries, added)
}

// remove deletes an entry and moves the last entry to its index.
func (l *entryList) remove(removed *entry) {
	last := len(l.entries) - 1
	moved := l.entries[last]
	l.entries[removed.position] = moved
	moved.position = removed.position
	l.entries[last] = nil
	l.entries = l.entries[:last]
}

func (l *entryList) size() int { return len(l.entries) }

// table holds the records of all other members, limited in number.
type table struct {
	entries map[string]*entry
	// suspects are the entries in the state Suspect.
	suspects map[string]*entry
	limit    int
	// present holds the entries that are not gone, dead those that are dead. Entries that have
	// left are in neither list.
	present entryList
	dead    entryList
}

func newTable(limit int) *table {
	return &table{entries: map[string]*entry{}, suspects: map[string]*entry{}, limit: limit}
}

// listOf returns the list for entries in the state, or nil if there is none.
func (t *table) listOf(state State) *entryList {
	switch {
	case !state.Gone():
		return &t.present
	case state == Dead:
		return &t.dead
	default:
		return nil
	}
}

// insert adds a member. If the table is full it drops the oldest tombstone; if there is none
// it returns nil.
func (t *table) insert(member Member) *entry {
	if len(t.entries) >= t.limit && !t.dropOldestTombstone() {
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
func (t *table) setState(changed *entry, state State) {
	before, after := t.listOf(changed.State), t.listOf(state)
	if before != after {
		move(changed, before, after)
	}
	changed.State = state
	if state == Suspect {
		t.suspects[changed.Name] = changed
		return
	}
	delete(t.suspects, changed.Name)
}

// move moves an entry from one list to another; either may be nil.
func move(moved *entry, from, to *entryList) {
	if from != nil {
		from.remove(moved)
	}
	if to != nil {
		to.add(moved)
	}
}

// drop removes an entry.
func (t *table) drop(dropped *entry) {
	move(dropped, t.listOf(dropped.State), nil)
	delete(t.entries, dropped.Name)
}

func (t *table) dropOldestTombstone() bool {
	var oldest *entry
	for _, candidate := range t.entries {
		if candidate.State.Gone() && (oldest == nil || olderTombstone(candidate, oldest)) {
			oldest = candidate
		}
	}
	if oldest == nil {
		return false
	}
	t.drop(oldest)
	return true
}

func compareEntries(a, b *entry) int { return cmp.Compare(a.Name, b.Name) }

// olderTombstone orders tombstones by age, then by name.
func olderTombstone(a, b *entry) bool {
	if a.goneAt != b.goneAt {
		return a.goneAt < b.goneAt
	}
	return a.Name < b.Name
}

// dropTombstonesBefore removes the members that became dead or left before the limit and
// reports whether there were any.
func (t *table) dropTombstonesBefore(limit time.Duration) bool {
	before := len(t.entries)
	for _, candidate := range t.entries {
		if candidate.State.Gone() && candidate.goneAt < limit {
			t.drop(candidate)
		}
	}
	return len(t.entries) < before
}

// digest returns the hash of all members that are not gone, including the node itself.
func (t *table) digest(self Member) uint64 {
	var sum uint64
	if !self.State.Gone() {
		sum = memberDigest(self)
	}
	for _, known := range t.present.entries {
		sum ^= known.memberDigest()
	}
	return sum
}

// addresses returns the peer addresses of all members that are not gone.
func (t *table) addresses() map[string]struct{} {
	addresses := make(map[string]struct{}, t.present.size())
	for _, known := range t.present.entries {
		addresses[known.PeerAddress] = struct{}{}
	}
	return addresses
}

// view is an immutable copy of the table and the node's own record for readers outside the
// protocol. It is built at most once per change.
type view struct {
	// all holds all members, including tombstones, by name.
	all  []Member
	live []Member
	// liveByZone holds the live members of each zone, by name.
	liveByZone map[string][]Member
	digest     uint64
}

// buildView builds a view from the node's own record, the table and the digest of both.
func buildView(self Member, entries map[string]*entry, digest uint64) *view {
	sorted := make([]*entry, 0, len(entries)+1)
	sorted = append(sorted, &entry{Member: self})
	for _, known := range entries {
		sorted = append(sorted, known)
	}
	slices.SortFunc(sorted, compareEntries)
	built := &view{
		all:        make([]Member, 0, len(sorted)),
		live:       make([]Member, 0, len(sorted)),
		liveByZone: map[string][]Member{},
		digest:     digest,
	}
	for _, known := range sorted {
		built.classify(known)
	}
	return built
}

// classify appends one member to the lists it belongs to.
func (v *view) classify(known *entry) {
	v.all = append(v.all, known.Member)
	if known.State.Live() {
		v.live = append(v.live, known.Member)
		v.liveByZone[known.Zone] = append(v.liveByZone[known.Zone], known.Member)
	}
}

// memberDigest hashes the fields on which two lists must agree. A suspicion is local and
// temporary, so it counts as alive.
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

// sampleAttempts limits the random draws for each member of a sample.
const sampleAttempts = 16

// sample draws up to count distinct members accepted by the filter, in time that does not
// depend on the length of the list. If the filter accepts few members it may return fewer than
// there are.
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
