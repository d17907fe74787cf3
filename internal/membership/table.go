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
}

// table holds the beliefs about all other members, bounded in number.
type table struct {
	entries map[string]*entry
	// suspects are the entries in the state Suspect.
	suspects map[string]*entry
	limit    int
	// present counts the entries that are not gone.
	present int
}

func newTable(limit int) *table {
	return &table{entries: map[string]*entry{}, suspects: map[string]*entry{}, limit: limit}
}

// insert adds a member, for whom the oldest tombstone makes room if need be. It
// returns nil when the table is full of members that are not gone.
func (t *table) insert(member Member) *entry {
	if len(t.entries) >= t.limit && !t.dropOldestTombstone() {
		return nil
	}
	added := &entry{Member: member}
	t.entries[member.Name] = added
	if !member.State.Gone() {
		t.present++
	}
	if member.State == Suspect {
		t.suspects[member.Name] = added
	}
	return added
}

// setState changes the state of an entry and keeps the count of present ones.
func (t *table) setState(changed *entry, state State) {
	if changed.State.Gone() && !state.Gone() {
		t.present++
	}
	if !changed.State.Gone() && state.Gone() {
		t.present--
	}
	changed.State = state
	if state == Suspect {
		t.suspects[changed.Name] = changed
		return
	}
	delete(t.suspects, changed.Name)
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
	delete(t.entries, oldest.Name)
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
	for name, candidate := range t.entries {
		if candidate.State.Gone() && candidate.goneAt < limit {
			delete(t.entries, name)
		}
	}
	return len(t.entries) < before
}

// view is an immutable picture of the table and the node itself, built at most
// once after a change.
type view struct {
	// all holds every member, tombstones included, by name.
	all []Member
	// present holds the other members that are not gone.
	present []Member
	// dead holds the dead members; those that left are not sought.
	dead []Member
	live []Member
	// liveByZone holds the live members of each zone, by name.
	liveByZone map[string][]Member
	// addresses holds the peer addresses of the node and of present members.
	addresses map[string]struct{}
	digest    uint64
}

// buildView builds the picture from the table and the node itself.
func buildView(self Member, entries map[string]*entry) *view {
	built := &view{liveByZone: map[string][]Member{}, addresses: map[string]struct{}{}}
	built.all = make([]Member, 0, len(entries)+1)
	built.all = append(built.all, self)
	for _, known := range entries {
		built.all = append(built.all, known.Member)
	}
	slices.SortFunc(built.all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	for _, member := range built.all {
		built.classify(member, self.Name)
	}
	return built
}

// classify enters one member in the lists that it belongs to.
func (v *view) classify(member Member, selfName string) {
	if member.State.Live() {
		v.live = append(v.live, member)
		v.liveByZone[member.Zone] = append(v.liveByZone[member.Zone], member)
	}
	if member.State == Dead {
		v.dead = append(v.dead, member)
	}
	if member.State.Gone() {
		return
	}
	v.digest ^= memberDigest(member)
	v.addresses[member.PeerAddress] = struct{}{}
	if member.Name != selfName {
		v.present = append(v.present, member)
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
func sample(random *rand.Rand, from []Member, count int, fits func(Member) bool) []Member {
	var drawn []Member
	if len(from) == 0 {
		return nil
	}
	for attempt := 0; attempt < sampleAttempts*count && len(drawn) < count; attempt++ {
		candidate := from[random.IntN(len(from))]
		if fits(candidate) && !containsName(drawn, candidate.Name) {
			drawn = append(drawn, candidate)
		}
	}
	return drawn
}

func containsName(members []Member, name string) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.Name == name })
}
