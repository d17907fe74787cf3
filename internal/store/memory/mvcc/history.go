package mvcc

import (
	"sort"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd/keyspan"
)

// Event is one change of a key. A removal has the key and its revision alone.
type Event struct {
	KeyValue
	Deleted bool

	previous *KeyValue
}

func (e *Event) size() int {
	return e.KeyValue.size() + e.previous.size()
}

// Batch is a run of events that holds whole revisions only.
type Batch struct {
	Events []Event
	// Through is the revision up to which nothing of the span is missing.
	Through store.Revision
	// Current is the store's newest revision.
	Current store.Revision
}

// EventsAfter returns the changes of a span after a revision, at least one
// whole revision and about limit events. It returns store.ErrCompacted when
// the history no longer reaches back that far.
func (s *Store) EventsAfter(span keyspan.Span, after store.Revision, limit int) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if after < s.compacted {
		return Batch{}, store.ErrCompacted
	}
	batch := Batch{Through: max(after, s.revision), Current: s.revision}
	for _, event := range s.history[s.firstAfter(after):] {
		if !span.Contains(event.Key) {
			continue
		}
		if full := len(batch.Events); full >= limit && event.ModRevision > batch.Events[full-1].ModRevision {
			batch.Through = batch.Events[full-1].ModRevision
			break
		}
		batch.Events = append(batch.Events, event)
	}
	return batch, nil
}

// firstAfter returns the index of the first event after a revision.
func (s *Store) firstAfter(revision store.Revision) int {
	return sort.Search(len(s.history), func(i int) bool { return s.history[i].ModRevision > revision })
}

// Changed returns a channel that is closed at the next change. Take it before
// reading, so that no change falls between.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Compact forgets the history up to and including a revision.
func (s *Store) Compact(through store.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if through > s.revision {
		return ErrFutureRevision
	}
	s.forgetThrough(through)
	return nil
}

func (s *Store) record(event Event) {
	s.history = append(s.history, event)
	s.historyBytes += event.size()
}

// publish makes the recorded events visible under the next revision.
func (s *Store) publish() {
	s.revision++
	s.trimHistory()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) trimHistory() {
	drop := 0
	bytesLeft := s.historyBytes
	for drop < len(s.history)-1 && (len(s.history)-drop > s.config.HistoryEvents || bytesLeft > s.config.HistoryBytes) {
		bytesLeft -= s.history[drop].size()
		drop++
	}
	if drop > 0 {
		s.forgetThrough(s.history[drop-1].ModRevision)
	}
}

func (s *Store) forgetThrough(through store.Revision) {
	keep := 0
	for keep < len(s.history) && s.history[keep].ModRevision <= through {
		s.historyBytes -= s.history[keep].size()
		keep++
	}
	clear(s.history[:keep])
	s.history = s.history[keep:]
	s.compacted = max(s.compacted, through)
}
