package reachability

import (
	"context"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// Store makes calls to a store as its gate lets them pass. Its watches end with
// the first failure, as those of every store.
type Store struct {
	gate   *CircuitBreaker
	inner  store.Store
	urgent bool
}

var _ store.Store = (*Store)(nil)

// Wrap returns the store behind the gate.
func (g *CircuitBreaker) Wrap(inner store.Store) *Store { return &Store{gate: g, inner: inner} }

// WrapUrgent returns the store behind the gate for calls that must not wait long:
// while the store does not answer they probe it more often.
func (g *CircuitBreaker) WrapUrgent(inner store.Store) *Store {
	return &Store{gate: g, inner: inner, urgent: true}
}

// pass makes one call.
func (s *Store) pass(ctx context.Context, call func() error) error {
	probe, err := s.gate.enter(ctx, s.urgent)
	if err != nil {
		return err
	}
	err = call()
	if ctx.Err() == context.Canceled {
		s.gate.leave(probe, ctx.Err())
		return err
	}
	s.gate.leave(probe, err)
	return err
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	err = s.pass(ctx, func() error {
		entry, err = s.inner.Get(ctx, key)
		return err
	})
	return entry, err
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) (snapshot store.Snapshot, err error) {
	err = s.pass(ctx, func() error {
		snapshot, err = s.inner.List(ctx, prefix)
		return err
	})
	return snapshot, err
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (revision store.Revision, err error) {
	err = s.pass(ctx, func() error {
		revision, err = s.inner.CompareAndSwap(ctx, key, expected, value, lease)
		return err
	})
	return revision, err
}

// CompareAndDelete implements store.Store.
func (s *Store) CompareAndDelete(ctx context.Context, key string, expected store.Revision) (revision store.Revision, err error) {
	err = s.pass(ctx, func() error {
		revision, err = s.inner.CompareAndDelete(ctx, key, expected)
		return err
	})
	return revision, err
}

// Watch implements store.Store. Its first answer tells whether the store is
// reached; what ends it later may be a cut of this watch alone and is left to the
// next call.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision, handler func(batch []store.Entry, progress store.Revision)) error {
	probe, err := s.gate.enter(ctx, s.urgent)
	if err != nil {
		return err
	}
	answered := false
	err = s.inner.Watch(ctx, prefix, after, func(batch []store.Entry, progress store.Revision) {
		if !answered {
			answered = true
			s.gate.leave(probe, nil)
		}
		handler(batch, progress)
	})
	if answered {
		return err
	}
	if ctx.Err() != nil {
		s.gate.leave(probe, context.Canceled)
		return err
	}
	s.gate.leave(probe, err)
	return err
}

// GrantLease implements store.Store.
func (s *Store) GrantLease(ctx context.Context, duration time.Duration) (lease store.LeaseID, err error) {
	err = s.pass(ctx, func() error {
		lease, err = s.inner.GrantLease(ctx, duration)
		return err
	})
	return lease, err
}

// RenewLease implements store.Store.
func (s *Store) RenewLease(ctx context.Context, lease store.LeaseID) (left time.Duration, err error) {
	err = s.pass(ctx, func() error {
		left, err = s.inner.RenewLease(ctx, lease)
		return err
	})
	return left, err
}

// RevokeLease implements store.Store.
func (s *Store) RevokeLease(ctx context.Context, lease store.LeaseID) error {
	return s.pass(ctx, func() error { return s.inner.RevokeLease(ctx, lease) })
}
