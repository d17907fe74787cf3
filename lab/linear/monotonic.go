package linear

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/store"
)

// replicaKey identifies the replica of an object in one run of a node's process.
type replicaKey struct {
	node   string
	run    int
	object string
}

// observation is a response that bounds the revision of an object at a node.
type observation struct {
	Interval
	// absent reports that the node returned no object and no revision.
	absent bool
	// minRevision is the lower bound that the response implies for the revision.
	minRevision store.Revision
	// isRead marks a read; all other observations are accepted writes.
	isRead bool
}

// checkMonotonic checks that within each run of a node's process, no object goes
// back to an older version between a response and a request that was sent after
// it. The acceptance of a write counts as a response with its revision.
func checkMonotonic(history History, reconciled *reconciliation) []string {
	observations := map[replicaKey][]observation{}
	for _, read := range history.Reads {
		if read.Run != unknownRun {
			key := replicaKey{node: read.Node, run: read.Run, object: read.Object}
			observations[key] = append(observations[key], observe(read))
		}
	}
	for _, write := range history.Writes {
		if write.Run != unknownRun && write.Outcome == admin.OutcomeAccepted {
			key := replicaKey{node: write.Node, run: write.Run, object: write.Object}
			observations[key] = append(observations[key], observation{Interval: write.Interval, minRevision: write.Revision})
		}
	}
	var violations []string
	for key, observed := range observations {
		violations = append(violations, key.check(observed, reconciled.deletions(key.object))...)
	}
	slices.Sort(violations)
	return violations
}

func observe(read Read) observation {
	observed := observation{Interval: read.Interval, isRead: true}
	if len(read.Versions) == 0 {
		observed.absent = true
		return observed
	}
	observed.minRevision = read.Versions[0].Revision
	return observed
}

// check compares each observation, in the order of the calls, with those that
// returned before it was called.
func (k replicaKey) check(observations []observation, deletions []deletion) []string {
	slices.SortFunc(observations, func(a, b observation) int { return cmp.Compare(a.Call, b.Call) })
	var violations []string
	for index := range observations {
		current := &observations[index]
		newest := newestBefore(observations[:index], current.Call)
		if current.absent && newest > 0 {
			current.minRevision = firstDeletion(deletions, newest, current.Return)
		}
		if current.isRead && current.minRevision < newest {
			violations = append(violations, fmt.Sprintf("%s in run %d went back to revision %d of %s at %s after revision %d",
				k.node, k.run, current.minRevision, k.object, current.Return, newest))
		}
	}
	return violations
}

// newestBefore returns the highest revision of the observations that returned
// before the given time.
func newestBefore(observations []observation, before time.Duration) store.Revision {
	var newest store.Revision
	for _, earlier := range observations {
		if earlier.Return < before {
			newest = max(newest, earlier.minRevision)
		}
	}
	return newest
}

// deletion is a deletion that took effect or may have taken effect.
type deletion struct {
	call time.Duration
	// minRevision is the lowest revision that it can have produced.
	minRevision store.Revision
}

// firstDeletion returns the lowest revision, starting at from, at which the
// object may have been deleted by the given time, or zero if it can't have been
// deleted. The revision from can be that of a deletion itself.
func firstDeletion(deletions []deletion, from store.Revision, until time.Duration) store.Revision {
	for _, candidate := range deletions {
		if candidate.minRevision >= from && candidate.call <= until {
			return candidate.minRevision
		}
	}
	return 0
}

// deletions returns the deletions of an object, ordered by revision.
func (r *reconciliation) deletions(object string) []deletion {
	var found []deletion
	for _, write := range r.writeByChange {
		if !write.Deletes || write.Object != object || write.Outcome == admin.OutcomeRefused {
			continue
		}
		minRevision := write.Revision
		if write.Outcome == admin.OutcomeUnknown {
			minRevision = write.ExpectedRevision + 1
		}
		found = append(found, deletion{call: write.Call, minRevision: minRevision})
	}
	slices.SortFunc(found, func(a, b deletion) int { return cmp.Compare(a.minRevision, b.minRevision) })
	return found
}
