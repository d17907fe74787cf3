package fairshare

import (
	"slices"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/content"
)

const (
	// maxTenants, maxRoutes and maxCounters bound the tenants, the routes of each tenant, and
	// the routes of all tenants that an Estimator counts. A counter takes 40 bytes.
	maxTenants  = 10_000
	maxRoutes   = 256
	maxCounters = 40_000
	// evictedShare is the share of the tenants that one eviction removes, so that the search
	// for the least active ones is rare.
	evictedShare = 0.1
	// largestAge is how long ago a tenant may have sent its last request to count as the
	// largest.
	largestAge = 2 * time.Second
)

// Config holds the dependencies of an Estimator.
type Config struct {
	// Nodes returns the number of nodes that serve callers.
	Nodes func() int
	// Demand returns the rate of a tenant over all routes and nodes that the holders of its
	// permits report, in requests a second, and false if it is not known. Nil means that it
	// never is.
	Demand func(tenant string) (rate float64, known bool)
	// Now returns the time; it must contain a monotonic reading.
	Now func() time.Time
}

// Estimator estimates the request rates of tenants over all nodes from the requests that enter
// at one node. It is safe for concurrent use.
type Estimator struct {
	config  Config
	started time.Time

	mutex   sync.Mutex
	tenants map[string]*tenantRates
	// counters is the number of route counters of all tenants.
	counters int
}

// tenantRates holds the rates of one tenant at this node.
type tenantRates struct {
	all    Counter
	routes []routeRate
	// estimate is the last estimate over all routes and nodes, in requests a second.
	estimate float64
}

type routeRate struct {
	name    string
	counter Counter
}

// New returns an estimator that has counted no requests.
func New(config Config) *Estimator {
	if config.Demand == nil {
		config.Demand = func(string) (float64, bool) { return 0, false }
	}
	return &Estimator{config: config, started: config.Now(), tenants: make(map[string]*tenantRates)}
}

// Cohort counts a request, whether or not it is admitted later, and returns its cohort. It must
// be called once for each request.
func (e *Estimator) Cohort(key content.Key, route string) uint8 {
	return CohortOf(PositionOf(key), e.count(key.Tenant, route))
}

// Largest returns the highest estimated rate over all routes and nodes of the tenants that sent
// a request at most largestAge ago, in requests a second; 0 if there is none.
func (e *Estimator) Largest() float64 {
	now := e.elapsed()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	largest := 0.0
	for _, tenant := range e.tenants {
		if time.Duration(now-tenant.all.last) <= largestAge {
			largest = max(largest, tenant.estimate)
		}
	}
	return largest
}

// count counts a request and returns the estimated rate of its tenant on its route.
func (e *Estimator) count(tenant, route string) float64 {
	now, nodes := e.elapsed(), e.config.Nodes()
	demand, known := e.config.Demand(tenant)
	if !known {
		demand = 0
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	rates := e.ratesOf(tenant, now)
	counter := e.counterOf(rates, route)
	all := rates.all.Rate(now)
	rates.estimate = Observation{Route: all, Tenant: all, Nodes: nodes, Demand: demand}.Rate()
	estimate := Observation{Route: counter.Rate(now), Tenant: all, Nodes: nodes, Demand: demand}.Rate()
	rates.all.Add(1, now)
	counter.Add(1, now)
	return estimate
}

// elapsed returns the time since the estimator was created, in nanoseconds, always positive.
func (e *Estimator) elapsed() int64 { return max(int64(e.config.Now().Sub(e.started)), 0) + 1 }

// ratesOf returns the rates of a tenant. It evicts the least active tenants if there is no room
// for those of a new one.
func (e *Estimator) ratesOf(tenant string, now int64) *tenantRates {
	rates := e.tenants[tenant]
	if rates != nil {
		return rates
	}
	if len(e.tenants) >= maxTenants || e.counters+maxRoutes > maxCounters {
		e.evict(now)
	}
	rates = &tenantRates{}
	e.tenants[tenant] = rates
	return rates
}

// counterOf returns the counter of a route. If the tenant has maxRoutes of them, it replaces
// the one that was idle for longest.
func (e *Estimator) counterOf(rates *tenantRates, route string) *Counter {
	oldest := 0
	for i := range rates.routes {
		candidate := &rates.routes[i]
		if candidate.name == route {
			return &candidate.counter
		}
		if candidate.counter.last < rates.routes[oldest].counter.last {
			oldest = i
		}
	}
	if len(rates.routes) >= maxRoutes || len(rates.routes) > 0 && e.counters >= maxCounters {
		rates.routes[oldest] = routeRate{name: route}
		return &rates.routes[oldest].counter
	}
	e.counters++
	rates.routes = append(rates.routes, routeRate{name: route})
	return &rates.routes[len(rates.routes)-1].counter
}

// evict removes the least active tenants, at least one.
func (e *Estimator) evict(now int64) {
	active := make([]float64, 0, len(e.tenants))
	for _, rates := range e.tenants {
		active = append(active, rates.all.Rate(now))
	}
	slices.Sort(active)
	remaining := int(float64(len(active))*evictedShare) + 1
	limit := active[remaining-1]
	for name, rates := range e.tenants {
		if remaining > 0 && rates.all.Rate(now) <= limit {
			e.counters -= len(rates.routes)
			delete(e.tenants, name)
			remaining--
		}
	}
}
