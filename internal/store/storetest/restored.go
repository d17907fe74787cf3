package storetest

import (
	"context"
	"time"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/epoch"
	"github.com/lugspur/lugspur/internal/store/memory"
)

// RestorableStore is one process's client of an in-memory store that is restored from backups. Like
// the platform's adapter it adds a latency to each call and reports the epoch that it observes.
// It is for tests in virtual time.
type RestorableStore struct {
	*memory.Store
	// Epochs receives the epoch of the store at each call that the store accepts.
	Epochs *epoch.Tracker
	// Unreachable reports whether the store is currently unavailable to this process.
	Unreachable func() bool
}

var _ store.Store = (*RestorableStore)(nil)

// callLatency is the simulated latency of a call.
const callLatency = 4 * time.Millisecond

func (s *RestorableStore) simulateCall() error {
	time.Sleep(callLatency)
	if s.Unreachable() {
		return store.ErrUnavailable
	}
	s.Epochs.Observe(s.Epoch(), "store")
	return nil
}

// Get implements store.Store.
func (s *RestorableStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.simulateCall(); err != nil {
		return store.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

// List implements store.Store.
func (s *RestorableStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	if err := s.simulateCall(); err != nil {
		return store.Snapshot{}, err
	}
	return s.Store.List(ctx, prefix)
}

// Watch implements store.Store. It ends instead of calling the handler while the
// store is unavailable to the process.
func (s *RestorableStore) Watch(ctx context.Context, prefix string, after store.Revision, handler func([]store.Entry, store.Revision)) error {
	if err := s.simulateCall(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	return s.Store.Watch(ctx, prefix, after, func(batch []store.Entry, progress store.Revision) {
		if s.Unreachable() {
			stop()
			return
		}
		handler(batch, progress)
	})
}

// CompareAndSwap implements store.Store.
func (s *RestorableStore) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if err := s.simulateCall(); err != nil {
		return 0, err
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

// GrantLease implements store.Store.
func (s *RestorableStore) GrantLease(ctx context.Context, duration time.Duration) (store.LeaseID, error) {
	if err := s.simulateCall(); err != nil {
		return store.NoLease, err
	}
	return s.Store.GrantLease(ctx, duration)
}

// RenewLease implements store.Store.
func (s *RestorableStore) RenewLease(ctx context.Context, lease store.LeaseID) (time.Duration, error) {
	if err := s.simulateCall(); err != nil {
		return 0, err
	}
	return s.Store.RenewLease(ctx, lease)
}
