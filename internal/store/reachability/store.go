package reachability

import (
	"context"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// Store makes calls to a store through the circuit breaker. Its watches end with the first
// failure, like those of every store.
type Store struct {
	breaker *CircuitBreaker
	inner   store.Store
	urgent  bool
}

var _ store.Store = (*Store)(nil)

// Wrap returns the store behind the circuit breaker.
func (b *CircuitBreaker) Wrap(inner store.Store) *Store { return &Store{breaker: b, inner: inner} }

// WrapUrgent returns the store behind the circuit breaker for calls that must not wait long:
// during an outage they probe the store more often.
func (b *CircuitBreaker) WrapUrgent(inner store.Store) *Store {
	return &Store{breaker: b, inner: inner, urgent: true}
}

// do makes one call through the circuit breaker.
func (s *Store) do(ctx context.Context, call func() error) error {
	probe, err := s.breaker.acquire(ctx, s.urgent)
	if err != nil {
		return err
	}
	err = call()
	if ctx.Err() == context.Canceled {
		s.breaker.release(probe, ctx.Err())
		return err
	}
	s.breaker.release(probe, err)
	return err
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	err = s.do(ctx, func() error {
		entry, err = s.inner.Get(ctx, key)
		return err
	})
	return entry, err
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) (snapshot store.Snapshot, err error) {
	err = s.do(ctx, func() error {
		snapshot, err = s.inner.List(ctx, prefix)
		return err
	})
	return snapshot, err
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (revision store.Revision, err error) {
	err = s.do(ctx, func() error {
		revision, err = s.inner.CompareAndSwap(ctx, key, expected, value, lease)
		return err
	})
	return revision, err
}

// CompareAndDelete implements store.Store.
func (s *Store) CompareAndDelete(ctx context.Context, key string, expected store.Revision) (revision store.Revision, err error) {
	err = s.do(ctx, func() error {
		revision, err = s.inner.CompareAndDelete(ctx, key, expected)
		return err
	})
	return revision, err
}

// Watch implements store.Store. Only its first answer or failure counts for the circuit
// breaker: a later failure may concern this watch alone, and the next call shows whether the
// store is reachable.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision, handler func(batch []store.Entry, progress store.Revision)) error {
	probe, err := s.breaker.acquire(ctx, s.urgent)
	if err != nil {
		return err
	}
	answered := false
	err = s.inner.Watch(ctx, prefix, after, func(batch []store.Entry, progress store.Revision) {
		if !answered {
			answered = true
			s.breaker.release(probe, nil)
		}
		handler(batch, progress)
	})
	if answered {
		return err
	}
	if ctx.Err() != nil {
		s.breaker.release(probe, context.Canceled)
		return err
	}
	s.breaker.release(probe, err)
	return err
}

// GrantLease implements store.Store.
func (s *Store) GrantLease(ctx context.Context, duration time.Duration) (lease store.LeaseID, err error) {
	err = s.do(ctx, func() error {
		lease, err = s.inner.GrantLease(ctx, duration)
		return err
	})
	return lease, err
}

// RenewLease implements store.Store.
func (s *Store) RenewLease(ctx context.Context, lease store.LeaseID) (left time.Duration, err error) {
	err = s.do(ctx, func() error {
		left, err = s.inner.RenewLease(ctx, lease)
		return err
	})
	return left, err
}

// RevokeLease implements store.Store.
func (s *Store) RevokeLease(ctx context.Context, lease store.LeaseID) error {
	return s.do(ctx, func() error { return s.inner.RevokeLease(ctx, lease) })
}
