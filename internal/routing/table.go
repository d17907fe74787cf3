package routing

import (
	"sync/atomic"
	"time"
)

// Candidate describes a target of the service.
type Candidate struct {
	// Name is the target's unique name.
	Name string
	// Address is the host and port on which the target accepts calls.
	Address string
	// Zone is the zone that the target runs in.
	Zone string
	// HomeNode is the node that admits the target's calls.
	HomeNode string
	// Weight scales the capacity. Values that are not positive count as 1.
	Weight float64
	// Draining marks a target that must not get new calls.
	Draining bool
	// WarmupStart is when the target's warm-up started. Zero means that the target is
	// warm.
	WarmupStart time.Time
	// Slots is the number of calls that the target can process concurrently; at least
	// 1.
	Slots int
}

// Table is an immutable snapshot of a service's candidates, grouped by zone.
type Table struct {
	zones      []zone
	zoneIndex  map[string]int
	states     map[string]*state
	candidates int
}

// zone holds the candidates of one zone, without draining ones.
type zone struct {
	name    string
	targets []target
}

// target is a candidate with values precomputed for Pick.
type target struct {
	candidate Candidate
	state     *state
	// capacity is the capacity after warm-up: slots × weight.
	capacity float64
}

// state is the mutable state of a target, which successive tables share.
type state struct {
	outstanding atomic.Int64
	// report is the last load report of the target's home node.
	report atomic.Pointer[report]
}

// report is a load report of a target's home node.
type report struct {
	load float64
	time time.Time
}

// newTable builds a snapshot that reuses the states of the previous one. The states
// of removed targets are kept while calls to them are outstanding.
func newTable(candidates []Candidate, previous *Table) *Table {
	t := &Table{
		zoneIndex: make(map[string]int),
		states:    make(map[string]*state, len(candidates)),
	}
	for _, candidate := range candidates {
		t.add(candidate, previous)
	}
	if previous == nil {
		return t
	}
	for name, previousState := range previous.states {
		if _, listed := t.states[name]; !listed && previousState.outstanding.Load() > 0 {
			t.states[name] = previousState
		}
	}
	return t
}

func (t *Table) add(candidate Candidate, previous *Table) {
	if _, duplicate := t.states[candidate.Name]; duplicate {
		return
	}
	current := &state{}
	if previous != nil && previous.states[candidate.Name] != nil {
		current = previous.states[candidate.Name]
	}
	t.states[candidate.Name] = current
	t.candidates++
	if candidate.Draining {
		return
	}
	if !(candidate.Weight > 0) {
		candidate.Weight = 1
	}
	candidate.Slots = max(candidate.Slots, 1)
	index, exists := t.zoneIndex[candidate.Zone]
	if !exists {
		index = len(t.zones)
		t.zoneIndex[candidate.Zone] = index
		t.zones = append(t.zones, zone{name: candidate.Zone})
	}
	t.zones[index].targets = append(t.zones[index].targets, target{
		candidate: candidate,
		state:     current,
		capacity:  float64(candidate.Slots) * candidate.Weight,
	})
}

// Len returns the number of candidates, draining ones included.
func (t *Table) Len() int { return t.candidates }
