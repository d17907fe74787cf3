package replica

import (
	"slices"

	"github.com/lugspur/lugspur/internal/store"
)

// median returns the lower median of the revisions, which must not be empty.
func median(revisions []store.Revision) store.Revision {
	slices.Sort(revisions)
	return revisions[(len(revisions)-1)/2]
}
