package registry

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

const (
	// takeOverAfter is how long the node beside a target that left is given to write its
	// departure again after a store that came back from a copy had lost it. Others hear of
	// it after up to 0.8 s, for which changes are gathered, and the way between nodes.
	takeOverAfter = 1200 * time.Millisecond
	// takeOverSpacing is by how much later each node than the one before it in the order of
	// nodes does so in its place, so that one at a time tries.
	takeOverSpacing = 150 * time.Millisecond
)

// departures are the targets that said that they leave, as this node knows them. They are
// facts for as long as they are remembered in the store: one that is missing there, because
// the store came back from a copy, is written again.
type departures struct {
	own   string
	now   func() time.Time
	write func(departure Departure) error

	mutex sync.Mutex
	known map[string]*departureFact
}

// departureFact is a departure that this node knows of.
type departureFact struct {
	Departure
	// learned is when it was first known, and revision that of its entry, zero if the
	// store does not hold it as far as is known.
	learned  time.Time
	revision store.Revision
}

func newDepartures(own string, now func() time.Time, write func(Departure) error) *departures {
	return &departures{own: own, now: now, write: write, known: make(map[string]*departureFact)}
}

// note takes a departure that the store confirmed to this node.
func (d *departures) note(departure Departure) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.known[departure.Instance] == nil {
		d.known[departure.Instance] = &departureFact{Departure: departure, learned: d.now()}
	}
}

// told takes that the store holds a departure.
func (d *departures) told(departure Departure, revision store.Revision) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	fact := d.known[departure.Instance]
	if fact == nil {
		fact = &departureFact{Departure: departure, learned: d.now()}
		d.known[departure.Instance] = fact
	}
	fact.revision = max(fact.revision, revision)
}

// missing takes that the store doesn't hold a departure at a revision. It returns it if the
// store lost it and this node should see to it.
func (d *departures) missing(instance string, revision store.Revision) (Departure, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	fact := d.known[instance]
	if fact == nil || revision <= fact.revision {
		return Departure{}, false
	}
	lost := fact.revision.Epoch() < revision.Epoch() && d.now().Sub(fact.learned) < departureTTL
	if !lost {
		delete(d.known, instance)
		return Departure{}, false
	}
	fact.revision = 0
	return fact.Departure, true
}

// lost reports whether the store is still not known to hold the departure.
func (d *departures) lost(instance string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	fact := d.known[instance]
	return fact != nil && fact.revision == 0
}

// ownFacts returns the departures of targets beside this node.
func (d *departures) ownFacts() []Departure {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var own []Departure
	for _, fact := range d.known {
		if fact.Address == d.own && d.now().Sub(fact.learned) < departureTTL {
			own = append(own, fact.Departure)
		}
	}
	return own
}

// takeOver writes a departure of another node's target again unless that node, or one that
// comes first, does so before.
func (d *departures) takeOver(ctx context.Context, departure Departure, place int) {
	pause(ctx, takeOverAfter+time.Duration(place)*takeOverSpacing)
	for ctx.Err() == nil && d.lost(departure.Instance) {
		if d.write(departure) == nil {
			return
		}
		pause(ctx, takeOverAfter)
	}
}
