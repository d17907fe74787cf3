package configuration

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// TombstoneRetention is the minimum time that a replica keeps a tombstone.
const TombstoneRetention = 24 * time.Hour

// Replica holds the newest known version of every object in memory. It is safe
// for concurrent use. Versions passed in and returned share their
// specifications and histories and must not be modified.
type Replica struct {
	// updateMu serializes updates, including the calls of the subscribers.
	updateMu sync.Mutex

	mu          sync.RWMutex
	objects     map[resource.ID]replicaEntry
	digest      Digest
	ready       bool
	subscribers []func(changed []resource.Versioned)

	now func() time.Time
}

// replicaEntry is a version with the time at which this replica applied it.
type replicaEntry struct {
	resource.Versioned
	appliedAt time.Time
}

// NewReplica returns an empty replica that is not ready.
func NewReplica(now func() time.Time) *Replica {
	return &Replica{objects: make(map[resource.ID]replicaEntry), now: now}
}

// Subscribe adds a function that is called with the versions of each update of
// the replica. Calls are made in order and never concurrently. The function may
// read the replica, but must not update it and should return quickly.
func (r *Replica) Subscribe(subscriber func(changed []resource.Versioned)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(slices.Clone(r.subscribers), subscriber)
}

// Apply stores those versions whose revision is above the floor and higher than
// that of the replica's version. It returns the versions that were stored.
func (r *Replica) Apply(versions ...resource.Versioned) (changed []resource.Versioned) {
	return r.update(func() []resource.Versioned { return r.applyVersions(versions, false) })
}

// ApplyComplete applies a complete view: all objects as of the floor or later.
// Objects below the floor that the view lacks are deleted. A view older than
// the replica's floor is applied as by Apply.
func (r *Replica) ApplyComplete(versions []resource.Versioned, floor store.Revision) (changed []resource.Versioned) {
	return r.update(func() []resource.Versioned {
		if r.ready && floor < r.digest.Floor {
			return r.applyVersions(versions, false)
		}
		applied := r.applyVersions(versions, true)
		applied = append(applied, r.deleteAbsent(versions, floor)...)
		r.raiseFloor(floor)
		return applied
	})
}

// Repair applies versions like Apply, but also those at or below the floor. It
// repairs a replica that differs from another one with the same floor.
func (r *Replica) Repair(versions []resource.Versioned) (changed []resource.Versioned) {
	return r.update(func() []resource.Versioned { return r.applyVersions(versions, true) })
}

// Remove records that the object was removed from the store at the revision.
func (r *Replica) Remove(id resource.ID, revision store.Revision) (changed []resource.Versioned) {
	return r.update(func() []resource.Versioned {
		current, known := r.objects[id]
		if !known || current.Deleted || revision <= current.Revision {
			return nil
		}
		return []resource.Versioned{r.putTombstone(current.Versioned, revision)}
	})
}

// update runs a function that modifies objects, and calls the subscribers with
// the versions that it returns.
func (r *Replica) update(modify func() []resource.Versioned) []resource.Versioned {
	r.updateMu.Lock()
	defer r.updateMu.Unlock()
	r.mu.Lock()
	changed := modify()
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

func (r *Replica) applyVersions(versions []resource.Versioned, fromCompleteView bool) []resource.Versioned {
	var applied []resource.Versioned
	for _, version := range versions {
		if !r.accepts(version, fromCompleteView) {
			continue
		}
		r.put(version)
		applied = append(applied, version)
	}
	return applied
}

// accepts reports whether a version is to be stored. The replica is complete up
// to its floor, so a version at or below the floor is either present or was
// replaced, possibly by a tombstone that has been collected since. Such a
// version is accepted only from a complete view.
func (r *Replica) accepts(version resource.Versioned, fromCompleteView bool) bool {
	if current, known := r.objects[version.ID]; known && version.Revision <= current.Revision {
		return false
	}
	if version.Revision > r.digest.Floor {
		return true
	}
	collected := version.Deleted && version.Revision <= r.digest.Collected
	return fromCompleteView && version.Revision > 0 && !collected
}

// deleteAbsent replaces the objects that a complete view at the floor lacks by
// tombstones. An object for which the view has only a tombstone older than the
// replica's version counts as absent: the view would contain that version or a
// later one if the object had not been deleted by a tombstone that the view's
// source has collected.
func (r *Replica) deleteAbsent(view []resource.Versioned, floor store.Revision) []resource.Versioned {
	present := make(map[resource.ID]struct{}, len(view))
	for _, version := range view {
		if !version.Deleted {
			present[version.ID] = struct{}{}
		}
	}
	var deleted []resource.Versioned
	for id, current := range r.objects {
		_, found := present[id]
		if found || current.Deleted || current.Revision >= floor {
			continue
		}
		deleted = append(deleted, r.putTombstone(current.Versioned, floor))
	}
	return deleted
}

// putTombstone replaces an object by a tombstone without a history, because the
// changes that led to the deletion are not known.
func (r *Replica) putTombstone(current resource.Versioned, revision store.Revision) resource.Versioned {
	tombstone := resource.Versioned{Revision: revision}
	tombstone.ID = current.ID
	tombstone.Deleted = true
	r.put(tombstone)
	return tombstone
}

// put stores a version and updates the digest.
func (r *Replica) put(version resource.Versioned) {
	if current, known := r.objects[version.ID]; known {
		r.updateDigest(current.Versioned, -1)
	}
	r.objects[version.ID] = replicaEntry{Versioned: version, appliedAt: r.now()}
	r.updateDigest(version, 1)
}

// updateDigest adds a version to the digest (count 1) or removes it from the
// digest (count -1).
func (r *Replica) updateDigest(version resource.Versioned, count int) {
	hash := hashVersion(version.ID, version.Revision)
	if version.Deleted {
		r.digest.TombstoneSum ^= hash
		return
	}
	r.digest.ObjectSum ^= hash
	r.digest.Count = uint32(int(r.digest.Count) + count)
}

// raiseFloor raises the floor and makes the replica ready. A lower floor is
// ignored.
func (r *Replica) raiseFloor(floor store.Revision) {
	r.digest.Floor = max(r.digest.Floor, floor)
	r.ready = true
}

// SetFloor records that the replica is complete up to the revision and makes it
// ready. A floor below the current one is ignored.
func (r *Replica) SetFloor(floor store.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.raiseFloor(floor)
}

// AdoptFloor raises the floor to that of another replica if both have exactly
// the same versions, which avoids fetching a delta. It reports whether the floor
// was raised.
func (r *Replica) AdoptFloor(other Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready || other.Floor <= r.digest.Floor || other.Collected > r.digest.Floor {
		return false
	}
	if !r.digest.sameObjects(other) || r.digest.TombstoneSum != other.TombstoneSum {
		return false
	}
	r.digest.Collected = max(r.digest.Collected, other.Collected)
	r.raiseFloor(other.Floor)
	return true
}

// RaiseCollected records that tombstones up to the revision may be missing,
// because the replica was initialized from a view that may have lacked them.
// Replicas with a lower floor then need a complete view from this one.
func (r *Replica) RaiseCollected(revision store.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.digest.Collected = max(r.digest.Collected, revision)
}

// CollectTombstones removes tombstones at or below the floor that are older than
// TombstoneRetention and returns their number.
func (r *Replica) CollectTombstones() int {
	r.updateMu.Lock()
	defer r.updateMu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.now().Add(-TombstoneRetention)
	collected := 0
	for id, current := range r.objects {
		if !current.Deleted || current.Revision > r.digest.Floor || current.appliedAt.After(oldest) {
			continue
		}
		r.updateDigest(current.Versioned, -1)
		delete(r.objects, id)
		r.digest.Collected = max(r.digest.Collected, current.Revision)
		collected++
	}
	return collected
}

// Get returns the newest version of an object, which may be a tombstone.
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

// Digest returns the digest of the replica's versions, without the emergency
// drains.
func (r *Replica) Digest() Digest {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.digest
}
