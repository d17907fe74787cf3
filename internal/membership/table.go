package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entry is the node's belief about one other member.
type entry struct {
	Member
	// suspicionEnd is when a suspect is declared dead, on the monotonic clock.
	suspicionEnd time.Duration
	// lastChecked is whether the node has probed the suspect itself before the
	// suspicion runs out.
	lastChecked bool
	// goneAt is when the member was found dead or left, on the monotonic clock.
	goneAt time.Duration
	// position is the entry's place in the list that it is in.
	position int
	// hashed is what the digest was last made of.
	hashed Member
	digest uint64
}

// memberDigest returns the hash of the member that goes into the digest of the
// list. It is made anew only after a change.
func (e *entry) memberDigest() uint64 {
	record := e.compact()
	if record != e.hashed {
		e.hashed, e.digest = record, memberDigest(record)
	}
	return e.digest
}

// entryList is a set of entries from which one is drawn in constant time.
type entryList struct{ entries []*entry }

func (l *entryList) add(added *entry) {
	added.position = len(l.entries)
	l.entries = append(l.entries, added)
}

// remove takes an entry out; the last one takes its place.
func (l *entryList) remove(removed *entry) {
	last := len(l.entries) - 1
	moved := l.entries[last]
	l.entries[removed.position] = moved
	moved.position = removed.position
	l.entries[last] = nil
	l.entries = l.entries[:last]
}

func (l *entryList) size() int { return len(l.entries) }

// table holds the beliefs about all other members, bounded in number.
type table struct {
	entries map[string]*entry
	// suspects are the entries in the state Suspect.
	suspects map[string]*entry
	limit    int
	// present holds the entries that are not gone, dead those that are dead.
	// Entries that left are in neither.
	present entryList
	dead    entryList
}

func newTable(limit int) *table {
	return &table{entries: map[string]*entry{}, suspects: map[string]*entry{}, limit: limit}
}

// listOf returns the list for entries in the state, nil if there is none.
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

// insert adds a member, for whom the oldest tombstone makes room if need be. It
// returns nil when the table is full of members that are not gone.
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

// setState changes the state of an entry and the list that it is in.
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

// move takes an entry from one list to another; either may be nil.
func move(moved *entry, from, to *entryList) {
	if from != nil {
		from.remove(moved)
	}
	if to != nil {
		to.add(moved)
	}
}

// drop forgets an entry.
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

// dropTombstonesBefore forgets the members that are gone since before the limit.
func (t *table) dropTombstonesBefore(limit time.Duration) bool {
	before := len(t.entries)
	for _, candidate := range t.entries {
		if candidate.State.Gone() && candidate.goneAt < limit {
			t.drop(candidate)
		}
	}
	return len(t.entries) < before
}

// digest returns the hash of all members that are not gone, the node itself included.
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

// view is an immutable picture of the table and the node itself for readers
// outside the protocol, built at most once after a change.
type view struct {
	// all holds every member, tombstones included, by name.
	all  []Member
	live []Member
	// liveByZone holds the live members of each zone, by name.
	liveByZone map[string][]Member
	digest     uint64
}

// buildView builds the picture from the table, the node itself and the digest of both.
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

// classify enters one member in the lists that it belongs to.
func (v *view) classify(known *entry) {
	v.all = append(v.all, known.Member)
	if known.State.Live() {
		v.live = append(v.live, known.Member)
		v.liveByZone[known.Zone] = append(v.liveByZone[known.Zone], known.Member)
	}
}

// memberDigest hashes what two lists must agree on. A suspicion is local and
// passing, so that it counts as alive.
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

// sampleAttempts bounds the tries to draw a member that fits.
const sampleAttempts = 16

// sample draws up to count distinct members that fit, in time that does not
// grow with the list. It may miss members when few fit.
func sample(random *rand.Rand, from entryList, count int, fits func(Member) bool) []Member {
	var drawn []Member
	if from.size() == 0 {
		return nil
	}
	for attempt := 0; attempt < sampleAttempts*count && len(drawn) < count; attempt++ {
		candidate := from.entries[random.IntN(from.size())].Member
		if fits(candidate) && !containsName(drawn, candidate.Name) {
			drawn = append(drawn, candidate)
		}
	}
	return drawn
}

func containsName(members []Member, name string) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.Name == name })
}
