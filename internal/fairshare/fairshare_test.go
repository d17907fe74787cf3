package fairshare

import (
	"math"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/content"
)

// TestCohortRisesWithRate guards against cohorts that differ between nodes or leave the range of
// a level, also for rates that make no sense.
func TestCohortRisesWithRate(t *testing.T) {
	for _, c := range []struct {
		position, rate float64
		want           uint8
	}{{0.99, 0, 0}, {0.99, 0.9, 0}, {0, 1e9, 0}, {0.5, 2, 0}, {1, 10, 42}, {0.1, 100, 42}, {1, 100, 85}, {0.9999, 1000, 127}, {0.9, 1e5, 127},
		{0.5, math.Inf(1), 127}, {0.5, math.NaN(), 0}, {0.5, -1, 0}} {
		assert.Equal(t, CohortOf(c.position, c.rate), c.want, "%v", c)
	}
}

// TestPositionDependsOnContent guards against a position that is not uniform, or that does not
// depend on a part of the content.
func TestPositionDependsOnContent(t *testing.T) {
	key := content.Key{Method: "GET", Host: "a", URI: "/b", Tenant: "c"}
	for _, other := range []content.Key{{Method: "PUT", Host: "a", URI: "/b", Tenant: "c"}, {Method: "GET", Host: "x", URI: "/b", Tenant: "c"},
		{Method: "GET", Host: "a", URI: "/x", Tenant: "c"}, {Method: "GET", Host: "a", URI: "/b", Tenant: "x"}, {Method: "GET", Host: "a/b", Tenant: "c"}} {
		assert.Assert(t, PositionOf(key) != PositionOf(other), "%v", other)
	}
	const count = 10_000
	below := 0.0
	for i := range count {
		if PositionOf(content.Key{URI: strconv.Itoa(i)}) < 0.3 {
			below++
		}
	}
	assert.Assert(t, math.Abs(below/count-0.3) < 0.02, "%v", below)
}

// TestRateIsGreaterEstimate guards against a tenant that is underestimated where one of the two
// inputs is missing or malformed.
func TestRateIsGreaterEstimate(t *testing.T) {
	for observation, want := range map[Observation]float64{
		{Route: 2, Tenant: 4, Nodes: 70}:              140,
		{Route: 2, Tenant: 4, Nodes: 70, Demand: 600}: 300,
		{Route: 2, Tenant: 4, Nodes: 70, Demand: 10}:  140,
		{Nodes: 70, Demand: 600}:                      0,
		{Route: 3, Tenant: 3}:                         3,
	} {
		assert.Equal(t, observation.Rate(), want, "%v", observation)
	}
}

// TestStateIsBounded guards against memory that grows with the names of tenants and routes, and
// against the eviction of an active tenant.
func TestStateIsBounded(t *testing.T) {
	now := time.Now()
	e := New(Config{Nodes: func() int { return 10 }, Now: func() time.Time { return now }})
	for i := range 3 * maxTenants {
		now = now.Add(10 * time.Microsecond)
		e.Cohort(content.Key{Tenant: strconv.Itoa(i)}, "route")
		e.Cohort(content.Key{Tenant: "busy"}, "route")
		e.Cohort(content.Key{Tenant: "many routes"}, strconv.Itoa(i))
	}
	assert.Assert(t, len(e.tenants) <= maxTenants && e.counters <= maxCounters, "%d, %d", len(e.tenants), e.counters)
	assert.Assert(t, len(e.tenants["many routes"].routes) <= maxRoutes)
	assert.Assert(t, e.tenants["busy"].all.weight > maxTenants/10)
	assert.Assert(t, e.Largest() > 100*1000, "%v", e.Largest())
	now = now.Add(largestAge + time.Second)
	assert.Equal(t, e.Largest(), 0.0)
}

// BenchmarkCohort measures a request of one of 79 tenants on one of four routes.
func BenchmarkCohort(b *testing.B) {
	e := New(Config{Nodes: func() int { return 70 }, Now: time.Now})
	names := make([]string, 79)
	for i := range names {
		names[i] = "tenant-" + strconv.Itoa(i)
	}
	routes := []string{"browse", "lookup", "deposit", "download"}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e.Cohort(content.Key{Method: "GET", Host: "archive.example", URI: "/transcripts/lookup?id=12345678", Tenant: names[i%len(names)]}, routes[i%len(routes)])
	}
}
