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

// storeHistory contains every version of every object that the store has
// accepted, in order of revision.
type storeHistory []resource.Versioned

func drawStoreHistory(t *rapid.T) storeHistory {
	var drawn storeHistory
	length := rapid.IntRange(1, 40).Draw(t, "length")
	for revision := 1; revision <= length; revision++ {
		name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
		drawn = append(drawn, version(name, store.Revision(revision), rapid.IntRange(0, 3).Draw(t, "kind") == 0))
	}
	return drawn
}

// at returns the store's content at a revision, tombstones included.
func (h storeHistory) at(revision store.Revision) map[resource.ID]resource.Versioned {
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
	for _, version := range current {
		versions = append(versions, version)
	}
	return versions
}

// checkNotStale fails if the replica lacks an object that the store had at the
// replica's floor, or has an older version of it.
func (h storeHistory) checkNotStale(t *rapid.T, replica *Replica) {
	for id, expected := range h.at(replica.Floor()) {
		actual, known := replica.Get(id)
		live := known && !actual.Deleted
		if live && actual.Revision < expected.Revision {
			t.Fatalf("%s at revision %d, expected at least %d at floor %d", id, actual.Revision, expected.Revision, replica.Floor())
		}
		if !live && !expected.Deleted && (!known || actual.Revision < expected.Revision) {
			t.Fatalf("%s is missing at floor %d", id, replica.Floor())
		}
	}
}

// TestReplicaStateMachine applies random sequences of pushes, lists, pulls, floor
// adoptions and tombstone collections to three replicas. No object may go back to an older
// revision, no replica may be stale at its floor, and all replicas must agree
// after a list of the newest revision.
func TestReplicaStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accepted := drawStoreHistory(t)
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
						t.Fatalf("%s changed from revision %d to %d", version.ID, revisions[version.ID], version.Revision)
					}
					revisions[version.ID] = version.Revision
				}
			})
		}
		drawReplica := func() *Replica { return rapid.SampledFrom(replicas).Draw(t, "replica") }
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				drawReplica().Apply(rapid.SliceOfN(rapid.SampledFrom(accepted), 1, 5).Draw(t, "versions")...)
			},
			"list": func(t *rapid.T) {
				revision := rapid.SampledFrom(accepted).Draw(t, "at").Revision
				drawReplica().ApplyComplete(values(accepted.at(revision)), revision)
			},
			"list without tombstones": func(t *rapid.T) {
				revision := rapid.SampledFrom(accepted).Draw(t, "at").Revision
				replica := drawReplica()
				view := accepted.at(revision)
				for id, version := range view {
					if version.Deleted {
						delete(view, id)
					}
				}
				replica.RaiseCollected(revision)
				replica.ApplyComplete(values(view), revision)
			},
			"pull": func(t *rapid.T) { pullInMemory(drawReplica(), drawReplica()) },
			"adopt": func(t *rapid.T) {
				drawReplica().AdoptFloor(drawReplica().Digest())
			},
			"collect": func(*rapid.T) {
				clock = clock.Add(TombstoneRetention)
				drawReplica().CollectTombstones()
			},
			"": func(t *rapid.T) {
				for _, replica := range replicas {
					accepted.checkNotStale(t, replica)
					checkDigest(t, replica)
				}
			},
		})
		for _, replica := range replicas {
			end := accepted[len(accepted)-1].Revision
			replica.ApplyComplete(values(accepted.at(end)), end)
			for id, expected := range accepted.at(end) {
				actual, known := replica.Get(id)
				assert.Equal(t, known && !actual.Deleted, !expected.Deleted, "%s", id)
				if !expected.Deleted {
					assert.Equal(t, actual.Revision, expected.Revision)
				}
			}
			assert.Assert(t, replica.Digest().sameObjects(replicas[0].Digest()))
		}
	})
}

// pullInMemory updates a replica from another one as a pull over the network
// does.
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
	to.RaiseCollected(delta.Digest.Collected)
	to.ApplyComplete(delta.Versions, delta.Digest.Floor)
}

func checkDigest(t *rapid.T, replica *Replica) {
	var expected Digest
	for _, version := range replica.Snapshot().Versions {
		hash := hashVersion(version.ID, version.Revision)
		if version.Deleted {
			expected.TombstoneSum ^= hash
			continue
		}
		expected.ObjectSum ^= hash
		expected.Count++
	}
	actual := replica.Digest()
	assert.Assert(t, actual.sameObjects(expected) && actual.TombstoneSum == expected.TombstoneSum)
}

func TestOldVersionDoesNotUndoDeletion(t *testing.T) {
	clock := time.Unix(1_700_000_000, 0)
	replica := NewReplica(func() time.Time { return clock })
	replica.Apply(version("a", 3, true))
	assert.Equal(t, len(replica.Apply(version("a", 2, false))), 0)
	clock = clock.Add(2 * TombstoneRetention)
	assert.Equal(t, replica.CollectTombstones(), 0, "above the floor")
	replica.SetFloor(5)
	assert.Equal(t, replica.CollectTombstones(), 1)
	assert.Equal(t, len(replica.Apply(version("a", 2, false))), 0, "still rejected after the tombstone was collected")
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

func TestOldTombstoneInCompleteViewDeletesObject(t *testing.T) {
	replica := NewReplica(time.Now)
	replica.ApplyComplete([]resource.Versioned{version("a", 19, false)}, 19)
	replica.ApplyComplete([]resource.Versioned{version("a", 1, true)}, 36)
	assert.Equal(t, len(replica.List(resource.KindService)), 0)
}

func TestAdoptFloorRequiresSameVersions(t *testing.T) {
	build := func(floor, collected store.Revision, versions ...resource.Versioned) *Replica {
		replica := NewReplica(time.Now)
		replica.ApplyComplete(versions, floor)
		replica.RaiseCollected(collected)
		return replica
	}
	live, deleted := version("a", 1, false), version("b", 2, true)
	cases := []struct {
		name    string
		other   *Replica
		adopted bool
	}{
		{"same versions", build(9, 0, live, deleted), true},
		{"same versions, older tombstones collected", build(9, 4, live, deleted), true},
		{"tombstones above the floor collected", build(9, 6, live, deleted), false},
		{"another tombstone", build(9, 0, live, deleted, version("c", 3, true)), false},
		{"another object", build(9, 0, live, deleted, version("c", 3, false)), false},
		{"lower floor", build(4, 0, live, deleted), false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			replica := build(5, 0, live, deleted)
			assert.Equal(t, replica.AdoptFloor(test.other.Digest()), test.adopted)
			assert.Equal(t, replica.Floor() == 9, test.adopted)
			if test.adopted {
				assert.Equal(t, replica.Digest().Collected, test.other.Digest().Collected)
			}
		})
	}
}

func TestSinceInPages(t *testing.T) {
	replica := NewReplica(time.Now)
	for i := range 25 {
		replica.Apply(version(fmt.Sprint("s", i), store.Revision(i+1), false))
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
	assert.Assert(t, !drains.Add("a"), "invalid drain name")
	clock = clock.Add(EmergencyDrainTTL / 2)
	assert.Assert(t, !drains.Merge(map[string]time.Time{"target.a": clock.Add(time.Minute)}), "not a new name")
	assert.Equal(t, drains.Expiries()["target.a"], clock.Add(EmergencyDrainTTL/2), "the later expiry wins")
	assert.Assert(t, drains.Merge(map[string]time.Time{"machine.m": clock.Add(time.Hour), "target.old": clock}))
	assert.Equal(t, drains.Expiries()["machine.m"], clock.Add(EmergencyDrainTTL), "clipped")
	assert.Assert(t, !drains.Drained("target.old"))
	clock = clock.Add(EmergencyDrainTTL)
	assert.Assert(t, !drains.Drained("target.a") && drains.Sum() == 0)
	for i := range 2 * MaxEmergencyDrains {
		drains.Add(fmt.Sprint("target.t", i))
	}
	assert.Equal(t, len(drains.Expiries()), MaxEmergencyDrains)
}
