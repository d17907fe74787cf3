package linear

import (
	"slices"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/store"
)

// Interval is when an operation ran, counted from the start of the history.
type Interval struct {
	Call, Return time.Duration
}

// Source says who asked which node. Run numbers the runs of the node's process.
type Source struct {
	Client int
	Node   string
	Run    int
}

// Write is one write as its client knows it.
type Write struct {
	Source
	Interval
	Object   string
	Change   string
	Expected store.Revision
	// Deletes marks a deletion; any other write puts Content.
	Deletes bool
	Content string
	Outcome admin.Outcome
	// Conflict says that the write was refused because the object was not at the
	// expected revision.
	Conflict bool
	// Revision is the one that an accepted write led to.
	Revision store.Revision
	// AskURL is where the node said to ask for an unknown outcome; empty when no
	// answer came.
	AskURL string
}

// Version is a version of an object that a read showed.
type Version struct {
	Revision store.Revision
	Change   string
	Deleted  bool
	// Content is empty in versions that show only the change.
	Content string
}

// Read is one read of an object at a node.
type Read struct {
	Source
	Interval
	Object string
	// Versions are what the node showed, newest first; empty means that it knew
	// no such object.
	Versions []Version
	// Fresh marks a read that must show the version in force at some moment
	// during it: the node was known to hold everything that the store does.
	Fresh bool
}

// Resolution is one answer about a write of unknown outcome.
type Resolution struct {
	Source
	Interval
	Change  string
	Outcome admin.Outcome
	// Revision is that of an accepted write.
	Revision store.Revision
}

// History is everything that was recorded. All objects are absent at its start.
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

// Now is the time since the start of the history.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

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

// MarkFresh marks the reads that a client has made since the time as fresh. It
// is for reads that turn out to have been so only afterwards.
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

// AddResolution records an answer about a write.
func (r *Recorder) AddResolution(resolution Resolution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Resolutions = append(r.history.Resolutions, resolution)
}

// History returns a copy of what was recorded.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return History{
		Writes:      slices.Clone(r.history.Writes),
		Reads:       slices.Clone(r.history.Reads),
		Resolutions: slices.Clone(r.history.Resolutions),
	}
}

// Unresolved returns the writes that neither their own answer nor a resolution
// has told the outcome of.
func (h History) Unresolved() []Write {
	resolved := map[string]bool{}
	for _, resolution := range h.Resolutions {
		if resolution.Outcome != admin.OutcomeUnknown {
			resolved[resolution.Change] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(h.Writes), func(write Write) bool {
		return write.Outcome != admin.OutcomeUnknown || resolved[write.Change]
	})
}
