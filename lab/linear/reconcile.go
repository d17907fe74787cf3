package linear

import (
	"fmt"
	"math"
	"time"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/store"
)

// unbounded is the completion time of an operation that may take effect at any
// later time.
const unbounded = time.Duration(math.MaxInt64)

// reconciledWrite is a write with the outcome that the whole history implies.
type reconciledWrite struct {
	Write
	// completedBy is when the outcome was certain: an accepted write took effect
	// before this time.
	completedBy time.Duration
}

// reconciliation holds the reconciled writes of a history.
type reconciliation struct {
	writeByChange map[string]*reconciledWrite
	// changeByRevision maps a revision to the change that produced it. Revisions
	// are unique across objects.
	changeByRevision map[store.Revision]string
	violations       []string
}

// reconcile combines the responses to writes, the resolutions and the reads of
// a history, and collects their contradictions.
func reconcile(history History) *reconciliation {
	r := &reconciliation{writeByChange: map[string]*reconciledWrite{}, changeByRevision: map[store.Revision]string{}}
	for _, write := range history.Writes {
		r.addWrite(write)
	}
	for _, resolution := range history.Resolutions {
		r.addResolution(resolution)
	}
	for _, read := range history.Reads {
		r.addRead(read)
	}
	return r
}

func (r *reconciliation) addViolation(format string, arguments ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, arguments...))
}

func (r *reconciliation) addWrite(write Write) {
	if _, duplicate := r.writeByChange[write.ChangeID]; duplicate {
		r.addViolation("change %s was recorded twice", write.ChangeID)
		return
	}
	reconciled := &reconciledWrite{Write: write, completedBy: write.Return}
	if write.Outcome == admin.OutcomeUnknown {
		reconciled.completedBy = unbounded
	}
	r.writeByChange[write.ChangeID] = reconciled
	if write.Outcome == admin.OutcomeAccepted {
		r.recordRevision(write.ChangeID, write.Revision)
	}
}

func (r *reconciliation) addResolution(resolution Resolution) {
	write, known := r.writeByChange[resolution.ChangeID]
	switch {
	case !known:
		r.addViolation("change %s was resolved but never requested", resolution.ChangeID)
	case resolution.Outcome == admin.OutcomeAccepted:
		r.recordAccepted(write, resolution.Revision, resolution.Return, "a response from "+resolution.Node)
	case resolution.Outcome == admin.OutcomeRefused:
		r.recordRefused(write, resolution)
	}
}

// recordRefused records that a write was refused because another write had
// changed the object.
func (r *reconciliation) recordRefused(write *reconciledWrite, resolution Resolution) {
	if write.Outcome == admin.OutcomeAccepted {
		r.addViolation("change %s was accepted at revision %d, but %s reported it as refused", write.ChangeID, write.Revision, resolution.Node)
		return
	}
	write.Outcome = admin.OutcomeRefused
	write.Conflict = true
	write.completedBy = min(write.completedBy, resolution.Return)
}

// recordAccepted records evidence that a write took effect before the given
// time.
func (r *reconciliation) recordAccepted(write *reconciledWrite, revision store.Revision, completedBy time.Duration, evidence string) {
	switch {
	case write.Outcome == admin.OutcomeRefused:
		r.addViolation("change %s was refused, but %s shows it applied at revision %d", write.ChangeID, evidence, revision)
		return
	case write.Outcome == admin.OutcomeAccepted && write.Revision != revision:
		r.addViolation("change %s was accepted at revision %d, but %s shows it applied at revision %d", write.ChangeID, write.Revision, evidence, revision)
		return
	case completedBy < write.Call:
		r.addViolation("change %s was applied, as %s shows, before it was requested", write.ChangeID, evidence)
		return
	}
	write.Outcome, write.Revision = admin.OutcomeAccepted, revision
	write.completedBy = min(write.completedBy, completedBy)
	r.recordRevision(write.ChangeID, revision)
}

// recordRevision records that a change produced a revision.
func (r *reconciliation) recordRevision(changeID string, revision store.Revision) {
	if other, exists := r.changeByRevision[revision]; exists && other != changeID {
		r.addViolation("changes %s and %s were both accepted at revision %d", other, changeID, revision)
		return
	}
	r.changeByRevision[revision] = changeID
}

func (r *reconciliation) addRead(read Read) {
	for index, version := range read.Versions {
		if index > 0 && version.Revision >= read.Versions[index-1].Revision {
			r.addViolation("%s listed revision %d of %s after revision %d, which is not newest first", read.Node, version.Revision, read.Object, read.Versions[index-1].Revision)
		}
		r.addVersion(read, version)
	}
}

func (r *reconciliation) addVersion(read Read, version Version) {
	write, known := r.writeByChange[version.ChangeID]
	if !known || write.Object != read.Object {
		r.addViolation("%s returned change %q of %s, which no client requested", read.Node, version.ChangeID, read.Object)
		return
	}
	if version.Deleted != write.Deletes || version.Content != "" && version.Content != write.Content {
		r.addViolation("%s returned change %s of %s with different content: %q", read.Node, version.ChangeID, read.Object, version.Content)
	}
	r.recordAccepted(write, version.Revision, read.Return, "a read at "+read.Node)
}
