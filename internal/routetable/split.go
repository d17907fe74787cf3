package routetable

import (
	"math/rand/v2"
	"sync"
)

// Splitter deals a route's requests to its services in proportion to their
// weights (smooth weighted round-robin with a random start, so that many nodes
// with few requests each do not all begin with the same service). It is safe
// for concurrent use.
type Splitter struct {
	mutex  sync.Mutex
	routes map[string]*rotation
}

// rotation is the state of one route. It starts anew when the weights change.
type rotation struct {
	services []WeightedService
	credit   []int
}

// maxRotations bounds the routes that are remembered; beyond it all start anew.
const maxRotations = 4096

// Choose returns the service that the route's next request goes to.
func (s *Splitter) Choose(route *Route) string {
	if len(route.Services) == 1 {
		return route.Services[0].Name
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.rotationOf(route)
	total, best := 0, 0
	for i, service := range r.services {
		r.credit[i] += service.Weight
		total += service.Weight
		if r.credit[i] > r.credit[best] {
			best = i
		}
	}
	r.credit[best] -= total
	return r.services[best].Name
}

func (s *Splitter) rotationOf(route *Route) *rotation {
	r := s.routes[route.Name]
	if r != nil && sameServices(r.services, route.Services) {
		return r
	}
	if s.routes == nil || len(s.routes) >= maxRotations {
		s.routes = make(map[string]*rotation)
	}
	r = &rotation{services: route.Services, credit: randomCredit(route)}
	s.routes[route.Name] = r
	return r
}

// randomCredit returns a start whose credits add up to zero, as they do after
// every turn.
func randomCredit(route *Route) []int {
	credit := make([]int, len(route.Services))
	for i, service := range route.Services {
		if service.Weight == 0 {
			continue
		}
		shift := rand.IntN(service.Weight)
		credit[i] += shift
		credit[(i+1)%len(credit)] -= shift
	}
	return credit
}

func sameServices(a, b []WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
