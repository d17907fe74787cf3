package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// fakeStore holds one prefix and answers watches like the platform's store: the first call at
// once, later ones with the next change or after a wait.
type fakeStore struct {
	store.Store

	mutex sync.Mutex
	// epoch rises with each restore.
	epoch     store.Epoch
	number    int64
	history   []store.Entry
	compacted store.Revision
	changed   chan struct{}
	calls     atomic.Int64
	// down makes the store unavailable to all nodes.
	down atomic.Bool
}

// backup is a backup of the store.
type backup struct {
	number  int64
	history []store.Entry
}

const (
	storeLatency = 4 * time.Millisecond
	// staleAfter is the value for the configuration in internal/sidecar.
	staleAfter = 1200 * time.Millisecond
	// maxWatchWait is the value for watches of the configuration in internal/sidecar.
	maxWatchWait = 2 * time.Second
)

func newFakeStore() *fakeStore { return &fakeStore{changed: make(chan struct{})} }

func (s *fakeStore) put(key, value string) {
	s.add(store.Entry{Key: key, Value: []byte(value)})
}

// putWithoutEvent writes a value without waking blocked watches.
func (s *fakeStore) putWithoutEvent(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.number++
	s.history = append(s.history, store.Entry{Key: key, Value: []byte(value), Revision: s.revision()})
}

// revision returns the newest revision. The lock must be held.
func (s *fakeStore) revision() store.Revision { return store.NewRevision(s.epoch, s.number) }

func (s *fakeStore) currentEpoch() store.Epoch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.epoch
}

// backup returns a backup of the store.
func (s *fakeStore) backup() backup {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return backup{number: s.number, history: slices.Clone(s.history)}
}

// restore restores the store from a backup, without any history to resume watches from.
func (s *fakeStore) restore(saved backup) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.epoch++
	s.number, s.history = saved.number, slices.Clone(saved.history)
	for i, entry := range s.history {
		s.history[i].Revision = store.NewRevision(s.epoch, entry.Revision.Number())
	}
	s.compacted = s.revision()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) remove(key string) { s.add(store.Entry{Key: key, Deleted: true}) }

func (s *fakeStore) add(entry store.Entry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.number++
	entry.Revision = s.revision()
	s.history = append(s.history, entry)
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the history without waking blocked watches.
func (s *fakeStore) compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compacted = s.revision()
}

func (s *fakeStore) List(context.Context, string) (store.Snapshot, error) {
	s.calls.Add(1)
	time.Sleep(storeLatency)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	newest := make(map[string]store.Entry)
	for _, entry := range s.history {
		newest[entry.Key] = entry
	}
	if s.down.Load() {
		return store.Snapshot{}, store.ErrUnavailable
	}
	snapshot := store.Snapshot{Revision: s.revision()}
	for _, entry := range newest {
		if !entry.Deleted {
			snapshot.Entries = append(snapshot.Entries, entry)
		}
	}
	return snapshot, nil
}

func (s *fakeStore) eventsAfter(revision store.Revision) ([]store.Entry, store.Revision, chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down.Load() {
		return nil, 0, nil, store.ErrUnavailable
	}
	if revision < s.compacted {
		return nil, 0, nil, store.ErrCompacted
	}
	var events []store.Entry
	for _, entry := range s.history {
		if entry.Revision > revision {
			events = append(events, entry)
		}
	}
	return events, s.revision(), s.changed, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after store.Revision, handler func([]store.Entry, store.Revision)) error {
	wait := time.Duration(0)
	for {
		s.calls.Add(1)
		time.Sleep(storeLatency)
		events, revision, changed, err := s.eventsAfter(after)
		if err != nil {
			return err
		}
		if len(events) == 0 && wait > 0 {
			sleepUntilChanged(ctx, wait, changed)
			if events, revision, _, err = s.eventsAfter(after); errors.Is(err, store.ErrUnavailable) || (err != nil && after.Epoch() < s.currentEpoch()) {
				return err
			} else if err != nil {
				// A blocked call does not report the compaction.
				events, revision = nil, after
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		handler(events, revision)
		if len(events) > 0 {
			after = revision
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		wait = maxWatchWait/2 + rand.N(maxWatchWait/2)
	}
}

func sleepUntilChanged(ctx context.Context, wait time.Duration, changed <-chan struct{}) {
	select {
	case <-time.After(wait):
	case <-changed:
	case <-ctx.Done():
	}
}

// refusingStore fails calls with store.ErrUnavailable while refused is set.
type refusingStore struct {
	*fakeStore
	refused atomic.Bool
}

func (s *refusingStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	if s.refused.Load() {
		time.Sleep(100 * time.Millisecond)
		return store.Snapshot{}, store.ErrUnavailable
	}
	return s.fakeStore.List(ctx, prefix)
}

func (s *refusingStore) Watch(ctx context.Context, prefix string, after store.Revision, handler func([]store.Entry, store.Revision)) error {
	if s.refused.Load() {
		time.Sleep(100 * time.Millisecond)
		return store.ErrUnavailable
	}
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	return s.fakeStore.Watch(watchCtx, prefix, after, func(events []store.Entry, progress store.Revision) {
		if s.refused.Load() {
			stop()
			return
		}
		handler(events, progress)
	})
}
