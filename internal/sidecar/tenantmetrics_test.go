package sidecar

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/problem"
)

// TestTheBusiestTenantsAreToldByName counts requests of far more tenants than a page may
// tell apart.
func TestTheBusiestTenantsAreToldByName(t *testing.T) {
	c := newTenantCounter()
	for range 3 * namedFrom {
		c.count("busy", "")
	}
	for tenant := range 5000 {
		for range 2 {
			c.count(fmt.Sprint("small-", tenant), problem.LimitReached)
		}
	}
	for tenant := range 2 * namedTenants {
		for range 2 * namedFrom {
			c.count(fmt.Sprint("large-", tenant), "")
		}
	}
	c.count("", problem.Unauthenticated)
	assert.Equal(t, valueOf(t, c, "busy", "admitted"), 2.0*namedFrom+1)
	assert.Equal(t, valueOf(t, c, "", "unauthenticated"), 1.0)
	assert.Equal(t, valueOf(t, c, otherTenant, "limit-reached"), 10000.0)
	lines := make(chan prometheus.Metric, 1000)
	c.requests.Collect(lines)
	// Named tenants, others by two outcomes, and keys that were refused.
	assert.Equal(t, len(lines), namedTenants+3)
}

func valueOf(t *testing.T, c *tenantCounter, tenant, outcome string) float64 {
	t.Helper()
	var line dto.Metric
	assert.NilError(t, c.requests.WithLabelValues(tenant, outcome).Write(&line))
	return line.GetCounter().GetValue()
}
