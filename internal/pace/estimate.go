package pace

import "time"

const (
	// distanceShare is the share of a route's objective that stands for the distance to another
	// zone: callers do not notice a smaller difference.
	distanceShare = 0.05
	// minDistance is the least distance to another zone.
	minDistance = 2 * time.Millisecond
)

// Distance returns the time that stands for the distance to another zone, given the objective
// of the route.
func Distance(objective time.Duration) time.Duration {
	return max(time.Duration(distanceShare*float64(objective)), minDistance)
}

// Home is what an entry node knows of a home.
type Home struct {
	// Calls is the number of calls that run or wait at the home, and Limit the number of those
	// that it runs at the same time, at least 1.
	Calls, Limit int
	// Usual is the duration of a call at the usual pace.
	Usual time.Duration
	// Factor is the factor by which calls currently take longer than usual.
	Factor float64
}

// Estimate is the expected time that a call takes at a home.
type Estimate struct {
	// Wait is the time until the call gets a slot, and Duration the time that it then takes.
	Wait, Duration time.Duration
}

// Estimate returns the expected time that one more call takes at the home. The calls beyond the
// limit, including this one, get slots at the rate at which calls end.
func (h Home) Estimate() Estimate {
	duration := h.Factor * float64(h.Usual)
	beyond := max(h.Calls+1-h.Limit, 0)
	wait := duration * float64(beyond) / float64(h.Limit)
	return Estimate{Wait: time.Duration(wait), Duration: time.Duration(duration)}
}
