package mvcc

import (
	"slices"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// LeaseID identifies a lease of this store; zero means no lease.
type LeaseID int64

type lease struct {
	duration time.Duration
	expires  time.Time
	keys     map[string]struct{}
}

// Grant creates a lease. It returns ErrNoSpace if there are already MaxLeases leases.
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
	s.scheduleExpiry(expires)
	return s.lastLease, nil
}

// Renew restarts the lease's duration and returns it, or store.ErrLeaseLost.
func (s *Store) Renew(id LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l, found := s.leases[id]
	if !found {
		return 0, store.ErrLeaseLost
	}
	l.expires = s.config.Now().Add(l.duration)
	return l.duration, nil
}

// Revoke revokes a lease and removes its keys, or returns store.ErrLeaseLost.
func (s *Store) Revoke(id LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if _, found := s.leases[id]; !found {
		return store.ErrLeaseLost
	}
	s.endLease(id)
	return nil
}

func (s *Store) endLease(id LeaseID) {
	l := s.leases[id]
	delete(s.leases, id)
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	if s.removeKeys(keys) > 0 {
		s.publish()
	}
}

func (s *Store) scheduleExpiry(at time.Time) {
	if s.nextExpiry.IsZero() || at.Before(s.nextExpiry) {
		s.nextExpiry = at
	}
}

// expireLeases ends the expired leases. It iterates over the leases only when the
// earliest scheduled expiry has passed.
func (s *Store) expireLeases() {
	now := s.config.Now()
	if s.nextExpiry.IsZero() || now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = time.Time{}
	var expired []LeaseID
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			expired = append(expired, id)
			continue
		}
		s.scheduleExpiry(l.expires)
	}
	slices.Sort(expired)
	for _, id := range expired {
		s.endLease(id)
	}
}

func (s *Store) attachLease(written *KeyValue) {
	if l, found := s.leases[written.Lease]; found {
		l.keys[written.Key] = struct{}{}
	}
}

func (s *Store) detachLease(previous *KeyValue) {
	if previous == nil {
		return
	}
	if l, found := s.leases[previous.Lease]; found {
		delete(l.keys, previous.Key)
	}
}
