package sidecar

import (
	"fmt"
	"io"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/content"
	"github.com/lugspur/lugspur/internal/problem"
)

// TestBusiestTenantsGetLabels checks that with far more tenants than labels, the busiest ones
// get the labels and all others are counted together.
func TestBusiestTenantsGetLabels(t *testing.T) {
	c := newTenantCounter()
	for range 3 * tenantLabelThreshold {
		c.count("busy", "")
	}
	for tenant := range 5000 {
		for range 2 {
			c.count(fmt.Sprint("small-", tenant), problem.LimitReached)
		}
	}
	for tenant := range 2 * maxTenantLabels {
		for range 2 * tenantLabelThreshold {
			c.count(fmt.Sprint("large-", tenant), "")
		}
	}
	c.count("", problem.Unauthenticated)
	assert.Equal(t, counterValue(t, c, "busy", "admitted"), 2.0*tenantLabelThreshold+1)
	assert.Equal(t, counterValue(t, c, "", "unauthenticated"), 1.0)
	assert.Equal(t, counterValue(t, c, otherTenant, "limit-reached"), 10000.0)
	lines := make(chan prometheus.Metric, 1000)
	c.requests.Collect(lines)
	// One series for each labeled tenant, two for other tenants, and one for refused API keys.
	assert.Equal(t, len(lines), maxTenantLabels+3)
}

func counterValue(t *testing.T, c *tenantCounter, tenant, outcome string) float64 {
	t.Helper()
	var line dto.Metric
	assert.NilError(t, c.requests.WithLabelValues(tenant, outcome).Write(&line))
	return line.GetCounter().GetValue()
}

// TestFairSharesAreEnabledByExpectedShortage guards against fair shares in deployments that do
// not enable them, and against an estimate that the metrics page does not show.
func TestFairSharesAreEnabledByExpectedShortage(t *testing.T) {
	settings, err := Parse([]byte(renderTemplate(t)))
	assert.NilError(t, err)
	for losses, enabled := range []bool{false, true} {
		settings.Shortage.ZoneLosses = losses
		n, err := New(settings, io.Discard)
		assert.NilError(t, err)
		assert.Equal(t, n.limits.fairShares != nil, enabled)
		if enabled {
			for range 100 {
				n.limits.fairShares.Cohort(content.Key{Tenant: "tenant"}, "route")
			}
		}
		assert.Equal(t, n.largestTenantRate() > 0, enabled)
	}
}
