package sidecar

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lugspur/lugspur/internal/problem"
)

const (
	// maxTenantLabels bounds the number of tenant labels; further tenants are counted under
	// otherTenant. With three outcomes, these are at most 63 lines of the metrics page.
	maxTenantLabels = 20
	otherTenant     = "other"
	// tenantLabelThreshold is the number of requests after which a tenant gets its own
	// label, so that labels go to the busiest tenants.
	tenantLabelThreshold = 100
)

// tenantCounter counts requests by tenant and outcome. It is safe for concurrent use.
type tenantCounter struct {
	requests *prometheus.CounterVec

	mutex   sync.Mutex
	labeled map[string]bool
	// unlabeled counts the requests of tenants without their own label, as long as labels are
	// left.
	unlabeled map[string]int
}

func newTenantCounter() *tenantCounter {
	return &tenantCounter{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "tenant_requests_total",
			Help:      "Requests by tenant and why they were refused by API key or limit, admitted if they were not.",
		}, []string{"tenant", "outcome"}),
		labeled:   make(map[string]bool),
		unlabeled: make(map[string]int),
	}
}

// count counts a request. The tenant is empty if the API key was refused.
func (c *tenantCounter) count(tenant string, reason problem.Reason) {
	outcome := string(reason)
	if outcome == "" {
		outcome = "admitted"
	}
	c.requests.WithLabelValues(c.labelOf(tenant), outcome).Inc()
}

// labelOf counts a request of a tenant and returns the tenant's label.
func (c *tenantCounter) labelOf(tenant string) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if tenant == "" || c.labeled[tenant] {
		return tenant
	}
	if len(c.labeled) >= maxTenantLabels {
		return otherTenant
	}
	if len(c.unlabeled) >= maxUnlabeledTenants {
		clear(c.unlabeled)
	}
	c.unlabeled[tenant]++
	if c.unlabeled[tenant] < tenantLabelThreshold {
		return otherTenant
	}
	c.labeled[tenant] = true
	return tenant
}

// maxUnlabeledTenants bounds the size of tenantCounter.unlabeled.
const maxUnlabeledTenants = 1024
