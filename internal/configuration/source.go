package configuration

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

const (
	// maxSources bounds the peers remembered as sources.
	maxSources = 64
	// sourceLifetime is how long a received digest is worth a pull.
	sourceLifetime = 15 * time.Second
)

// source is a peer whose digest showed something to learn.
type source struct {
	member Member
	digest Digest
	seen   time.Time
}

// sourceSet remembers the peers to pull from. It is safe for concurrent use.
type sourceSet struct {
	signal chan struct{}
	now    func() time.Time

	mu      sync.Mutex
	sources map[string]source
}

func newSourceSet(now func() time.Time) *sourceSet {
	return &sourceSet{signal: make(chan struct{}, 1), now: now, sources: make(map[string]source)}
}

// add remembers a peer, if there is room or it is known already.
func (s *sourceSet) add(member Member, digest Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.sources[member.Name]; !known && len(s.sources) >= maxSources {
		return
	}
	s.sources[member.Name] = source{member: member, digest: digest, seen: s.now()}
	s.wake()
}

func (s *sourceSet) wake() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// choose takes out a random source that still has something to learn. Sources
// that can serve a delta go first.
func (s *sourceSet) choose(own Digest) (source, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(own)
	var delta, complete []source
	for _, candidate := range s.sources {
		if canServeDelta(candidate.digest, own.Floor) {
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

// expire drops sources that are old or have nothing to learn any more.
func (s *sourceSet) expire(own Digest) {
	oldest := s.now().Add(-sourceLifetime)
	for name, candidate := range s.sources {
		if candidate.seen.Before(oldest) || !own.wants(candidate.digest) {
			delete(s.sources, name)
		}
	}
}

// canServeDelta reports whether a replica still has all tombstones above a
// floor.
func canServeDelta(digest Digest, floor store.Revision) bool { return digest.Collected <= floor }

// pending reports whether sources are left.
func (s *sourceSet) pending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sources) > 0
}
