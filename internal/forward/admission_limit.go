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
// requests need.
func (f *Forwarder) admissionLimitOf(route *routetable.Route) admissionLimit {
	limit := admissionLimit{threshold: f.levels.Threshold(route.Name)}
	if !f.shortages.Active() {
		return limit
	}
	if needed := f.neededServicesLimit(route); needed.threshold < limit.threshold {
		return needed
	}
	return limit
}

// neededServicesLimit returns the lowest threshold of the services that requests of the route need.
// Requests of a split route are refused only if they would be whichever service serves them.
func (f *Forwarder) neededServicesLimit(route *routetable.Route) admissionLimit {
	highest, found := admissionLimit{threshold: shed.None}, false
	for i := range route.Services {
		if route.Services[i].Weight <= 0 {
			continue
		}
		lowest := admissionLimit{threshold: shed.None}
		for _, service := range f.costs.Services(route.Name, route.Services[i].Name) {
			if threshold := f.shortages.Threshold(service); threshold < lowest.threshold {
				lowest = admissionLimit{threshold, service}
			}
		}
		if !found || lowest.threshold > highest.threshold {
			highest, found = lowest, true
		}
	}
	return highest
}
