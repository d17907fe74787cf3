package linear

import (
	"fmt"
	"math"
	"time"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/store"
)

// never is the end of an operation that may take effect at any later time.
const never = time.Duration(math.MaxInt64)

// fate is what all of the history together says about one write.
type fate struct {
	Write
	// by is when the outcome was certain: an accepted write took effect before.
	by time.Duration
}

// fates holds the fate of every write.
type fates struct {
	byChange map[string]*fate
	// byRevision says which change led to a revision. Revisions are unique
	// across objects.
	byRevision map[store.Revision]string
	faults     []string
}

// findFates puts together what answers, resolutions and reads say, and notes
// where they contradict each other.
func findFates(history History) *fates {
	f := &fates{byChange: map[string]*fate{}, byRevision: map[store.Revision]string{}}
	for _, write := range history.Writes {
		f.addWrite(write)
	}
	for _, resolution := range history.Resolutions {
		f.addResolution(resolution)
	}
	for _, read := range history.Reads {
		f.addRead(read)
	}
	return f
}

func (f *fates) fault(format string, arguments ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, arguments...))
}

func (f *fates) addWrite(write Write) {
	if _, twice := f.byChange[write.Change]; twice {
		f.fault("change %s was recorded twice", write.Change)
		return
	}
	made := &fate{Write: write, by: write.Return}
	if write.Outcome == admin.OutcomeUnknown {
		made.by = never
	}
	f.byChange[write.Change] = made
	if write.Outcome == admin.OutcomeAccepted {
		f.claim(write.Change, write.Revision)
	}
}

func (f *fates) addResolution(resolution Resolution) {
	made, known := f.byChange[resolution.Change]
	switch {
	case !known:
		f.fault("change %s was resolved but never made", resolution.Change)
	case resolution.Outcome == admin.OutcomeAccepted:
		f.accepted(made, resolution.Revision, resolution.Return, "an answer of "+resolution.Node)
	case resolution.Outcome == admin.OutcomeRefused:
		f.refused(made, resolution)
	}
}

// refused notes that a write has lost against another one.
func (f *fates) refused(made *fate, resolution Resolution) {
	if made.Outcome == admin.OutcomeAccepted {
		f.fault("change %s was accepted at revision %d, but %s answered that it is refused", made.Change, made.Revision, resolution.Node)
		return
	}
	made.Outcome = admin.OutcomeRefused
	made.Conflict = true
	made.by = min(made.by, resolution.Return)
}

// accepted notes a proof that a write took effect before the time.
func (f *fates) accepted(made *fate, revision store.Revision, by time.Duration, proof string) {
	switch {
	case made.Outcome == admin.OutcomeRefused:
		f.fault("change %s was refused, but by %s it is in force at revision %d", made.Change, proof, revision)
		return
	case made.Outcome == admin.OutcomeAccepted && made.Revision != revision:
		f.fault("change %s is accepted at revision %d and, by %s, at %d", made.Change, made.Revision, proof, revision)
		return
	case by < made.Call:
		f.fault("change %s is in force by %s before it was made", made.Change, proof)
		return
	}
	made.Outcome, made.Revision = admin.OutcomeAccepted, revision
	made.by = min(made.by, by)
	f.claim(made.Change, revision)
}

// claim notes that a change led to a revision.
func (f *fates) claim(change string, revision store.Revision) {
	if other, taken := f.byRevision[revision]; taken && other != change {
		f.fault("changes %s and %s are both accepted at revision %d", other, change, revision)
		return
	}
	f.byRevision[revision] = change
}

func (f *fates) addRead(read Read) {
	for index, version := range read.Versions {
		if index > 0 && version.Revision >= read.Versions[index-1].Revision {
			f.fault("%s shows revision %d of %s before %d", read.Node, version.Revision, read.Object, read.Versions[index-1].Revision)
		}
		f.addVersion(read, version)
	}
}

func (f *fates) addVersion(read Read, version Version) {
	made, known := f.byChange[version.Change]
	if !known || made.Object != read.Object {
		f.fault("%s shows change %q of %s, which nobody made", read.Node, version.Change, read.Object)
		return
	}
	if version.Deleted != made.Deletes || version.Content != "" && version.Content != made.Content {
		f.fault("%s shows change %s of %s with other contents: %q", read.Node, version.Change, read.Object, version.Content)
	}
	f.accepted(made, version.Revision, read.Return, "a read at "+read.Node)
}
