package configuration

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// TombstoneRetention is how long a replica remembers a deleted object at least.
const TombstoneRetention = 24 * time.Hour

// Replica holds the newest known version of every object in memory. It is safe
// for concurrent use. Versions handed in and out share their specifications
// and histories and must not be changed.
type Replica struct {
	// applying serializes changes together with the calls of subscribers.
	applying sync.Mutex

	mu          sync.RWMutex
	objects     map[resource.ID]held
	digest      Digest
	ready       bool
	subscribers []func(changed []resource.Versioned)

	now func() time.Time
}

// held is a version with the time at which this replica learnt it.
type held struct {
	resource.Versioned
	learned time.Time
}

// NewReplica returns an empty replica that is not ready.
func NewReplica(now func() time.Time) *Replica {
	return &Replica{objects: make(map[resource.ID]held), now: now}
}

// Subscribe adds a function that is called from Apply and its kin with the
// versions that changed the replica, in order and never two calls at once. The
// function may read the replica, but it must not change it and should be fast.
func (r *Replica) Subscribe(subscriber func(changed []resource.Versioned)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(slices.Clone(r.subscribers), subscriber)
}

// Apply takes those versions that are news: of a higher revision than the one
// held and above the floor. It returns the versions taken.
func (r *Replica) Apply(versions ...resource.Versioned) (changed []resource.Versioned) {
	return r.change(func() []resource.Versioned { return r.takeAll(versions, false) })
}

// ApplyComplete takes a complete view: all objects as they stood at the floor,
// or later. Objects held at or below the floor that the view lacks are deleted.
// A view older than the replica's own floor is applied like any versions.
func (r *Replica) ApplyComplete(versions []resource.Versioned, floor store.Revision) (changed []resource.Versioned) {
	return r.change(func() []resource.Versioned {
		if r.ready && floor < r.digest.Floor {
			return r.takeAll(versions, false)
		}
		taken := r.takeAll(versions, true)
		taken = append(taken, r.deleteAbsent(versions, floor)...)
		r.raise(floor)
		return taken
	})
}

// Repair takes versions at or below the floor as well. It mends a replica that
// differs from another one of the same floor.
func (r *Replica) Repair(versions []resource.Versioned) (changed []resource.Versioned) {
	return r.change(func() []resource.Versioned { return r.takeAll(versions, true) })
}

// Remove records that the store no longer holds the object since the revision.
func (r *Replica) Remove(id resource.ID, revision store.Revision) (changed []resource.Versioned) {
	return r.change(func() []resource.Versioned {
		current, known := r.objects[id]
		if !known || current.Deleted || revision <= current.Revision {
			return nil
		}
		return []resource.Versioned{r.bury(current.Versioned, revision)}
	})
}

// change runs a step that changes objects and tells the subscribers.
func (r *Replica) change(step func() []resource.Versioned) []resource.Versioned {
	r.applying.Lock()
	defer r.applying.Unlock()
	r.mu.Lock()
	changed := step()
	subscribers := r.subscribers
	r.mu.Unlock()
	if len(changed) == 0 {
		return nil
	}
	for _, subscriber := range subscribers {
		subscriber(changed)
	}
	return changed
}

func (r *Replica) takeAll(versions []resource.Versioned, complete bool) []resource.Versioned {
	var taken []resource.Versioned
	for _, version := range versions {
		if !r.accepts(version, complete) {
			continue
		}
		r.put(version)
		taken = append(taken, version)
	}
	return taken
}

// accepts decides on one version. A replica that is complete up to its floor
// already holds what was in force there, so a version at or below the floor is
// either held or was replaced; the one that replaced it may be a tombstone that
// is forgotten by now. Only a complete view can show otherwise.
func (r *Replica) accepts(version resource.Versioned, complete bool) bool {
	if current, known := r.objects[version.ID]; known && version.Revision <= current.Revision {
		return false
	}
	if version.Revision > r.digest.Floor {
		return true
	}
	forgotten := version.Deleted && version.Revision <= r.digest.Collected
	return complete && version.Revision > 0 && !forgotten
}

// deleteAbsent buries the objects that a complete view at the floor lacks. A
// tombstone older than the version held counts as lacking: the view would hold
// that version or a later one, had the object not been deleted by a tombstone
// that is forgotten there.
func (r *Replica) deleteAbsent(view []resource.Versioned, floor store.Revision) []resource.Versioned {
	present := make(map[resource.ID]struct{}, len(view))
	for _, version := range view {
		if !version.Deleted {
			present[version.ID] = struct{}{}
		}
	}
	var buried []resource.Versioned
	for id, current := range r.objects {
		_, found := present[id]
		if found || current.Deleted || current.Revision >= floor {
			continue
		}
		buried = append(buried, r.bury(current.Versioned, floor))
	}
	return buried
}

// bury replaces an object by a tombstone without a history: nobody knows the
// changes that led to it.
func (r *Replica) bury(current resource.Versioned, revision store.Revision) resource.Versioned {
	tombstone := resource.Versioned{Revision: revision}
	tombstone.ID = current.ID
	tombstone.Deleted = true
	r.put(tombstone)
	return tombstone
}

// put stores a version and keeps the digest in step.
func (r *Replica) put(version resource.Versioned) {
	if current, known := r.objects[version.ID]; known {
		r.toggle(current.Versioned, -1)
	}
	r.objects[version.ID] = held{Versioned: version, learned: r.now()}
	r.toggle(version, 1)
}

// toggle adds a version to the digest (count 1) or takes it out (count -1).
func (r *Replica) toggle(version resource.Versioned, count int) {
	hash := hashVersion(version.ID, version.Revision)
	if version.Deleted {
		r.digest.Tombstones ^= hash
		return
	}
	r.digest.Sum ^= hash
	r.digest.Count = uint32(int(r.digest.Count) + count)
}

// raise lifts the floor; it never falls.
func (r *Replica) raise(floor store.Revision) {
	r.digest.Floor = max(r.digest.Floor, floor)
	r.ready = true
}

// SetFloor records that the replica is complete up to the revision, which
// makes it ready. A lower floor than the present one is ignored.
func (r *Replica) SetFloor(floor store.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.raise(floor)
}

// Adopt raises the floor to that of another replica when both hold exactly the
// same versions, which spares fetching a delta. It reports whether it did.
func (r *Replica) Adopt(other Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready || other.Floor <= r.digest.Floor || other.Collected > r.digest.Floor {
		return false
	}
	if !r.digest.sameObjects(other) || r.digest.Tombstones != other.Tombstones {
		return false
	}
	r.digest.Collected = max(r.digest.Collected, other.Collected)
	r.raise(other.Floor)
	return true
}

// ForgetTombstonesBelow records that tombstones up to the revision may be
// missing, because the view that the replica was filled from may have lacked
// them. Replicas with a lower floor then need a complete view from this one.
func (r *Replica) ForgetTombstonesBelow(revision store.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.digest.Collected = max(r.digest.Collected, revision)
}

// Collect forgets tombstones at or below the floor that are older than
// TombstoneRetention and returns how many.
func (r *Replica) Collect() int {
	r.applying.Lock()
	defer r.applying.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.now().Add(-TombstoneRetention)
	collected := 0
	for id, current := range r.objects {
		if !current.Deleted || current.Revision > r.digest.Floor || current.learned.After(oldest) {
			continue
		}
		r.toggle(current.Versioned, -1)
		delete(r.objects, id)
		r.digest.Collected = max(r.digest.Collected, current.Revision)
		collected++
	}
	return collected
}

// Get returns the version held of an object, which may be a tombstone.
func (r *Replica) Get(id resource.ID) (resource.Versioned, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	current, known := r.objects[id]
	return current.Versioned, known
}

// List returns the objects of a kind that are not deleted, by name.
func (r *Replica) List(kind resource.Kind) []resource.Versioned {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var listed []resource.Versioned
	for id, current := range r.objects {
		if id.Kind == kind && !current.Deleted {
			listed = append(listed, current.Versioned)
		}
	}
	slices.SortFunc(listed, func(a, b resource.Versioned) int { return cmp.Compare(a.ID.Name, b.ID.Name) })
	return listed
}

// Floor returns the revision up to which the replica is complete.
func (r *Replica) Floor() store.Revision { return r.Digest().Floor }

// Ready reports whether the replica has ever had a complete view.
func (r *Replica) Ready() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ready
}

// Digest describes the replica; its Drains field is zero.
func (r *Replica) Digest() Digest {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.digest
}
