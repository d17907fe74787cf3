package linear

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/store"
)

// view is one object as one run of a node shows it.
type view struct {
	node   string
	run    int
	object string
}

// showing is an answer of a node that shows how new its object is.
type showing struct {
	Interval
	// absent says that the node showed no object and no revision.
	absent bool
	// least is the revision that the answer showed at least.
	least store.Revision
	// reads marks a read; the others are accepted writes.
	reads bool
}

// checkMonotonic checks that within each run of a node no object goes back to
// an older version, from one answer to any that was asked for after it. The
// acceptance of a write counts as an answer that shows its revision.
func checkMonotonic(history History, f *fates) []string {
	views := map[view][]showing{}
	for _, read := range history.Reads {
		if read.Run != acrossRuns {
			key := view{node: read.Node, run: read.Run, object: read.Object}
			views[key] = append(views[key], showingOf(read))
		}
	}
	for _, write := range history.Writes {
		if write.Run != acrossRuns && write.Outcome == admin.OutcomeAccepted {
			key := view{node: write.Node, run: write.Run, object: write.Object}
			views[key] = append(views[key], showing{Interval: write.Interval, least: write.Revision})
		}
	}
	var faults []string
	for key, shown := range views {
		faults = append(faults, key.check(shown, f.deletions(key.object))...)
	}
	slices.Sort(faults)
	return faults
}

func showingOf(read Read) showing {
	shown := showing{Interval: read.Interval, reads: true}
	if len(read.Versions) == 0 {
		shown.absent = true
		return shown
	}
	shown.least = read.Versions[0].Revision
	return shown
}

// check goes through the answers in the order of their calls.
func (v view) check(shown []showing, deletions []deletion) []string {
	slices.SortFunc(shown, func(a, b showing) int { return cmp.Compare(a.Call, b.Call) })
	var faults []string
	for index := range shown {
		current := &shown[index]
		floor := floorBefore(shown[:index], current.Call)
		if current.absent && floor > 0 {
			current.least = deletedAfter(deletions, floor, current.Return)
		}
		if current.reads && current.least < floor {
			faults = append(faults, fmt.Sprintf("%s in run %d went back to revision %d of %s at %s after %d",
				v.node, v.run, current.least, v.object, current.Return, floor))
		}
	}
	return faults
}

// floorBefore is the newest revision of the answers that came before the time.
func floorBefore(shown []showing, before time.Duration) store.Revision {
	var floor store.Revision
	for _, earlier := range shown {
		if earlier.Return < before {
			floor = max(floor, earlier.least)
		}
	}
	return floor
}

// deletion is one that took effect or may have.
type deletion struct {
	call time.Duration
	// revision is the lowest that it can have led to.
	revision store.Revision
}

// deletedAfter returns the lowest revision from the floor on at which the object
// may have been deleted by the time; zero means that it can't have been. The
// floor itself can be that of a deletion.
func deletedAfter(deletions []deletion, floor store.Revision, by time.Duration) store.Revision {
	for _, candidate := range deletions {
		if candidate.revision >= floor && candidate.call <= by {
			return candidate.revision
		}
	}
	return 0
}

// deletions returns an object's deletions in order of revision.
func (f *fates) deletions(object string) []deletion {
	var found []deletion
	for _, made := range f.byChange {
		if !made.Deletes || made.Object != object || made.Outcome == admin.OutcomeRefused {
			continue
		}
		least := made.Revision
		if made.Outcome == admin.OutcomeUnknown {
			least = made.Expected + 1
		}
		found = append(found, deletion{call: made.Call, revision: least})
	}
	slices.SortFunc(found, func(a, b deletion) int { return cmp.Compare(a.revision, b.revision) })
	return found
}
