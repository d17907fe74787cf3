package configuration

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

const (
	// maxSources limits the number of sources.
	maxSources = 64
	// sourceLifetime is how long a received digest may trigger a pull.
	sourceLifetime = 15 * time.Second
)

// source is a peer whose digest showed that it may have newer versions.
type source struct {
	member     Member
	digest     Digest
	receivedAt time.Time
}

// sourceSet holds the peers to pull from. It is safe for concurrent use.
type sourceSet struct {
	signal chan struct{}
	now    func() time.Time

	mu      sync.Mutex
	sources map[string]source
}

func newSourceSet(now func() time.Time) *sourceSet {
	return &sourceSet{signal: make(chan struct{}, 1), now: now, sources: make(map[string]source)}
}

// add adds or updates a peer. A new peer is dropped if the set is full.
func (s *sourceSet) add(member Member, digest Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.sources[member.Name]; !known && len(s.sources) >= maxSources {
		return
	}
	s.sources[member.Name] = source{member: member, digest: digest, receivedAt: s.now()}
	s.notify()
}

func (s *sourceSet) notify() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// choose removes and returns a random source that may still have newer versions.
// Sources that can serve a delta are preferred.
func (s *sourceSet) choose(local Digest) (source, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(local)
	var delta, complete []source
	for _, candidate := range s.sources {
		if canServeDelta(candidate.digest, local.Floor) {
			delta = append(delta, candidate)
			continue
		}
		complete = append(complete, candidate)
	}
	if len(delta) == 0 {
		delta = complete
	}
	if len(delta) == 0 {
		return source{}, false
	}
	chosen := delta[rand.IntN(len(delta))]
	delete(s.sources, chosen.member.Name)
	return chosen, true
}

// expire removes sources that are too old or no longer have newer versions.
func (s *sourceSet) expire(local Digest) {
	oldest := s.now().Add(-sourceLifetime)
	for name, candidate := range s.sources {
		if candidate.receivedAt.Before(oldest) || !local.shouldPull(candidate.digest) {
			delete(s.sources, name)
		}
	}
}

// canServeDelta reports whether a replica still has all tombstones above a
// floor, so that a delta is sufficient.
func canServeDelta(digest Digest, floor store.Revision) bool { return digest.Collected <= floor }

// pending reports whether sources are left.
func (s *sourceSet) pending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sources) > 0
}
