package eventlog

import (
	"math/bits"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// sampler allows a number of events in each second of the clock. Once there are
// more, it keeps only those of some requests: with each level half of the requests
// of the level before. It is safe for concurrent use.
type sampler struct {
	perSecond int

	mutex  sync.Mutex
	second int64
	// count is the events allowed in this second, and passedOver those beyond the
	// bound.
	count, passedOver int
	level             int
}

const (
	// maxLevel bounds the level: one of a million requests is kept.
	maxLevel = 20
	// fewShare is the part of the bound under which the level falls again.
	fewShare = 4
)

// allow reports whether an event is kept that touches the request, empty for none.
func (s *sampler) allow(second int64, request string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if second != s.second {
		s.turn(second)
	}
	if request != "" && bits.TrailingZeros64(xxhash.Sum64String(request)) < s.level {
		return false
	}
	if s.count >= s.perSecond {
		s.passedOver++
		return false
	}
	s.count++
	return true
}

// turn begins a new second. The level rises by as much as the last one needed, and
// falls step by step.
func (s *sampler) turn(second int64) {
	switch {
	case s.passedOver > 0:
		s.level = min(s.level+bits.Len(uint((s.count+s.passedOver-1)/max(s.perSecond, 1))), maxLevel)
	case s.count < s.perSecond/fewShare:
		s.level = max(s.level-1, 0)
	}
	s.second, s.count, s.passedOver = second, 0, 0
}
