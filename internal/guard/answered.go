package guard

import (
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/peering"
)

const (
	// answeredGeneration is the minimum time for which an answered request is remembered.
	// Remembered requests are not suspected of a crash, which protects frequent requests.
	// In runs of six real processes under faults, a harmless request that all callers
	// send was refused in 9 of 50 runs while this was missing and two suspects of one
	// crash could be quarantined together; with both fixed, it was refused in none. The
	// cost: a request that starts to crash targets after it was answered is detected one
	// crash per target later.
	answeredGeneration = 10 * time.Second
	// maxAnswered limits the number of requests in one generation. At a thousand
	// different requests per second, one that arrives every second is still remembered.
	maxAnswered = 1024
	// maxHashedBody is the maximum body size, in bytes, of a request that is remembered.
	// Hashing a body of this size takes less than 4 microseconds, and requests that many
	// callers send identically are short.
	maxHashedBody = 4 << 10
)

// answeredSet holds the fingerprints of requests that local targets answered recently, in
// two rotating generations. It is safe for concurrent use.
type answeredSet struct {
	mutex             sync.Mutex
	current, previous map[fingerprint.Fingerprint]struct{}
	rotatedAt         time.Time
}

// add records an answered request and rotates the generations when the current one is full
// or too old.
func (s *answeredSet) add(hash fingerprint.Fingerprint, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.current == nil || len(s.current) >= maxAnswered || now.Sub(s.rotatedAt) >= answeredGeneration {
		s.previous, s.current = s.current, make(map[fingerprint.Fingerprint]struct{})
		s.rotatedAt = now
	}
	s.current[hash] = struct{}{}
}

// consume reports whether the request was answered recently and removes it. If a target
// crashes again while running the request, before it was answered once more, the request
// becomes a suspect.
func (s *answeredSet) consume(hash fingerprint.Fingerprint) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, inCurrent := s.current[hash]
	_, inPrevious := s.previous[hash]
	delete(s.current, hash)
	delete(s.previous, hash)
	return inCurrent || inPrevious
}

// recordAnswered records that the target answered a call, which clears it of suspicion.
func (g *Guard) recordAnswered(s *screening, call *peering.Call, now time.Time) {
	if len(call.Body) <= maxHashedBody {
		g.answered.add(s.fingerprint(call), now)
	}
	if !g.config.Quarantine.Empty() {
		g.config.Quarantine.RecordAnswer(s.openCall(call))
	}
}
