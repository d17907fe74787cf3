package returnplace

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
)

const (
	// maxRoutes bounds the number of tracked routes. Requests of others get no places.
	maxRoutes = 256
	// dropInterval is the shortest time between two searches for unused routes, which look at
	// all counters.
	dropInterval = time.Second
)

// route is the state of one route.
type route struct {
	levels [criticality.LevelCount]level
	// places is the number of places of the route that were neither used nor have expired.
	places atomic.Int32
}

// level is the state of one level of a route.
type level struct {
	admitted admissions
	// last is the time of the latest place that was assigned, guarded by the schedule's mutex.
	last time.Time
}

// nextPlace returns the time of the first place that is free.
func (l *level) nextPlace(slot uint32, now time.Time) time.Time {
	rate := max(l.admitted.rate(slot)*placeShare, minPlaceRate)
	interval := time.Duration(float64(time.Second) / rate)
	earliest := now.Add(MinAhead)
	if next := l.last.Add(interval); next.After(earliest) {
		return next
	}
	return earliest
}

// unused reports whether the route's state does not differ from that of a new one.
func (r *route) unused(slot uint32, now time.Time) bool {
	if r.places.Load() > 0 {
		return false
	}
	for i := range r.levels {
		if r.levels[i].last.After(now) || r.levels[i].admitted.rate(slot) > 0 {
			return false
		}
	}
	return true
}

// routeTable maps names to routes. Look-ups take no lock; the map is replaced as a whole.
type routeTable struct {
	routes atomic.Pointer[map[string]*route]
	// nextDrop is the first slot in which unused routes are searched for again.
	nextDrop atomic.Uint32
}

// find returns the route with the name, nil if it is not tracked.
func (t *routeTable) find(name string) *route {
	if routes := t.routes.Load(); routes != nil {
		return (*routes)[name]
	}
	return nil
}

// mayAdd reports whether the table may have room for another route. It takes no lock, so that
// requests of a route that is not tracked cost little.
func (t *routeTable) mayAdd(slot uint32) bool {
	routes := t.routes.Load()
	return routes == nil || len(*routes) < maxRoutes || slot >= t.nextDrop.Load()
}

// add returns the route with the name and begins to track it if there is room; if not, it
// returns nil. The caller holds the schedule's mutex.
func (t *routeTable) add(name string, slot uint32, now time.Time) *route {
	if known := t.find(name); known != nil {
		return known
	}
	if !t.mayAdd(slot) {
		return nil
	}
	routes := make(map[string]*route)
	if current := t.routes.Load(); current != nil {
		routes = maps.Clone(*current)
	}
	if slot >= t.nextDrop.Load() {
		t.nextDrop.Store(slot + uint32(dropInterval/slotLength))
		maps.DeleteFunc(routes, func(_ string, r *route) bool { return r.unused(slot, now) })
	}
	if len(routes) >= maxRoutes {
		return nil
	}
	added := &route{}
	routes[name] = added
	t.routes.Store(&routes)
	return added
}
