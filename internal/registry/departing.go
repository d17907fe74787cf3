package registry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/store"
)

// Depart takes the notice that a target leaves. One that does not tell its start is of the
// latest that is known.
func (r *Registrar) Depart(ctx context.Context, id string, born int64) error {
	start := Incarnation{ID: id, Born: born}
	if born == 0 {
		// Which start this is about an earlier process may know.
		if err := r.awaitRecovered(ctx); err != nil {
			return r.unacknowledged(start, fmt.Errorf("learn which start of %s leaves: %w", id, err))
		}
	}
	if err := r.end(&start); err != nil {
		return r.unacknowledged(start, err)
	}
	return r.makeDurable(ctx, start)
}

// errWhichStart means that a notice may be a late one of an earlier start that said that it
// leaves, or of the present one. Acknowledged, it would have to bind either.
var errWhichStart = errors.New("the notice does not tell which start leaves")

// end moves the start on that a notice is about, which is completed where it tells none.
func (r *Registrar) end(start *Incarnation) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if start.Born == 0 {
		leaving, found := r.leaving[start.ID]
		if found && leaving.born < r.newest[start.ID] && r.now().Sub(leaving.since) < leavingTime {
			return errWhichStart
		}
		start.Born = r.newest[start.ID]
	}
	if r.leaving[start.ID].born == start.Born {
		delete(r.leaving, start.ID)
	}
	r.learnStart(*start)
	r.depart(*start, Gone)
	return nil
}

// awaitRecovered waits until it is known what earlier processes acknowledged, for as long as
// an acknowledgement is of use.
func (r *Registrar) awaitRecovered(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	select {
	case <-r.recoveredOnce:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ackTimeout bounds the time for making a departure durable. The target takes
// no acknowledgement that comes later than a second.
const ackTimeout = 900 * time.Millisecond

// depart moves the target forward to a state in which it gets no new work.
func (r *Registrar) depart(start Incarnation, state State) {
	r.departed[start] = true
	if r.target.Incarnation() == start && r.target.State < state {
		r.target.State = state
		r.changed()
	}
}

// makeDurable writes the departure of a target and tells peers of it, so that it binds
// later processes on this machine, also where the store loses it.
func (r *Registrar) makeDurable(ctx context.Context, start Incarnation) error {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	departure := Departure{Instance: start.String(), Address: r.config.Address}
	var telling sync.WaitGroup
	telling.Go(func() { r.awaitWitnesses(ctx, departure) })
	err := r.departing.write(ctx, r.keyOf(departure), encode(departure))
	telling.Wait()
	if err == nil {
		r.facts.note(departure)
	} else {
		err = r.unacknowledged(start, fmt.Errorf("make departure of %s durable: %w", start, err))
	}
	return err
}

// unacknowledged logs why a notice gets no acknowledgement.
func (r *Registrar) unacknowledged(start Incarnation, err error) error {
	r.log.Record(eventlog.Event{Kind: eventlog.HeartbeatRefused, Target: start.String(), Reason: err.Error()})
	return err
}

func (r *Registrar) keyOf(departure Departure) string {
	return r.config.DeparturesPrefix + departure.Instance
}

// departureChanged takes what the store holds of a departure.
func (r *Registrar) departureChanged(instance string, entry store.Entry) {
	if entry.Deleted {
		r.facts.missing(instance, entry.Revision)
		return
	}
	departure, err := decodeDeparture(entry)
	if err != nil {
		r.log.Record(eventlog.Event{Kind: eventlog.RecordRejected, Peer: entry.Key, Reason: err.Error()})
		return
	}
	r.facts.told(departure, entry.Revision)
	r.bind(departure)
}

// rewrite writes a departure again that the store lost, or has not shown since a peer told of
// it.
func (r *Registrar) rewrite(ctx context.Context, lost Departure) error {
	ctx, cancel := context.WithTimeout(ctx, rewriteTimeout)
	defer cancel()
	outcome := "written again"
	err := r.rewriting.write(ctx, r.keyOf(lost), encode(lost))
	if err != nil {
		outcome = err.Error()
	}
	r.log.Record(eventlog.Event{Kind: eventlog.RecordRewritten, Target: lost.Instance, Outcome: outcome})
	return err
}

const (
	// rewriteTimeout bounds one try to write a departure again, as others may be due too.
	rewriteTimeout = time.Second
	// rewriteSpacing is by how much later each node than the one before it in the order of
	// nodes writes its record again. Each needs two writing calls: with 2.5 ms the fleet
	// makes 800 a second, less than stores of large fleets take, and 300 nodes are done
	// after 0.8 s, before a missing record is taken to be that of a node that is gone.
	rewriteSpacing = 2500 * time.Microsecond
)

// HandleStoreRestored takes that the store came back from a copy. What this node wrote since the
// copy was made is gone, and so is its lease: departures are written again at once, and its
// record after them.
func (r *Registrar) HandleStoreRestored() {
	place, _ := r.config.Place()
	r.publisher.delay(time.Duration(place) * rewriteSpacing)
	r.facts.restored()
}
