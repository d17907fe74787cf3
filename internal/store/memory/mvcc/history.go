package mvcc

import (
	"sort"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd/keyspan"
)

// Event is one change of a key. A removal has only the key and its revision.
type Event struct {
	KeyValue
	Deleted bool

	previous *KeyValue
}

func (e *Event) size() int {
	return e.KeyValue.size() + e.previous.size()
}

// Batch is a sequence of events that does not split a revision.
type Batch struct {
	Events []Event
	// Through is the revision up to which all changes of the span were returned.
	Through store.Revision
	// Current is the store's newest revision.
	Current store.Revision
}

// EventsAfter returns the changes of a span after a revision: about limit events,
// but at least one whole revision. It returns store.ErrCompacted if the changes
// after that revision are no longer all in the history.
func (s *Store) EventsAfter(span keyspan.Span, after store.Revision, limit int) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if after < s.compacted {
		return Batch{}, store.ErrCompacted
	}
	batch := Batch{Through: max(after, s.revision), Current: s.revision}
	for _, event := range s.history[s.firstEventAfter(after):] {
		if !span.Contains(event.Key) {
			continue
		}
		if count := len(batch.Events); count >= limit && event.ModRevision > batch.Events[count-1].ModRevision {
			batch.Through = batch.Events[count-1].ModRevision
			break
		}
		batch.Events = append(batch.Events, event)
	}
	return batch, nil
}

// firstEventAfter returns the index of the first event after a revision.
func (s *Store) firstEventAfter(revision store.Revision) int {
	return sort.Search(len(s.history), func(i int) bool { return s.history[i].ModRevision > revision })
}

// Changed returns a channel that is closed at the next change. Call it before
// reading, so that a change after the read is not missed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Compact discards the history up to and including a revision.
func (s *Store) Compact(through store.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if through > s.revision {
		return ErrFutureRevision
	}
	s.compactThrough(through)
	return nil
}

func (s *Store) appendEvent(event Event) {
	s.history = append(s.history, event)
	s.historyBytes += event.size()
}

// publish makes the appended events visible at the next revision.
func (s *Store) publish() {
	s.revision++
	s.trimHistory()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) trimHistory() {
	dropped := 0
	bytesLeft := s.historyBytes
	for dropped < len(s.history)-1 && (len(s.history)-dropped > s.config.HistoryEvents || bytesLeft > s.config.HistoryBytes) {
		bytesLeft -= s.history[dropped].size()
		dropped++
	}
	if dropped > 0 {
		s.compactThrough(s.history[dropped-1].ModRevision)
	}
}

func (s *Store) compactThrough(through store.Revision) {
	dropped := 0
	for dropped < len(s.history) && s.history[dropped].ModRevision <= through {
		s.historyBytes -= s.history[dropped].size()
		dropped++
	}
	clear(s.history[:dropped])
	s.history = s.history[dropped:]
	s.compacted = max(s.compacted, through)
}
