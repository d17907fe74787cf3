package routing

import (
	"sync/atomic"
	"time"
)

// Candidate is a target of the service.
type Candidate struct {
	// Name is the target's unique name.
	Name string
	// Address is the host and port at which the target takes calls.
	Address string
	// Zone is the zone that the target runs in.
	Zone string
	// HomeNode is the node that admits the target's calls.
	HomeNode string
	// Weight scales the capacity; zero and less count as 1.
	Weight float64
	// Draining marks a target that must get nothing new.
	Draining bool
	// WarmupStart is when the target joined; zero means that it is warm.
	WarmupStart time.Time
	// Slots is how many calls the target can work on at a time; at least 1.
	Slots int
}

// Table is an immutable snapshot of a service's candidates, grouped by zone.
type Table struct {
	zones      []zone
	zoneIndex  map[string]int
	states     map[string]*state
	candidates int
}

// zone is the candidates of one zone that may be picked.
type zone struct {
	name    string
	targets []target
}

// target is a candidate with what Pick needs worked out beforehand.
type target struct {
	candidate Candidate
	state     *state
	// capacity is slots × weight, when warm.
	capacity float64
}

// state is what is learned about a target. It outlives tables.
type state struct {
	outstanding atomic.Int64
	// report is the last load reported by the target's home.
	report atomic.Pointer[report]
}

type report struct {
	load float64
	time time.Time
}

// newTable builds a snapshot, taking over the states of the previous one. The
// states of removed targets stay as long as calls to them are outstanding.
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
	for name, old := range previous.states {
		if _, listed := t.states[name]; !listed && old.outstanding.Load() > 0 {
			t.states[name] = old
		}
	}
	return t
}

func (t *Table) add(candidate Candidate, previous *Table) {
	if _, duplicate := t.states[candidate.Name]; duplicate {
		return
	}
	kept := &state{}
	if previous != nil && previous.states[candidate.Name] != nil {
		kept = previous.states[candidate.Name]
	}
	t.states[candidate.Name] = kept
	t.candidates++
	if candidate.Draining {
		return
	}
	if !(candidate.Weight > 0) {
		candidate.Weight = 1
	}
	candidate.Slots = max(candidate.Slots, 1)
	index, known := t.zoneIndex[candidate.Zone]
	if !known {
		index = len(t.zones)
		t.zoneIndex[candidate.Zone] = index
		t.zones = append(t.zones, zone{name: candidate.Zone})
	}
	t.zones[index].targets = append(t.zones[index].targets, target{
		candidate: candidate,
		state:     kept,
		capacity:  float64(candidate.Slots) * candidate.Weight,
	})
}

// Len returns the number of candidates, draining ones included.
func (t *Table) Len() int { return t.candidates }
