package configuration

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// history is a store's past: every version of every object, in order.
type history []resource.Versioned

func drawHistory(t *rapid.T) history {
	var past history
	length := rapid.IntRange(1, 40).Draw(t, "length")
	for revision := 1; revision <= length; revision++ {
		name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
		past = append(past, version(name, store.Revision(revision), rapid.IntRange(0, 3).Draw(t, "kind") == 0))
	}
	return past
}

// at returns what the store holds at a revision, tombstones included.
func (h history) at(revision store.Revision) map[resource.ID]resource.Versioned {
	current := make(map[resource.ID]resource.Versioned)
	for _, change := range h {
		if change.Revision <= revision {
			current[change.ID] = change
		}
	}
	return current
}

func values(current map[resource.ID]resource.Versioned) []resource.Versioned {
	var versions []resource.Versioned
	for _, held := range current {
		versions = append(versions, held)
	}
	return versions
}

// checkNeverOlder fails when the replica shows a version that is below its
// floor's truth.
func (h history) checkNeverOlder(t *rapid.T, replica *Replica) {
	for id, truth := range h.at(replica.Floor()) {
		held, known := replica.Get(id)
		live := known && !held.Deleted
		if live && held.Revision < truth.Revision {
			t.Fatalf("%s at %d, though %d was in force at the floor %d", id, held.Revision, truth.Revision, replica.Floor())
		}
		if !live && !truth.Deleted && (!known || held.Revision < truth.Revision) {
			t.Fatalf("%s is missing at floor %d", id, replica.Floor())
		}
	}
}

func TestMergeStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		past := drawHistory(t)
		clock := time.Unix(1_700_000_000, 0)
		now := func() time.Time { return clock }
		replicas := []*Replica{NewReplica(now), NewReplica(now), NewReplica(now)}
		seen := make(map[*Replica]map[resource.ID]store.Revision)
		for _, replica := range replicas {
			revisions := make(map[resource.ID]store.Revision)
			seen[replica] = revisions
			replica.Subscribe(func(changed []resource.Versioned) {
				for _, version := range changed {
					if version.Revision <= revisions[version.ID] {
						t.Fatalf("%s went from %d to %d", version.ID, revisions[version.ID], version.Revision)
					}
					revisions[version.ID] = version.Revision
				}
			})
		}
		pick := func() *Replica { return rapid.SampledFrom(replicas).Draw(t, "replica") }
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				pick().Apply(rapid.SliceOfN(rapid.SampledFrom(past), 1, 5).Draw(t, "versions")...)
			},
			"list": func(t *rapid.T) {
				revision := rapid.SampledFrom(past).Draw(t, "at").Revision
				pick().ApplyComplete(values(past.at(revision)), revision)
			},
			"list without tombstones": func(t *rapid.T) {
				revision := rapid.SampledFrom(past).Draw(t, "at").Revision
				replica := pick()
				view := past.at(revision)
				for id, version := range view {
					if version.Deleted {
						delete(view, id)
					}
				}
				replica.ForgetTombstonesBelow(revision)
				replica.ApplyComplete(values(view), revision)
			},
			"pull": func(t *rapid.T) { pullInMemory(pick(), pick()) },
			"adopt": func(t *rapid.T) {
				pick().Adopt(pick().Digest())
			},
			"collect": func(*rapid.T) {
				clock = clock.Add(TombstoneRetention)
				pick().Collect()
			},
			"": func(t *rapid.T) {
				for _, replica := range replicas {
					past.checkNeverOlder(t, replica)
					checkDigest(t, replica)
				}
			},
		})
		for _, replica := range replicas {
			end := past[len(past)-1].Revision
			replica.ApplyComplete(values(past.at(end)), end)
			for id, truth := range past.at(end) {
				held, known := replica.Get(id)
				assert.Equal(t, known && !held.Deleted, !truth.Deleted, "%s", id)
				if !truth.Deleted {
					assert.Equal(t, held.Revision, truth.Revision)
				}
			}
			assert.Assert(t, replica.Digest().sameObjects(replicas[0].Digest()))
		}
	})
}

// pullInMemory does what a pull over the network does.
func pullInMemory(from, to *Replica) {
	if to.Ready() && canServeDelta(from.Digest(), to.Floor()) {
		delta := from.Since(to.Floor(), 0)
		to.Apply(delta.Versions...)
		if delta.Ready {
			to.SetFloor(delta.Digest.Floor)
		}
		return
	}
	delta := from.Snapshot()
	if !delta.Ready {
		to.Apply(delta.Versions...)
		return
	}
	to.ForgetTombstonesBelow(delta.Digest.Collected)
	to.ApplyComplete(delta.Versions, delta.Digest.Floor)
}

func checkDigest(t *rapid.T, replica *Replica) {
	var want Digest
	for _, version := range replica.Snapshot().Versions {
		hash := hashVersion(version.ID, version.Revision)
		if version.Deleted {
			want.Tombstones ^= hash
			continue
		}
		want.Sum ^= hash
		want.Count++
	}
	got := replica.Digest()
	assert.Assert(t, got.sameObjects(want) && got.Tombstones == want.Tombstones)
}

func TestDeletionsStay(t *testing.T) {
	clock := time.Unix(1_700_000_000, 0)
	replica := NewReplica(func() time.Time { return clock })
	replica.Apply(version("a", 3, true))
	assert.Equal(t, len(replica.Apply(version("a", 2, false))), 0)
	clock = clock.Add(2 * TombstoneRetention)
	assert.Equal(t, replica.Collect(), 0, "above the floor")
	replica.SetFloor(5)
	assert.Equal(t, replica.Collect(), 1)
	assert.Equal(t, len(replica.Apply(version("a", 2, false))), 0, "still refused once forgotten")
	assert.Equal(t, len(replica.Apply(version("a", 6, false))), 1)
	assert.Equal(t, len(replica.List(resource.KindService)), 1)
}

func TestOlderCompleteViewDeletesNothing(t *testing.T) {
	replica := NewReplica(time.Now)
	replica.ApplyComplete([]resource.Versioned{version("a", 2, false), version("b", 4, false)}, 5)
	replica.ApplyComplete([]resource.Versioned{version("a", 2, false)}, 3)
	assert.Equal(t, len(replica.List(resource.KindService)), 2)
	assert.Equal(t, replica.Floor(), store.Revision(5))
	replica.ApplyComplete([]resource.Versioned{version("a", 2, false)}, 6)
	assert.Equal(t, len(replica.List(resource.KindService)), 1)
}

func TestOldTombstoneInCompleteViewStandsForDeletion(t *testing.T) {
	replica := NewReplica(time.Now)
	replica.ApplyComplete([]resource.Versioned{version("a", 19, false)}, 19)
	replica.ApplyComplete([]resource.Versioned{version("a", 1, true)}, 36)
	assert.Equal(t, len(replica.List(resource.KindService)), 0)
}

func TestAdoptNeedsTheSameVersions(t *testing.T) {
	build := func(floor, collected store.Revision, versions ...resource.Versioned) *Replica {
		replica := NewReplica(time.Now)
		replica.ApplyComplete(versions, floor)
		replica.ForgetTombstonesBelow(collected)
		return replica
	}
	live, dead := version("a", 1, false), version("b", 2, true)
	cases := []struct {
		name  string
		other *Replica
		want  bool
	}{
		{"same versions", build(9, 0, live, dead), true},
		{"same versions, older tombstones forgotten", build(9, 4, live, dead), true},
		{"tombstones above the floor forgotten", build(9, 6, live, dead), false},
		{"another tombstone", build(9, 0, live, dead, version("c", 3, true)), false},
		{"another object", build(9, 0, live, dead, version("c", 3, false)), false},
		{"lower floor", build(4, 0, live, dead), false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			replica := build(5, 0, live, dead)
			assert.Equal(t, replica.Adopt(test.other.Digest()), test.want)
			assert.Equal(t, replica.Floor() == 9, test.want)
			if test.want {
				assert.Equal(t, replica.Digest().Collected, test.other.Digest().Collected)
			}
		})
	}
}

func TestSinceInParts(t *testing.T) {
	replica := NewReplica(time.Now)
	for number := range 25 {
		replica.Apply(version(fmt.Sprint("s", number), store.Revision(number+1), false))
	}
	copied := NewReplica(time.Now)
	floor := store.Revision(0)
	for more := true; more; {
		delta := replica.Since(floor, 4)
		assert.Assert(t, len(delta.Versions) <= 4)
		copied.Apply(delta.Versions...)
		floor = delta.Versions[len(delta.Versions)-1].Revision
		more = delta.More
	}
	assert.Equal(t, copied.Digest(), replica.Digest())
}

func TestEmergencyDrains(t *testing.T) {
	clock := time.Unix(1_700_000_000, 0)
	now := func() time.Time { return clock }
	drains := NewEmergencyDrains(now)
	assert.Assert(t, drains.Add("target.a"))
	assert.Assert(t, !drains.Add("a"), "not a drain's name")
	clock = clock.Add(EmergencyDrainTTL / 2)
	assert.Assert(t, !drains.Merge(map[string]time.Time{"target.a": clock.Add(time.Minute)}), "known already")
	assert.Equal(t, drains.Marks()["target.a"], clock.Add(EmergencyDrainTTL/2), "the later expiry holds")
	assert.Assert(t, drains.Merge(map[string]time.Time{"machine.m": clock.Add(time.Hour), "target.old": clock}))
	assert.Equal(t, drains.Marks()["machine.m"], clock.Add(EmergencyDrainTTL), "clipped")
	assert.Assert(t, !drains.Drained("target.old"))
	clock = clock.Add(EmergencyDrainTTL)
	assert.Assert(t, !drains.Drained("target.a") && drains.Sum() == 0)
	for number := range 2 * MaxEmergencyDrains {
		drains.Add(fmt.Sprint("target.t", number))
	}
	assert.Equal(t, len(drains.Marks()), MaxEmergencyDrains)
}
