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

// fakeStore holds one prefix and answers watches as the platform's store does:
// the first call at once, later ones after a wait or with the next change.
type fakeStore struct {
	store.Store

	mutex sync.Mutex
	// epoch rises with each return from a copy.
	epoch   store.Epoch
	number  int64
	history []store.Entry
	dropped store.Revision
	changed chan struct{}
	calls   atomic.Int64
	// down has the store refuse all nodes.
	down atomic.Bool
}

// backup is a copy of what the store held.
type backup struct {
	number  int64
	history []store.Entry
}

const (
	storeLatency = 4 * time.Millisecond
	// staleAfter is that of the configuration.
	staleAfter = 1200 * time.Millisecond
	// longestWait is that of watches of the configuration.
	longestWait = 2 * time.Second
)

func newFakeStore() *fakeStore { return &fakeStore{changed: make(chan struct{})} }

func (s *fakeStore) put(key, value string) {
	s.add(store.Entry{Key: key, Value: []byte(value)})
}

// putUnheard writes what watches that wait don't hear of.
func (s *fakeStore) putUnheard(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.number++
	s.history = append(s.history, store.Entry{Key: key, Value: []byte(value), Revision: s.newest()})
}

// newest returns the newest revision. The lock is held.
func (s *fakeStore) newest() store.Revision { return store.NewRevision(s.epoch, s.number) }

func (s *fakeStore) present() store.Epoch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.epoch
}

// backup copies what the store holds.
func (s *fakeStore) backup() backup {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return backup{number: s.number, history: slices.Clone(s.history)}
}

// restore has the store come back from a copy, without a history that watches can go on from.
func (s *fakeStore) restore(copied backup) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.epoch++
	s.number, s.history = copied.number, slices.Clone(copied.history)
	for i, entry := range s.history {
		s.history[i].Revision = store.NewRevision(s.epoch, entry.Revision.Number())
	}
	s.dropped = s.newest()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) remove(key string) { s.add(store.Entry{Key: key, Deleted: true}) }

func (s *fakeStore) add(entry store.Entry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.number++
	entry.Revision = s.newest()
	s.history = append(s.history, entry)
	close(s.changed)
	s.changed = make(chan struct{})
}

// drop forgets the history. Watches that wait hear nothing of it.
func (s *fakeStore) drop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dropped = s.newest()
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
	snapshot := store.Snapshot{Revision: s.newest()}
	for _, entry := range newest {
		if !entry.Deleted {
			snapshot.Entries = append(snapshot.Entries, entry)
		}
	}
	return snapshot, nil
}

func (s *fakeStore) after(revision store.Revision) ([]store.Entry, store.Revision, chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down.Load() {
		return nil, 0, nil, store.ErrUnavailable
	}
	if revision < s.dropped {
		return nil, 0, nil, store.ErrCompacted
	}
	var events []store.Entry
	for _, entry := range s.history {
		if entry.Revision > revision {
			events = append(events, entry)
		}
	}
	return events, s.newest(), s.changed, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after store.Revision, handler func([]store.Entry, store.Revision)) error {
	wait := time.Duration(0)
	for {
		s.calls.Add(1)
		time.Sleep(storeLatency)
		events, revision, changed, err := s.after(after)
		if err != nil {
			return err
		}
		if len(events) == 0 && wait > 0 {
			sleepOr(ctx, wait, changed)
			if events, revision, _, err = s.after(after); errors.Is(err, store.ErrUnavailable) || (err != nil && after.Epoch() < s.present()) {
				return err
			} else if err != nil {
				// The call that waited hears nothing of what was dropped.
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
		wait = longestWait/2 + rand.N(longestWait/2)
	}
}

func sleepOr(ctx context.Context, wait time.Duration, changed <-chan struct{}) {
	select {
	case <-time.After(wait):
	case <-changed:
	case <-ctx.Done():
	}
}

// cutStore refuses its calls while it is cut off.
type cutStore struct {
	*fakeStore
	cut atomic.Bool
}

func (s *cutStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	if s.cut.Load() {
		time.Sleep(100 * time.Millisecond)
		return store.Snapshot{}, store.ErrUnavailable
	}
	return s.fakeStore.List(ctx, prefix)
}

func (s *cutStore) Watch(ctx context.Context, prefix string, after store.Revision, handler func([]store.Entry, store.Revision)) error {
	if s.cut.Load() {
		time.Sleep(100 * time.Millisecond)
		return store.ErrUnavailable
	}
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	return s.fakeStore.Watch(watchCtx, prefix, after, func(events []store.Entry, progress store.Revision) {
		if s.cut.Load() {
			stop()
			return
		}
		handler(events, progress)
	})
}
