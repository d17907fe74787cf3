package mvcc

import (
	"slices"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// LeaseID numbers a lease of this store; zero is no lease.
type LeaseID int64

type lease struct {
	duration time.Duration
	expires  time.Time
	keys     map[string]struct{}
}

// Grant creates a lease. It returns ErrNoSpace when there are too many.
func (s *Store) Grant(duration time.Duration) (LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if len(s.leases) >= s.config.MaxLeases {
		return 0, ErrNoSpace
	}
	s.lastLease++
	expires := s.config.Now().Add(duration)
	s.leases[s.lastLease] = &lease{duration: duration, expires: expires, keys: make(map[string]struct{})}
	s.expectExpiry(expires)
	return s.lastLease, nil
}

// Renew starts the lease's duration anew and returns it, or store.ErrLeaseLost.
func (s *Store) Renew(id LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	held, found := s.leases[id]
	if !found {
		return 0, store.ErrLeaseLost
	}
	held.expires = s.config.Now().Add(held.duration)
	return held.duration, nil
}

// Revoke ends a lease and removes its keys, or returns store.ErrLeaseLost.
func (s *Store) Revoke(id LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if _, found := s.leases[id]; !found {
		return store.ErrLeaseLost
	}
	s.end(id)
	return nil
}

func (s *Store) end(id LeaseID) {
	held := s.leases[id]
	delete(s.leases, id)
	keys := make([]string, 0, len(held.keys))
	for key := range held.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	if s.removeAll(keys) > 0 {
		s.publish()
	}
}

func (s *Store) expectExpiry(at time.Time) {
	if s.nextExpiry.IsZero() || at.Before(s.nextExpiry) {
		s.nextExpiry = at
	}
}

// expireLeases ends the leases whose time is over. It looks at the leases only
// when the earliest known expiry has passed.
func (s *Store) expireLeases() {
	now := s.config.Now()
	if s.nextExpiry.IsZero() || now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = time.Time{}
	var expired []LeaseID
	for id, held := range s.leases {
		if !now.Before(held.expires) {
			expired = append(expired, id)
			continue
		}
		s.expectExpiry(held.expires)
	}
	slices.Sort(expired)
	for _, id := range expired {
		s.end(id)
	}
}

func (s *Store) attach(written *KeyValue) {
	if held, found := s.leases[written.Lease]; found {
		held.keys[written.Key] = struct{}{}
	}
}

func (s *Store) detach(previous *KeyValue) {
	if previous == nil {
		return
	}
	if held, found := s.leases[previous.Lease]; found {
		delete(held.keys, previous.Key)
	}
}
