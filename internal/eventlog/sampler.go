package eventlog

import (
	"math/bits"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// sampler limits the events in each second of wall clock time. If there are too many, it keeps
// only the events of some requests: at each level half of the requests of the level below. It
// is safe for concurrent use.
type sampler struct {
	perSecond int

	mutex  sync.Mutex
	second int64
	// count is the number of events kept in this second, dropped the number of events
	// beyond the limit.
	count, dropped int
	level          int
}

const (
	// maxLevel is the highest level, at which one of a million requests is kept.
	maxLevel = 20
	// The level decreases after a second with fewer than perSecond/lowLoadDivisor events.
	lowLoadDivisor = 4
)

// allow reports whether to keep an event of the request; the id is empty for events without a
// request, which are only subject to the limit.
func (s *sampler) allow(second int64, request string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if second != s.second {
		s.startSecond(second)
	}
	if request != "" && bits.TrailingZeros64(xxhash.Sum64String(request)) < s.level {
		return false
	}
	if s.count >= s.perSecond {
		s.dropped++
		return false
	}
	s.count++
	return true
}

// startSecond starts a new second. The level rises by as much as the events of the last second
// required, and decreases by one at a time.
func (s *sampler) startSecond(second int64) {
	switch {
	case s.dropped > 0:
		s.level = min(s.level+bits.Len(uint((s.count+s.dropped-1)/max(s.perSecond, 1))), maxLevel)
	case s.count < s.perSecond/lowLoadDivisor:
		s.level = max(s.level-1, 0)
	}
	s.second, s.count, s.dropped = second, 0, 0
}
