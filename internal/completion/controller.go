package completion

import (
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/shed"
)

// Result is the result of a run that made calls.
type Result uint8

// Results of runs.
const (
	// Whole is a run that completed.
	Whole Result = iota
	// NoRoom is a run that failed because one of its calls failed for lack of capacity.
	NoRoom
	// Other is a run that failed for another reason.
	Other
)

var resultNames = [...]string{"whole", "no-room", "other"}

// String returns the label value used in metrics.
func (r Result) String() string { return resultNames[r] }

const (
	// maxRoutes limits the number of routes with a threshold.
	maxRoutes = 256
	// idleTime is the time without runs after which the state of a route is removed.
	idleTime = time.Minute
	// minLoggedChange is the minimum change of a threshold, in ranks, that is worth a log line.
	minLoggedChange = criticality.CohortCount / 4
	// minLogInterval is the minimum time between two log lines on one route. Thresholds of homes
	// with few runs change by more than minLoggedChange several times a second.
	minLogInterval = time.Second
)

// Controller holds the thresholds of the routes of one home. It is safe for concurrent use.
type Controller struct {
	now func() time.Time

	mutex  sync.RWMutex
	routes map[string]*route
}

// New returns a controller that refuses nothing. The clock must be monotonic.
func New(now func() time.Time) *Controller {
	return &Controller{now: now, routes: make(map[string]*route)}
}

// Observe counts an arrival of a call of the route, admitted or not.
func (c *Controller) Observe(name string, rank criticality.Rank) {
	if r := c.find(name); r != nil {
		r.arrivals[min(rank.Key(), shed.None-1)].Add(1)
	}
}

// Record counts a finished run of the route that made calls and began at the given time.
func (c *Controller) Record(name string, result Result, began time.Time) {
	if r := c.findOrCreate(name); r != nil {
		r.record(result, began)
	}
}

// Threshold returns the lowest rank key of the route to refuse, shed.None if none is.
func (c *Controller) Threshold(name string) uint16 {
	r := c.find(name)
	if r == nil {
		return shed.None
	}
	return uint16(r.threshold.Load())
}

// State is the state of a route after a tick.
type State struct {
	Route string
	// Threshold is the lowest rank key to refuse, shed.None if none is.
	Threshold uint16
	// NoRoomShare is the share of recent runs that failed for lack of capacity, from 0 to 1.
	NoRoomShare float64
	// Notable reports whether the threshold differs much from that of the last notable state, at
	// least a second ago.
	Notable bool
}

// Tick updates the thresholds and returns the states of all routes. It must be called at a
// constant interval of 50 to 250 ms. short reports whether a service that requests of the route
// call refuses some of its calls at present.
func (c *Controller) Tick(short func(route string) bool) []State {
	now := c.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	states := make([]State, 0, len(c.routes))
	for name, r := range c.routes {
		state := r.tick(now, short(name))
		state.Route = name
		states = append(states, state)
		if now.Sub(r.usedAt) >= idleTime {
			delete(c.routes, name)
		}
	}
	return states
}

func (c *Controller) find(name string) *route {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.routes[name]
}

// findOrCreate returns nil if the route is new and there are too many.
func (c *Controller) findOrCreate(name string) *route {
	if r := c.find(name); r != nil {
		return r
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := c.routes[name]
	if r != nil || len(c.routes) >= maxRoutes {
		return r
	}
	r = newRoute(c.now())
	c.routes[name] = r
	return r
}
