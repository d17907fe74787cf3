package sidecar

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lugspur/lugspur/internal/problem"
)

const (
	// namedTenants bounds the tenants that metrics tell apart; all others are counted
	// under otherTenant. With the three outcomes that is at most 63 lines of a page.
	namedTenants = 20
	otherTenant  = "other"
	// namedFrom is the number of requests from which a tenant is told by name, so that
	// the busiest are.
	namedFrom = 100
)

// tenantCounter counts the requests of tenants by outcome. It is safe for concurrent use.
type tenantCounter struct {
	requests *prometheus.CounterVec

	mutex sync.Mutex
	named map[string]bool
	// pending counts the requests of tenants that have no name yet, while there is room.
	pending map[string]int
}

func newTenantCounter() *tenantCounter {
	return &tenantCounter{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "tenant_requests_total",
			Help:      "Requests by tenant and why they were refused by API key or limit, admitted if they were not.",
		}, []string{"tenant", "outcome"}),
		named:   make(map[string]bool),
		pending: make(map[string]int),
	}
}

// count counts a request. The tenant is empty where the API key was refused.
func (c *tenantCounter) count(tenant string, reason problem.Reason) {
	outcome := string(reason)
	if outcome == "" {
		outcome = "admitted"
	}
	c.requests.WithLabelValues(c.nameOf(tenant), outcome).Inc()
}

func (c *tenantCounter) nameOf(tenant string) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if tenant == "" || c.named[tenant] {
		return tenant
	}
	if len(c.named) >= namedTenants {
		return otherTenant
	}
	if len(c.pending) >= maxPending {
		clear(c.pending)
	}
	c.pending[tenant]++
	if c.pending[tenant] < namedFrom {
		return otherTenant
	}
	c.named[tenant] = true
	return tenant
}

// maxPending bounds the tenants that are counted before they have a name.
const maxPending = 1024
