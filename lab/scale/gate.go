package scale

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// gatedStore is a store that one node can be cut off from.
type gatedStore struct {
	store.Store

	mu     sync.Mutex
	open   context.Context
	closed context.CancelFunc
}

func newGatedStore(inner store.Store) *gatedStore {
	g := &gatedStore{Store: inner}
	g.open, g.closed = context.WithCancel(context.Background())
	return g
}

// setOpen lets requests through or ends them all.
func (g *gatedStore) setOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed()
	if open {
		g.open, g.closed = context.WithCancel(context.Background())
	}
}

func (g *gatedStore) lifetime() context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// enter returns a context that also ends when the gate closes.
func (g *gatedStore) enter(ctx context.Context) (context.Context, func(), error) {
	open := g.lifetime()
	if open.Err() != nil {
		return nil, nil, store.ErrUnavailable
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(open, cancel)
	return ctx, func() { stop(); cancel() }, nil
}

// Get implements store.Store.
func (g *gatedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	ctx, leave, err := g.enter(ctx)
	if err != nil {
		return store.Entry{}, err
	}
	defer leave()
	return g.Store.Get(ctx, key)
}

// List implements store.Store.
func (g *gatedStore) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	ctx, leave, err := g.enter(ctx)
	if err != nil {
		return store.Snapshot{}, err
	}
	defer leave()
	return g.Store.List(ctx, prefix)
}

// CompareAndSwap implements store.Store.
func (g *gatedStore) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	ctx, leave, err := g.enter(ctx)
	if err != nil {
		return 0, err
	}
	defer leave()
	return g.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

// Watch implements store.Store. Nothing is handed on after the gate closed.
func (g *gatedStore) Watch(ctx context.Context, prefix string, after store.Revision, handler func([]store.Entry, store.Revision)) error {
	open := g.lifetime()
	ctx, leave, err := g.enter(ctx)
	if err != nil {
		return err
	}
	defer leave()
	err = g.Store.Watch(ctx, prefix, after, func(batch []store.Entry, progress store.Revision) {
		if open.Err() == nil {
			handler(batch, progress)
		}
	})
	if open.Err() != nil {
		return store.ErrUnavailable
	}
	return err
}

// GrantLease implements store.Store.
func (g *gatedStore) GrantLease(ctx context.Context, duration time.Duration) (store.LeaseID, error) {
	ctx, leave, err := g.enter(ctx)
	if err != nil {
		return 0, err
	}
	defer leave()
	return g.Store.GrantLease(ctx, duration)
}
