package returnplace

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/content"
	"github.com/lugspur/lugspur/internal/criticality"
)

const (
	// MinAhead is the time from a refusal to the earliest place.
	MinAhead = 200 * time.Millisecond
	// MaxAhead is the time from a refusal to the latest place, however late the caller's
	// deadline is. The rate of places is that of the last 2 s, which says little about later
	// times.
	MaxAhead = 5 * time.Second
	// deadlineDivisor is the divisor of the caller's remaining time that yields the time to the
	// latest place: callers wait for up to a third of their remaining time.
	deadlineDivisor = 3
	// transitTime is subtracted from the caller's remaining time: the caller compares the delay
	// with the time that it has left when the refusal reaches it, and may ignore a longer one.
	transitTime = 15 * time.Millisecond
	// NoPlaceDelay is the shortest delay of requests that get no place.
	NoPlaceDelay = time.Second
	// maxEarly and maxLate bound how far a returning request may miss the time of its place.
	maxEarly = 50 * time.Millisecond
	maxLate  = 500 * time.Millisecond
	// placeShare is the share of the rate of admitted requests at which places are assigned, so
	// that returning requests take at most that share of the capacity.
	placeShare = 0.5
	// minPlaceRate is the lowest rate of places, per second.
	minPlaceRate = 1.0
	// maxPlaces bounds the places of all routes that were neither used nor have expired.
	maxPlaces = 4096
	// toldPrecision is the precision of the delay that callers are told.
	toldPrecision = time.Millisecond
)

// Request is a request that is refused.
type Request struct {
	// Content is what the request is recognized by when it returns.
	Content content.Key
	Route   string
	Level   criticality.Level
	// Deadline is the time until which the caller waits for an answer, retries included.
	Deadline time.Time
	// UsefulUntil is the latest time at which the request may return and still meet its latency
	// objective. The zero value means that there is no such limit.
	UsefulUntil time.Time
}

// latestPlace returns the time of the latest place that is of use to the caller: it must not wait
// for more than its share of the remaining time, and a request that returns too late to meet its
// objective would take capacity from one that still can.
func (q *Request) latestPlace(now time.Time) time.Time {
	latest := now.Add(min((q.Deadline.Sub(now)-transitTime)/deadlineDivisor, MaxAhead))
	if !q.UsefulUntil.IsZero() && q.UsefulUntil.Before(latest) {
		return q.UsefulUntil
	}
	return latest
}

// Reservation is the result of asking for a place.
type Reservation struct {
	// Given reports whether the request has a place.
	Given bool
	// Delay is the time to the place. Without a place, it is the time to the first one that
	// would be free, at least NoPlaceDelay.
	Delay time.Duration

	place *place
	// reservedAt is the time of the refusal, and latest that of the latest place permitted.
	reservedAt, latest time.Time
}

// Counts are the numbers of places since the start.
type Counts struct {
	// Given places were used, have expired or are still in force.
	Given, Used, Expired uint64
	// NoneLeft is the number of requests that got no place.
	NoneLeft uint64
}

// Schedule assigns places to refused requests and recognizes those that return. All times that
// are passed to it must come from the same monotonic clock. It is safe for concurrent use.
type Schedule struct {
	start time.Time
	// seed makes the hashes of contents differ between processes, so that nobody can prepare a
	// request that takes the place of another one.
	seed   uint64
	routes routeTable

	mutex  sync.Mutex
	table  table
	counts Counts
}

// New returns a schedule without places. The time is the current one.
func New(now time.Time) *Schedule {
	return &Schedule{start: now, seed: rand.Uint64(), table: table{byKey: make(map[uint64][]*place)}}
}

// CountAdmitted counts a request that was admitted. It takes a lock only for the first request
// of a route.
func (s *Schedule) CountAdmitted(route string, level criticality.Level, now time.Time) {
	slot := s.slotOf(now)
	tracked := s.routes.find(route)
	if tracked == nil {
		tracked = s.track(route, slot, now)
	}
	if tracked != nil {
		tracked.levels[level].admitted.add(slot)
	}
}

// track begins to track a route. It returns nil if there are too many.
func (s *Schedule) track(name string, slot uint32, now time.Time) *route {
	if !s.routes.mayAdd(slot) {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.routes.add(name, slot, now)
}

// Reserve reserves a place for a request that is refused now, if one is free before a third of
// the time that the caller has left has passed.
func (s *Schedule) Reserve(q Request, now time.Time) Reservation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	slot := s.slotOf(now)
	tracked := s.routes.add(q.Route, slot, now)
	if tracked == nil {
		return s.noPlace(NoPlaceDelay)
	}
	level := &tracked.levels[q.Level]
	at := level.nextPlace(slot, now)
	latest := q.latestPlace(now)
	if at.After(latest) || s.table.full() {
		return s.noPlace(at.Sub(now))
	}
	level.last = at
	reserved := &place{key: q.Content.Hash(q.Route, s.seed), at: at, route: tracked}
	s.table.add(reserved)
	s.counts.Given++
	return Reservation{Given: true, Delay: at.Sub(now), place: reserved, reservedAt: now, latest: latest}
}

func (s *Schedule) noPlace(delay time.Duration) Reservation {
	s.counts.NoneLeft++
	return Reservation{Delay: max(delay, NoPlaceDelay)}
}

// Move moves a place to the delay that the caller is told instead of the reservation's, as far
// as the place may be that early or late. The time of the following places does not change. It
// returns the reservation with the delay of the place.
func (s *Schedule) Move(r Reservation, told time.Duration) Reservation {
	if !r.Given || (told-r.Delay).Abs() < toldPrecision {
		return r
	}
	r.Delay = min(max(told, MinAhead), r.latest.Sub(r.reservedAt))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.place.index != removed {
		s.table.move(r.place, r.reservedAt.Add(r.Delay))
	}
	return r
}

// Take reports whether a request that arrives is one that returns to its place on time, and
// removes the place if it is.
func (s *Schedule) Take(route string, content content.Key, arrived time.Time) bool {
	tracked := s.routes.find(route)
	if tracked == nil || tracked.places.Load() == 0 {
		return false
	}
	key := content.Hash(route, s.seed)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(arrived)
	earliest := s.table.earliest(key)
	if earliest == nil || earliest.at.Sub(arrived) > maxEarly {
		return false
	}
	s.table.remove(earliest)
	s.counts.Used++
	return true
}

// Counts returns the numbers of places up to now.
func (s *Schedule) Counts(now time.Time) Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	return s.counts
}

func (s *Schedule) expire(now time.Time) { s.counts.Expired += s.table.expire(now) }

// slotOf returns the number of the slot at the time.
func (s *Schedule) slotOf(now time.Time) uint32 {
	return uint32(max(now.Sub(s.start), 0) / slotLength)
}
