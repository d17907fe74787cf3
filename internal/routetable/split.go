package routetable

import (
	"math/rand/v2"
	"sync"
)

// Splitter distributes a route's requests over its services in proportion to their
// weights. It uses smooth weighted round-robin with a random start, so that many
// nodes with few requests each do not all start with the same service. It is safe
// for concurrent use.
type Splitter struct {
	mutex  sync.Mutex
	states map[string]*routeState
}

// routeState is the round-robin state of one route. It is reset when the weights change.
type routeState struct {
	services       []WeightedService
	currentWeights []int
}

// maxRouteStates bounds the number of route states; all are reset when one more is needed.
const maxRouteStates = 4096

// Choose returns the service for the route's next request.
func (s *Splitter) Choose(route *Route) string {
	if len(route.Services) == 1 {
		return route.Services[0].Name
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := s.stateFor(route)
	total, best := 0, 0
	for i, service := range state.services {
		state.currentWeights[i] += service.Weight
		total += service.Weight
		if state.currentWeights[i] > state.currentWeights[best] {
			best = i
		}
	}
	state.currentWeights[best] -= total
	return state.services[best].Name
}

func (s *Splitter) stateFor(route *Route) *routeState {
	state := s.states[route.Name]
	if state != nil && sameServices(state.services, route.Services) {
		return state
	}
	if s.states == nil || len(s.states) >= maxRouteStates {
		s.states = make(map[string]*routeState)
	}
	state = &routeState{services: route.Services, currentWeights: randomWeights(route)}
	s.states[route.Name] = state
	return state
}

// randomWeights returns random initial weights whose sum is zero; Choose preserves
// the sum.
func randomWeights(route *Route) []int {
	weights := make([]int, len(route.Services))
	for i, service := range route.Services {
		if service.Weight == 0 {
			continue
		}
		shift := rand.IntN(service.Weight)
		weights[i] += shift
		weights[(i+1)%len(weights)] -= shift
	}
	return weights
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
