package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// namesWhere returns the names of the entries whose state fits, sorted.
func namesWhere(t *table, fits func(State) bool) []string {
	names := []string{}
	for name, known := range t.entries {
		if fits(known.State) {
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

func TestListsFollowTheStates(t *testing.T) {
	states := rapid.SampledFrom([]State{Alive, Suspect, Leaving, Dead, Left})
	rapid.Check(t, func(t *rapid.T) {
		beliefs := newTable(8)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprintf("node-%d", rapid.IntRange(0, 11).Draw(t, "name"))
			known, found := beliefs.entries[name]
			switch {
			case rapid.IntRange(0, 9).Draw(t, "drop") == 0:
				beliefs.dropTombstonesBefore(time.Hour)
			case found:
				beliefs.setState(known, states.Draw(t, "state"))
			default:
				beliefs.insert(Member{Name: name, State: states.Draw(t, "state")})
			}
			present := namesWhere(beliefs, func(state State) bool { return !state.Gone() })
			dead := namesWhere(beliefs, func(state State) bool { return state == Dead })
			suspects := namesWhere(beliefs, func(state State) bool { return state == Suspect })
			if !slices.Equal(namesIn(beliefs.present), present) || !slices.Equal(namesIn(beliefs.dead), dead) {
				t.Fatalf("present %v, listed %v; dead %v, listed %v", present, namesIn(beliefs.present), dead, namesIn(beliefs.dead))
			}
			if len(suspects) != len(beliefs.suspects) {
				t.Fatalf("suspects %v, listed %v", suspects, beliefs.suspects)
			}
		}
	})
}

func TestDigestFollowsEachChange(t *testing.T) {
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
		assert.Equal(t, known.memberDigest(), memberDigest(known.Member))
		assert.Assert(t, !slices.Contains(seen, known.memberDigest()))
		seen = append(seen, known.memberDigest())
	}
	known.State = Alive
	alive := known.memberDigest()
	known.State = Suspect
	assert.Equal(t, known.memberDigest(), alive)
}

// TestProtocolBuildsNoPicture checks that a change does not cost the protocol
// itself a copy of the whole list.
func TestProtocolBuildsNoPicture(t *testing.T) {
	s := newSimulation(31)
	nodes := cluster(t, s, 12)
	s.advance(5 * DefaultPeriod)
	crashed, watched := nodes[11], nodes[0]
	crashed.crash()
	watched.changed()
	_, died := s.until(time.Minute, func() bool {
		watched.mutex.Lock()
		defer watched.mutex.Unlock()
		assert.Assert(t, watched.picture.Load() == nil, "built in period %d", watched.periods)
		return watched.table.entries[crashed.Self().Name].State == Dead
	})
	assert.Assert(t, died)
}
