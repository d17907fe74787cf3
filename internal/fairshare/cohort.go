package fairshare

import (
	"math"

	"github.com/lugspur/lugspur/internal/content"
	"github.com/lugspur/lugspur/internal/criticality"
)

// maxRate is the product of position and rate, in requests a second, from which on all requests
// have the last cohort. The first cohort ends at 1.
const maxRate = 1000.0

// CohortOf returns the cohort of a request with the position, in [0, 1), of a tenant with the
// rate in requests a second. The cohort is a logarithmic function of their product, the same on
// all nodes: one cohort is a factor of 1.055. A rate that is unknown, 0, has the first cohort.
func CohortOf(position, rate float64) uint8 {
	product := position * rate
	if !(product > 1) {
		return 0
	}
	cohort := math.Log(product) / math.Log(maxRate) * criticality.CohortCount
	return uint8(min(cohort, criticality.CohortCount-1))
}

// mantissaBits is the number of bits of a hash that a float64 represents exactly.
const mantissaBits = 53

// PositionOf returns a hash of the content, uniform in [0, 1). It is the same on all nodes.
func PositionOf(key content.Key) float64 {
	return float64(key.Hash("", 0)>>(64-mantissaBits)) / (1 << mantissaBits)
}

// Observation is what a node knows about the rate of a tenant on a route.
type Observation struct {
	// Route and Tenant are the rates that the node itself counts, in requests a second: of the
	// tenant on the route, and of the tenant on all routes.
	Route, Tenant float64
	// Nodes is the number of nodes that serve callers.
	Nodes int
	// Demand is the rate of the tenant on all routes and nodes that the holders of its permits
	// report, in requests a second. It is 0 if it is not known.
	Demand float64
}

// Rate returns the estimated rate of the tenant on the route over all nodes, in requests a
// second: the greater of the node's own count times the number of nodes, and the demand that
// holders report times the share of the route in the node's own count.
func (o Observation) Rate() float64 {
	own := o.Route * float64(max(o.Nodes, 1))
	if !(o.Tenant > 0) {
		return own
	}
	return max(own, o.Demand*min(o.Route/o.Tenant, 1))
}
