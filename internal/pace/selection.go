package pace

import (
	"math"
	"time"
)

const (
	// distanceShare is the share of a route's objective that stands for the distance to another
	// zone: callers do not notice a smaller difference.
	distanceShare = 0.05
	// minDistance is the least distance to another zone.
	minDistance = 2 * time.Millisecond
	// spread is the maximum random increase, as a share, of the cost of homes of the same zone. It
	// prevents nodes with the same information from all choosing the same home.
	spread = 0.5
)

// Distance returns the time that stands for the distance to another zone, given the objective
// of the route.
func Distance(objective time.Duration) time.Duration {
	return max(time.Duration(distanceShare*float64(objective)), minDistance)
}

// Candidate is a home that a call may be sent to.
type Candidate struct {
	// Index identifies the candidate.
	Index    int
	Estimate Estimate
	// Risk is the factor by which the home costs more because the call may fail there, at least 1.
	Risk float64
	// OtherZone is set if the home is in another zone than the node.
	OtherZone bool
	// Random is a random number from 0 to 1.
	Random float64
}

// Selection selects the candidate with the earliest expected completion. The zero value is empty.
type Selection struct {
	own, other best
}

// best is the candidate of the node's own zone, or of the others, with the lowest cost. All times
// are in seconds.
type best struct {
	found bool
	index int
	// cost is the cost of the candidate, and time the expected time of a call there.
	cost, time float64
	// next is the candidate with the lowest cost but one.
	hasNext            bool
	nextCost, nextTime float64
	// earliest is the least expected time at any of the candidates.
	earliest float64
}

// Add adds a candidate.
func (s *Selection) Add(c Candidate) {
	group := &s.own
	if c.OtherZone {
		group = &s.other
	}
	time := c.Estimate.Time().Seconds() * c.Risk
	cost := (time + c.Estimate.Crowding.Seconds()*c.Risk) * (1 + spread*c.Random)
	switch {
	case !group.found || cost < group.cost:
		group.hasNext, group.nextCost, group.nextTime = group.found, group.cost, group.time
		group.index, group.cost, group.time = c.Index, cost, time
	case !group.hasNext || cost < group.nextCost:
		group.hasNext, group.nextCost, group.nextTime = true, cost, time
	}
	if !group.found || time < group.earliest {
		group.earliest = time
	}
	group.found = true
}

// Best returns the index of the candidate that was selected, and false if there is none. A home in
// another zone is selected only if the call completes there earlier by more than the distance.
// Neither randomness nor crowding makes a call leave the zone.
func (s *Selection) Best(distance time.Duration) (index int, found bool) {
	if s.leavesZone(distance) {
		return s.other.index, true
	}
	return s.own.index, s.own.found
}

func (s *Selection) leavesZone(distance time.Duration) bool {
	return s.other.found && (!s.own.found || s.other.time+distance.Seconds() < s.own.earliest)
}

// Alternative returns the expected time of the call at the best candidate but the selected one,
// including the distance; zero if there is none.
func (s *Selection) Alternative(distance time.Duration) time.Duration {
	least := math.Inf(1)
	consider := func(found bool, time float64) {
		if found {
			least = min(least, time)
		}
	}
	if s.leavesZone(distance) {
		consider(s.own.found, s.own.time)
		consider(s.other.hasNext, s.other.nextTime+distance.Seconds())
	} else {
		consider(s.own.hasNext, s.own.nextTime)
		consider(s.other.found, s.other.time+distance.Seconds())
	}
	if math.IsInf(least, 1) {
		return 0
	}
	// Whole milliseconds are sent, and zero would mean that there is no alternative.
	return max(time.Duration(least*float64(time.Second)), time.Millisecond)
}
