package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// namesWhere returns the sorted names of the table's entries whose state the filter accepts.
func namesWhere(t *table, accept func(State) bool) []string {
	names := []string{}
	for name, known := range t.entries {
		if accept(known.State) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func namesIn(list entryList) []string {
	names := []string{}
	for _, known := range list.entries {
		names = append(names, known.Name)
	}
	slices.Sort(names)
	return names
}

func TestEntryListsMatchStates(t *testing.T) {
	states := rapid.SampledFrom([]State{Alive, Suspect, Leaving, Dead, Left})
	rapid.Check(t, func(t *rapid.T) {
		members := newTable(8)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprintf("node-%d", rapid.IntRange(0, 11).Draw(t, "name"))
			known, found := members.entries[name]
			switch {
			case rapid.IntRange(0, 9).Draw(t, "drop") == 0:
				members.dropTombstonesBefore(time.Hour)
			case found:
				members.setState(known, states.Draw(t, "state"))
			default:
				members.insert(Member{Name: name, State: states.Draw(t, "state")})
			}
			present := namesWhere(members, func(state State) bool { return !state.DeadOrLeft() })
			dead := namesWhere(members, func(state State) bool { return state == Dead })
			suspects := namesWhere(members, func(state State) bool { return state == Suspect })
			if !slices.Equal(namesIn(members.present), present) || !slices.Equal(namesIn(members.dead), dead) {
				t.Fatalf("present %v, listed %v; dead %v, listed %v", present, namesIn(members.present), dead, namesIn(members.dead))
			}
			if len(suspects) != len(members.suspects) {
				t.Fatalf("suspects %v, in the map %v", suspects, members.suspects)
			}
		}
	})
}

func TestDigestChangesWithRecord(t *testing.T) {
	known := &entry{Member: Member{Name: "node-1", PeerAddress: "10.0.0.1:1", Incarnation: 5, BootID: 9}}
	seen := []uint64{}
	for _, change := range []func(){
		func() {},
		func() { known.State = Leaving },
		func() { known.Incarnation++ },
		func() { known.BootID++ },
		func() { known.State = Dead },
	} {
		change()
		assert.Equal(t, known.cachedDigest(), memberDigest(known.Member))
		assert.Assert(t, !slices.Contains(seen, known.cachedDigest()))
		seen = append(seen, known.cachedDigest())
	}
	known.State = Alive
	alive := known.cachedDigest()
	known.State = Suspect
	assert.Equal(t, known.cachedDigest(), alive)
}

// TestProtocolDoesNotBuildView checks that the protocol does not build the view, which copies
// the whole list, when a member changes.
func TestProtocolDoesNotBuildView(t *testing.T) {
	s := newSimulation(31)
	nodes := startCluster(t, s, 12)
	s.advance(5 * DefaultPeriod)
	crashed, observer := nodes[11], nodes[0]
	crashed.crash()
	observer.invalidateView()
	_, died := s.advanceUntil(time.Minute, func() bool {
		observer.mutex.Lock()
		defer observer.mutex.Unlock()
		assert.Assert(t, observer.cachedView.Load() == nil, "the view was built in period %d", observer.periodCount)
		return observer.table.entries[crashed.Self().Name].State == Dead
	})
	assert.Assert(t, died)
}
