package scale

import (
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// Observations say when nodes learnt what. Times are in microseconds since
// 1970.
type Observations struct {
	// Changes holds, for each revision, when each node took it over.
	Changes map[store.Revision]map[string]int64 `json:"changes"`
	// Deaths holds, for each node that died, when each other node noticed.
	Deaths map[string]map[string]int64 `json:"deaths"`
	// Returns holds when nodes found one that they held dead alive again.
	Returns map[string]map[string]int64 `json:"returns"`
}

func newObservations() Observations {
	return Observations{
		Changes: map[store.Revision]map[string]int64{},
		Deaths:  map[string]map[string]int64{},
		Returns: map[string]map[string]int64{},
	}
}

// merge adds the observations of other nodes.
func (o Observations) merge(other Observations) {
	mergeTimes(o.Changes, other.Changes)
	mergeTimes(o.Deaths, other.Deaths)
	mergeTimes(o.Returns, other.Returns)
}

func mergeTimes[K comparable](into, from map[K]map[string]int64) {
	for key, times := range from {
		for node, at := range times {
			note(into, key, node, at)
		}
	}
}

func note[K comparable](into map[K]map[string]int64, key K, node string, at int64) {
	if into[key] == nil {
		into[key] = map[string]int64{}
	}
	if _, known := into[key][node]; !known {
		into[key][node] = at
	}
}

// recorder collects observations of the nodes of one process. It is safe for
// concurrent use.
type recorder struct {
	mu      sync.Mutex
	on      bool
	current Observations
}

func newRecorder() *recorder { return &recorder{current: newObservations()} }

// start forgets everything and records from now on.
func (r *recorder) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.on = true
	r.current = newObservations()
}

// take returns what was recorded and goes on with nothing.
func (r *recorder) take() Observations {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.current
	r.current = newObservations()
	return taken
}

func (r *recorder) changed(node string, versions []resource.Versioned) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.on {
		return
	}
	for _, version := range versions {
		note(r.current.Changes, version.Revision, node, time.Now().UnixMicro())
	}
}

func (r *recorder) died(node, subject string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.on {
		note(r.current.Deaths, subject, node, time.Now().UnixMicro())
	}
}

func (r *recorder) returned(node, subject string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.on {
		note(r.current.Returns, subject, node, time.Now().UnixMicro())
	}
}
