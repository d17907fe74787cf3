package downstream

import (
	"slices"
	"sync"
	"time"
)

// MinRuns is the number of complete runs of a route from which on a home reports its costs. The share of
// requests that need a service doesn't follow from a few.
const MinRuns = 16

const (
	// maxRoutes is the maximum number of routes, and maxCalledRoutes that of the routes that requests
	// of one route call.
	maxRoutes       = 1024
	maxCalledRoutes = 32
	// refreshAge is the age from which figures are asked for again. A change behind several homes
	// must pass each of them.
	refreshAge = 500 * time.Millisecond
	// maxAge is the age from which figures are not used. A route of which no request is admitted asks
	// nobody, so that it must not be refused because of old figures for long.
	maxAge = 5 * time.Second
	// minAskInterval is the least time between two requests for the figures of one route.
	minAskInterval = 250 * time.Millisecond
	// unusedAge is the time without use after which a route's figures are dropped, and sweepInterval
	// the least time between two searches for such routes.
	unusedAge     = time.Minute
	sweepInterval = time.Second
	// runWeight is the least weight of one run in the moving averages: 50 runs replace 0.96 of them.
	runWeight = 1.0 / 16
	// negligibleCalls is the mean number of calls below which a called route is dropped.
	negligibleCalls = 0.005
	// minNeededShare is the share of requests from which a route needs a service. Requests of a route
	// that mostly do without the service must not be refused because of it.
	minNeededShare = 0.5
)

// Call is the number of calls of one route and service that a run made.
type Call struct {
	Route, Service string
	Count          int
}

// key identifies a route as served by one of its services. The services of a split route have
// different figures, and a route that moves to another service starts without any.
type key struct{ route, service string }

// Table holds the figures of the routes that this node serves and of those that it calls. It is safe
// for concurrent use; a nil *Table knows nothing and asks for nothing.
type Table struct {
	service string
	now     func() time.Time

	mutex   sync.Mutex
	runs    map[string]*runAverages
	learned map[key]*learnedCosts
	sweptAt time.Time
}

// runAverages are the moving averages over the complete runs of a route at the local target.
type runAverages struct {
	count    int
	slotTime float64
	calls    []meanCalls
	usedAt   time.Time
}

// meanCalls is the mean number of calls of a route and service, and the share of runs that made any.
type meanCalls struct {
	key
	count, share float64
}

// learnedCosts is what a home of a route reported.
type learnedCosts struct {
	costs []Cost
	// needed are the services that most requests need.
	needed []string
	// complete is set if the slot time of each service is known, so that no home in the call tree is
	// known to be of a previous build.
	complete bool
	// at is when the figures were received, askedAt when they were last asked for; zero if never.
	at, askedAt, usedAt time.Time
}

// New returns a table that knows nothing, for a node whose target belongs to the service.
func New(service string, now func() time.Time) *Table {
	return &Table{service: service, now: now, runs: make(map[string]*runAverages), learned: make(map[key]*learnedCosts)}
}

// RecordRun records a complete run of the route at the local target: the time for which it occupied a
// slot, at the target's usual pace, and its calls.
func (t *Table) RecordRun(route string, slotTime time.Duration, calls []Call) {
	if t == nil {
		return
	}
	now := t.now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	averages := t.runs[route]
	if averages == nil {
		if !t.hasSpace(len(t.runs), now) {
			return
		}
		averages = &runAverages{}
		t.runs[route] = averages
	}
	averages.record(slotTime, calls)
	averages.usedAt = now
}

func (r *runAverages) record(slotTime time.Duration, calls []Call) {
	r.count++
	weight := max(runWeight, 1/float64(r.count))
	r.slotTime += weight * (slotTime.Seconds() - r.slotTime)
	for i := range r.calls {
		r.calls[i].count *= 1 - weight
		r.calls[i].share *= 1 - weight
	}
	for _, c := range calls {
		r.add(meanCalls{key{c.Route, c.Service}, weight * float64(c.Count), weight})
	}
	r.calls = slices.DeleteFunc(r.calls, func(m meanCalls) bool { return m.count < negligibleCalls })
}

func (r *runAverages) add(called meanCalls) {
	index := slices.IndexFunc(r.calls, func(m meanCalls) bool { return m.key == called.key })
	switch {
	case index >= 0:
		r.calls[index].count += called.count
		r.calls[index].share += called.share
	case len(r.calls) < maxCalledRoutes:
		r.calls = append(r.calls, called)
	}
}

// Costs returns what one request of a route that the local target serves uses of each service; nil if
// fewer than MinRuns complete runs are known. A called route whose homes report nothing counts without slot time and
// without what lies behind it.
func (t *Table) Costs(route string) []Cost {
	if t == nil {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	averages := t.runs[route]
	if averages == nil || averages.count < MinRuns {
		return nil
	}
	costs := []Cost{{Service: t.service, Calls: 1, SlotTime: seconds(averages.slotTime), Share: 1}}
	for _, called := range averages.calls {
		learned := t.learned[called.key]
		if learned == nil || !isRecent(learned.at, now, maxAge) {
			costs = addCost(costs, Cost{Service: called.service, Calls: called.count, Share: called.share})
			continue
		}
		for _, c := range learned.costs {
			costs = addCost(costs, called.times(c))
		}
	}
	return costs
}

// times returns the cost of the calls, given that of one call.
func (m *meanCalls) times(c Cost) Cost {
	return Cost{Service: c.Service, Calls: m.count * c.Calls, SlotTime: time.Duration(m.count * float64(c.SlotTime)), Share: m.share * c.Share}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// addCost adds to the cost of a service. The share is at least that of either part; it is not known
// how many requests use both. A further service is left out if there are MaxServices.
func addCost(costs []Cost, added Cost) []Cost {
	for i := range costs {
		if costs[i].Service == added.Service {
			costs[i].Calls += added.Calls
			costs[i].SlotTime += added.SlotTime
			costs[i].Share = max(costs[i].Share, added.Share)
			return costs
		}
	}
	if len(costs) >= MaxServices {
		return costs
	}
	return append(costs, added)
}

// Wanted reports whether to ask a home of the service for the costs of the route with the next call,
// and records that it was asked.
func (t *Table) Wanted(route, service string) bool {
	if t == nil {
		return false
	}
	now := t.now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	learned := t.learnedFor(key{route, service}, now)
	if learned == nil {
		return false
	}
	learned.use(now)
	if isRecent(learned.at, now, refreshAge) || isRecent(learned.askedAt, now, minAskInterval) {
		return false
	}
	learned.askedAt = now
	return true
}

// use records a use. Figures that were not used for too long are dropped first.
func (l *learnedCosts) use(now time.Time) {
	if now.Sub(l.usedAt) >= unusedAge {
		*l = learnedCosts{}
	}
	l.usedAt = now
}

// isRecent reports whether less than the duration has passed since a time; zero is never recent.
func isRecent(at, now time.Time, duration time.Duration) bool {
	return !at.IsZero() && now.Sub(at) < duration
}

// Merge stores the costs that a home of the service reported for a route. No costs mean that the home
// doesn't know them.
func (t *Table) Merge(route, service string, costs []Cost) {
	if t == nil || len(costs) == 0 {
		return
	}
	now := t.now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	learned := t.learnedFor(key{route, service}, now)
	if learned == nil {
		return
	}
	learned.costs, learned.at = costs, now
	needed := make([]string, 0, len(costs))
	learned.complete = true
	for _, c := range costs {
		learned.complete = learned.complete && c.SlotTime > 0
		if c.Share >= minNeededShare {
			needed = append(needed, c.Service)
		}
	}
	learned.needed = needed
}

// learnedFor returns the figures of a route, which are empty if the route is new, and nil if there are
// too many routes.
func (t *Table) learnedFor(k key, now time.Time) *learnedCosts {
	learned := t.learned[k]
	if learned == nil && t.hasSpace(len(t.learned), now) {
		learned = &learnedCosts{usedAt: now}
		t.learned[k] = learned
	}
	return learned
}

// hasSpace reports whether a further route may be added to count ones. It drops unused routes if
// there are too many.
func (t *Table) hasSpace(count int, now time.Time) bool {
	if count < maxRoutes {
		return true
	}
	if isRecent(t.sweptAt, now, sweepInterval) {
		return false
	}
	t.sweptAt = now
	for route, averages := range t.runs {
		if now.Sub(averages.usedAt) >= unusedAge {
			delete(t.runs, route)
		}
	}
	for k, learned := range t.learned {
		if now.Sub(learned.usedAt) >= unusedAge {
			delete(t.learned, k)
		}
	}
	return len(t.runs) < maxRoutes && len(t.learned) < maxRoutes
}

// Services returns the services that most requests of the route need if the service serves it; nil if
// unknown. The result must not be modified. complete reports whether all homes in the call tree report
// what lies behind them.
func (t *Table) Services(route, service string) (needed []string, complete bool) {
	if t == nil {
		return nil, false
	}
	now := t.now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	learned := t.learned[key{route, service}]
	if learned == nil {
		return nil, false
	}
	learned.use(now)
	if !isRecent(learned.at, now, maxAge) {
		return nil, false
	}
	return learned.needed, learned.complete
}

// Learned calls visit with the reported cost of each route and service.
func (t *Table) Learned(visit func(route string, cost Cost)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for k, learned := range t.learned {
		for _, c := range learned.costs {
			visit(k.route, c)
		}
	}
}
