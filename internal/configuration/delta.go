package configuration

import (
	"cmp"
	"slices"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// Delta is a subset of a replica's versions in revision order, tombstones
// included, with the replica's digest at the same time.
type Delta struct {
	Versions []resource.Versioned
	// Digest and Ready describe the whole replica.
	Digest Digest
	Ready  bool
	// More is set if versions of higher revisions were omitted.
	More bool
}

// Since returns the versions above the floor, lowest revisions first. A limit
// other than zero limits their number, but versions of one revision are never
// split. The delta is sufficient to update a replica with that floor only if the
// floor is not below the digest's Collected.
func (r *Replica) Since(floor store.Revision, limit int) Delta {
	r.mu.RLock()
	delta := Delta{Digest: r.digest, Ready: r.ready}
	for _, current := range r.objects {
		if current.Revision > floor {
			delta.Versions = append(delta.Versions, current.Versioned)
		}
	}
	r.mu.RUnlock()
	slices.SortFunc(delta.Versions, compareVersions)
	if limit > 0 && len(delta.Versions) > limit {
		delta.truncate(limit)
	}
	return delta
}

// compareVersions orders versions by revision and then by key, because all
// tombstones derived from one complete view have the same revision.
func compareVersions(a, b resource.Versioned) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.ID.Key(), b.ID.Key()))
}

// skipThrough removes the versions up to and including a revision and key.
func (d *Delta) skipThrough(revision store.Revision, key string) {
	d.Versions = slices.DeleteFunc(d.Versions, func(version resource.Versioned) bool {
		return cmp.Or(cmp.Compare(version.Revision, revision), cmp.Compare(version.ID.Key(), key)) <= 0
	})
}

// Snapshot returns all versions, tombstones included, in order of revision.
func (r *Replica) Snapshot() Delta { return r.Since(0, 0) }

// truncate keeps limit versions, or more if the last ones share a revision: a
// revision is never split, so that the next page can start above the last
// revision of this one.
func (d *Delta) truncate(limit int) {
	end := limit
	for end < len(d.Versions) && d.Versions[end].Revision == d.Versions[end-1].Revision {
		end++
	}
	d.More = end < len(d.Versions)
	d.Versions = d.Versions[:end]
}

// newestRevision returns the highest revision in the replica.
func (r *Replica) newestRevision() store.Revision {
	r.mu.RLock()
	defer r.mu.RUnlock()
	newest := store.Revision(0)
	for _, current := range r.objects {
		newest = max(newest, current.Revision)
	}
	return newest
}
