package forward

import (
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/shed"
)

// admissionLimit is the threshold that applies to requests that enter at this node, and its source.
type admissionLimit struct {
	// threshold is the lowest rank key that is refused; shed.None refuses nothing.
	threshold uint16
	// service is the service without capacity, empty if the route's own threshold applies.
	service string
}

// String describes the source of the limit.
func (l admissionLimit) String() string {
	if l.service == "" {
		return "the chain of calls has no room"
	}
	return "service " + l.service + " has no room"
}

// admissionLimitOf returns the lower of the route's own threshold and those of the services that its
// requests need. The route's own threshold passes one home after another and may be some seconds old,
// so that it counts only if the services' thresholds don't show the whole state.
func (f *Forwarder) admissionLimitOf(route *routetable.Route) admissionLimit {
	limit := admissionLimit{threshold: f.levels.Threshold(route.Name)}
	if !f.shortages.Active() {
		return limit
	}
	needed, whole := f.routeNeedsLimit(route)
	if needed.threshold < limit.threshold || whole {
		return needed
	}
	return limit
}

// routeNeedsLimit returns the lowest threshold of the services that requests of the route need, and
// whether it shows the whole state. Requests of a split route are refused only if they would be
// whichever service serves them.
func (f *Forwarder) routeNeedsLimit(route *routetable.Route) (limit admissionLimit, whole bool) {
	limit, whole = admissionLimit{threshold: shed.None}, true
	first := true
	for i := range route.Services {
		if route.Services[i].Weight <= 0 {
			continue
		}
		lowest, lowestWhole := f.serviceNeedsLimit(route.Name, route.Services[i].Name)
		if first || lowest.threshold > limit.threshold {
			limit = lowest
		}
		first, whole = false, whole && lowestWhole
	}
	return limit, whole
}

// serviceNeedsLimit is routeNeedsLimit for requests that one service serves. The thresholds show the
// whole state if all homes in the call tree report, those of at least one service have done so
// recently, and no service is reported on by a part of its homes only.
func (f *Forwarder) serviceNeedsLimit(route, service string) (limit admissionLimit, whole bool) {
	limit = admissionLimit{threshold: shed.None}
	needed, complete := f.costs.Services(route, service)
	partly := false
	for _, name := range needed {
		if threshold := f.shortages.Threshold(name); threshold < limit.threshold {
			limit = admissionLimit{threshold, name}
		}
		reported, covered := f.shortages.Coverage(name)
		whole = whole || covered
		partly = partly || reported && !covered
	}
	return limit, complete && whole && !partly
}
