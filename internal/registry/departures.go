package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/epoch"
)

const (
	// rewritePause is the time between two tries to write a departure again.
	rewritePause = 200 * time.Millisecond
	// heardDelay is how long the store is given to show a departure that a peer told, and
	// heardSpread keeps those who were told from writing it together. Copies hear of changes
	// of the store after up to 0.8 s, for which they are gathered, and the way between nodes.
	heardDelay  = 1300 * time.Millisecond
	heardSpread = 300 * time.Millisecond
	// passOnDelay is after how long such a departure is passed on to the node beside its
	// target, each rewritePause until the store shows it: that may be a process that started
	// since. Most departures are shown before.
	passOnDelay = 300 * time.Millisecond
)

// errNotDue means that others are given more time to write a departure.
var errNotDue = errors.New("the store may show the departure yet")

// departures are the targets that said that they leave, as this node knows them. They are
// facts for as long as they are remembered in the store: one that is missing there, because
// the store came back from a copy, is written again.
type departures struct {
	own string
	now func() time.Time
	// place returns the node's own place in an order of all nodes, false if it has none.
	place func() (int, bool)
	// write writes a departure again, unless it is there, and passOn tells the node beside its
	// target of it.
	write  func(ctx context.Context, departure Departure) error
	passOn func(ctx context.Context, departure Departure)
	wake   chan struct{}

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
	// due is when this node is to pass it on and to write it again, zero if it is not, and
	// writeAt the moment before which it is passed on alone.
	due, writeAt time.Time
	// witnessed tells that peers know it as well.
	witnessed bool
}

func newDepartures(own string, place func() (int, bool), now func() time.Time, write func(context.Context, Departure) error, passOn func(context.Context, Departure)) *departures {
	return &departures{own: own, place: place, now: now, write: write, passOn: passOn, wake: make(chan struct{}, 1), known: make(map[string]*departureFact)}
}

// note takes a departure that the store confirmed to this node.
func (d *departures) note(departure Departure) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.learn(departure)
}

func (d *departures) learn(departure Departure) *departureFact {
	fact := d.known[departure.Instance]
	if fact == nil {
		fact = &departureFact{Departure: departure, learned: d.now()}
		d.known[departure.Instance] = fact
	}
	return fact
}

// heard takes a departure that a peer told, and reports whether it was not known. If the store
// does not show it soon it is written again.
func (d *departures) heard(departure Departure) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.known[departure.Instance] != nil {
		return false
	}
	fact := d.learn(departure)
	fact.due = fact.learned.Add(passOnDelay)
	fact.writeAt = fact.learned.Add(heardDelay + rand.N(heardSpread))
	d.signal()
	return true
}

// isWitnessed reports whether peers were told of a departure.
func (d *departures) isWitnessed(departure Departure) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	fact := d.known[departure.Instance]
	return fact != nil && fact.witnessed
}

// witnessed takes that peers know a departure.
func (d *departures) witnessed(departure Departure) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.learn(departure).witnessed = true
}

// told takes that the store holds a departure.
func (d *departures) told(departure Departure, revision store.Revision) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	fact := d.learn(departure)
	fact.revision = max(fact.revision, revision)
	fact.due = time.Time{}
}

// missing takes that the store doesn't hold a departure at a revision. One that it lost is
// written again, at once if its target is beside this node.
func (d *departures) missing(instance string, revision store.Revision) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	fact := d.known[instance]
	if fact == nil || revision <= fact.revision {
		return
	}
	if fact.revision.Epoch() == revision.Epoch() || d.forgotten(fact) {
		delete(d.known, instance)
		return
	}
	fact.revision = 0
	place, known := d.place()
	switch {
	case fact.Address == d.own:
		fact.due = d.now()
	case known:
		fact.writeAt = d.now().Add(epoch.TakeOverDelay(place))
		fact.due = fact.writeAt
		if place < askedWitnesses {
			// The node beside the target may be a process that read the copy.
			fact.due = d.now()
		}
	}
	d.signal()
}

func (d *departures) forgotten(fact *departureFact) bool {
	return d.now().Sub(fact.learned) >= departureTTL
}

// restored has the departures of targets beside this node be written again, as the store
// came back from a copy that may lack them.
func (d *departures) restored() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, fact := range d.known {
		if fact.Address == d.own && !d.forgotten(fact) {
			fact.due = d.now()
		}
	}
	d.signal()
}

func (d *departures) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run passes on and writes what is due until the context ends.
func (d *departures) run(ctx context.Context) {
	for ctx.Err() == nil {
		fact, wait := d.next()
		if wait > 0 {
			d.await(ctx, wait)
			continue
		}
		d.settle(fact.Instance, d.restate(ctx, fact))
	}
}

// restate passes a departure on and, once others had the time to, writes it again.
func (d *departures) restate(ctx context.Context, fact departureFact) error {
	if fact.Address != d.own {
		d.passOn(ctx, fact.Departure)
	}
	if d.now().Before(fact.writeAt) {
		return errNotDue
	}
	return d.write(ctx, fact.Departure)
}

func (d *departures) await(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-d.wake:
	case <-timer.C:
	}
}

// next returns the departure that is due first, and for how long none is.
func (d *departures) next() (departureFact, time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var first *departureFact
	for _, fact := range d.known {
		if !fact.due.IsZero() && (first == nil || fact.due.Before(first.due)) {
			first = fact
		}
	}
	if first == nil {
		return departureFact{}, departureTTL
	}
	return *first, first.due.Sub(d.now())
}

// settle takes what became of a write.
func (d *departures) settle(instance string, failure error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	fact := d.known[instance]
	switch {
	case fact == nil || fact.due.IsZero():
	case failure != nil:
		fact.due = d.now().Add(rewritePause)
	default:
		fact.due = time.Time{}
	}
}
