package configuration

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

const (
	// maxPullSources limits the number of peers in a pullSourceSet.
	maxPullSources = 64
	// pullSourceTTL is how long a received digest may trigger a pull.
	pullSourceTTL = 15 * time.Second
)

// pullSource is a peer whose digest showed that it may have newer versions.
type pullSource struct {
	member     Member
	digest     Digest
	receivedAt time.Time
}

// pullSourceSet holds the peers to pull from. It is safe for concurrent use.
type pullSourceSet struct {
	signal chan struct{}
	now    func() time.Time

	mu      sync.Mutex
	sources map[string]pullSource
}

func newPullSourceSet(now func() time.Time) *pullSourceSet {
	return &pullSourceSet{signal: make(chan struct{}, 1), now: now, sources: make(map[string]pullSource)}
}

// add adds or updates a peer. A new peer is dropped if the set is full.
func (s *pullSourceSet) add(member Member, digest Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.sources[member.Name]; !known && len(s.sources) >= maxPullSources {
		return
	}
	s.sources[member.Name] = pullSource{member: member, digest: digest, receivedAt: s.now()}
	s.notify()
}

func (s *pullSourceSet) notify() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// choose removes and returns a random peer that may still have newer versions.
// Peers that can serve a delta are preferred.
func (s *pullSourceSet) choose(local Digest) (pullSource, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(local)
	var preferred, others []pullSource
	for _, candidate := range s.sources {
		if canServeDelta(candidate.digest, local.Floor) {
			preferred = append(preferred, candidate)
			continue
		}
		others = append(others, candidate)
	}
	if len(preferred) == 0 {
		preferred = others
	}
	if len(preferred) == 0 {
		return pullSource{}, false
	}
	chosen := preferred[rand.IntN(len(preferred))]
	delete(s.sources, chosen.member.Name)
	return chosen, true
}

// expire removes peers whose digest is too old or shows no newer versions.
func (s *pullSourceSet) expire(local Digest) {
	oldest := s.now().Add(-pullSourceTTL)
	for name, candidate := range s.sources {
		if candidate.receivedAt.Before(oldest) || !local.shouldPull(candidate.digest) {
			delete(s.sources, name)
		}
	}
}

// canServeDelta reports whether a replica still has all tombstones above a
// floor, so that a delta is sufficient.
func canServeDelta(digest Digest, floor store.Revision) bool { return digest.Collected <= floor }

// pending reports whether the set is not empty.
func (s *pullSourceSet) pending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sources) > 0
}
