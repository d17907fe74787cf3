package configuration

import (
	"cmp"
	"slices"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// Delta is a part of a replica's versions in order of revision, tombstones
// included, with the replica's state at the time.
type Delta struct {
	Versions []resource.Versioned
	// Digest and Ready describe the whole replica.
	Digest Digest
	Ready  bool
	// More says that versions of higher revisions were left out.
	More bool
}

// Since returns the versions above the floor, lowest revisions first, at most
// limit of them; zero means no limit. It brings a replica of that floor up to
// date only if the floor is not below the digest's Collected.
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

// compareVersions orders versions by revision and then by key: tombstones that
// a complete view led to share their revision.
func compareVersions(a, b resource.Versioned) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.ID.Key(), b.ID.Key()))
}

// skip leaves out the versions up to a revision and key.
func (d *Delta) skip(revision store.Revision, key string) {
	d.Versions = slices.DeleteFunc(d.Versions, func(version resource.Versioned) bool {
		return cmp.Or(cmp.Compare(version.Revision, revision), cmp.Compare(version.ID.Key(), key)) <= 0
	})
}

// Snapshot returns all versions, tombstones included, in order of revision.
func (r *Replica) Snapshot() Delta { return r.Since(0, 0) }

// truncate keeps at most limit versions, but never splits versions of one
// revision, so that the next part can start above the last one of this.
func (d *Delta) truncate(limit int) {
	end := limit
	for end < len(d.Versions) && d.Versions[end].Revision == d.Versions[end-1].Revision {
		end++
	}
	d.More = end < len(d.Versions)
	d.Versions = d.Versions[:end]
}

// newest returns the highest revision held.
func (r *Replica) newest() store.Revision {
	r.mu.RLock()
	defer r.mu.RUnlock()
	newest := store.Revision(0)
	for _, current := range r.objects {
		newest = max(newest, current.Revision)
	}
	return newest
}
