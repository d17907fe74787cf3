package memorybudget

import (
	"sync"
	"sync/atomic"
)

const (
	// responseWeight is the weight of one response in the usual size.
	responseWeight = 0.25
	// maxRoutes bounds the number of routes with a usual size.
	maxRoutes = 256
)

// ResponseSizes holds the usual size of responses by route: a moving average that begins with the
// first response. It is safe for concurrent use.
type ResponseSizes struct {
	routes sync.Map // of string to *atomic.Int64
	count  atomic.Int64
}

// usual returns the usual size of the route's responses, zero if it is unknown.
func (s *ResponseSizes) usual(route string) int64 {
	size, known := s.routes.Load(route)
	if !known {
		return 0
	}
	return size.(*atomic.Int64).Load()
}

// record adds the size of a response. An update that runs concurrently with another one may be
// lost.
func (s *ResponseSizes) record(route string, bytes int64) {
	known, found := s.routes.Load(route)
	if !found {
		s.add(route, bytes)
		return
	}
	size := known.(*atomic.Int64)
	average := size.Load()
	size.Store(average + int64(responseWeight*float64(bytes-average)))
}

// add adds a route. Once there are too many, all others are removed.
func (s *ResponseSizes) add(route string, bytes int64) {
	if s.count.Add(1) > maxRoutes {
		s.routes.Clear()
		s.count.Store(1)
	}
	size := new(atomic.Int64)
	size.Store(bytes)
	s.routes.Store(route, size)
}
