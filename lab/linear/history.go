package linear

import (
	"slices"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/store"
)

// Interval is the time from the call of an operation to its return, relative to
// the start of the history.
type Interval struct {
	Call, Return time.Duration
}

// Source identifies the client and the node of an operation. Run numbers the
// runs of the node's process.
type Source struct {
	Client int
	Node   string
	Run    int
}

// Write is a write as observed by its client.
type Write struct {
	Source
	Interval
	Object           string
	ChangeID         string
	ExpectedRevision store.Revision
	// Deletes marks a deletion; any other write stores Content.
	Deletes bool
	Content string
	Outcome admin.Outcome
	// Conflict reports that the write was refused because the object was not at
	// the expected revision.
	Conflict bool
	// Revision is the revision that an accepted write produced.
	Revision store.Revision
	// ResolveURL is the URL that the node returned for querying an unknown outcome;
	// empty if there was no response.
	ResolveURL string
}

// Version is a version of an object as returned by a read.
type Version struct {
	Revision store.Revision
	ChangeID string
	Deleted  bool
	// Content is empty if the node returned only the change and no content.
	Content string
}

// Read is a read of an object at a node.
type Read struct {
	Source
	Interval
	Object string
	// Versions are the versions that the node returned, newest first; empty means
	// that it had no such object.
	Versions []Version
	// Fresh marks a read that must return a version that was current at some time
	// during the read, because the node was known to have applied all changes in
	// the store.
	Fresh bool
}

// Resolution is a node's response to a query for the outcome of a write.
type Resolution struct {
	Source
	Interval
	ChangeID string
	Outcome  admin.Outcome
	// Revision is the revision that an accepted write produced.
	Revision store.Revision
}

// History holds all recorded operations. All objects are absent at its start.
type History struct {
	Writes      []Write
	Reads       []Read
	Resolutions []Resolution
}

// Recorder collects a history. It is safe for concurrent use.
type Recorder struct {
	start time.Time

	mu      sync.Mutex
	history History
}

// NewRecorder returns a recorder whose history starts now.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Elapsed returns the time since the start of the history.
func (r *Recorder) Elapsed() time.Duration { return time.Since(r.start) }

// AddWrite records a write that has returned.
func (r *Recorder) AddWrite(write Write) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Writes = append(r.history.Writes, write)
}

// AddRead records a read that has returned.
func (r *Recorder) AddRead(read Read) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Reads = append(r.history.Reads, read)
}

// MarkFresh marks the reads that a client has started since the given time as
// fresh. It is for reads whose freshness is known only afterwards.
func (r *Recorder) MarkFresh(client int, since time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for index := range r.history.Reads {
		read := &r.history.Reads[index]
		if read.Client == client && read.Call >= since {
			read.Fresh = true
		}
	}
}

// AddResolution records a resolution.
func (r *Recorder) AddResolution(resolution Resolution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Resolutions = append(r.history.Resolutions, resolution)
}

// History returns a copy of the recorded history.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return History{
		Writes:      slices.Clone(r.history.Writes),
		Reads:       slices.Clone(r.history.Reads),
		Resolutions: slices.Clone(r.history.Resolutions),
	}
}

// Unresolved returns the writes whose outcome is known neither from their own
// response nor from a resolution.
func (h History) Unresolved() []Write {
	resolved := map[string]bool{}
	for _, resolution := range h.Resolutions {
		if resolution.Outcome != admin.OutcomeUnknown {
			resolved[resolution.ChangeID] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(h.Writes), func(write Write) bool {
		return write.Outcome != admin.OutcomeUnknown || resolved[write.ChangeID]
	})
}
