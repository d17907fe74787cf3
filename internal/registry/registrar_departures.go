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

// Depart handles a target's notice that it is shutting down. A notice without a start time
// refers to the latest known incarnation.
func (r *Registrar) Depart(ctx context.Context, id string, startMillis int64) error {
	incarnation := Incarnation{ID: id, StartMillis: startMillis}
	if startMillis == 0 {
		// An earlier process may have known a later incarnation.
		if err := r.awaitRecovered(ctx); err != nil {
			return r.logUnacknowledged(incarnation, fmt.Errorf("learn which start of %s leaves: %w", id, err))
		}
	}
	if err := r.markGone(&incarnation); err != nil {
		return r.logUnacknowledged(incarnation, err)
	}
	return r.persistDeparture(ctx, incarnation)
}

// errAmbiguousIncarnation means that a notice without a start time may be a delayed one of an
// earlier incarnation that announced its departure, or may concern the current one.
// Acknowledging it would require marking both as departed, although the current one may still be
// running.
var errAmbiguousIncarnation = errors.New("the notice does not tell which start leaves")

// markGone moves the incarnation of a notice to Gone. It fills in a missing start time.
func (r *Registrar) markGone(incarnation *Incarnation) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.messageReceived(*incarnation)
	if incarnation.StartMillis == 0 {
		if returning, found := r.returningStart(incarnation.ID); found {
			r.reinstate(returning)
		}
		leaving, announced := r.leaving[incarnation.ID]
		if announced && leaving.startMillis < r.latestStart[incarnation.ID] && r.now().Sub(leaving.since) < ambiguousNoticeWindow {
			return errAmbiguousIncarnation
		}
		incarnation.StartMillis = r.latestStart[incarnation.ID]
	} else if r.isDisputed(*incarnation) {
		if !r.hasReturned(*incarnation) {
			return errAmbiguousIncarnation
		}
		r.reinstate(*incarnation)
	}
	if r.leaving[incarnation.ID].startMillis == incarnation.StartMillis {
		delete(r.leaving, incarnation.ID)
	}
	r.markDeparted(*incarnation, Gone)
	return nil
}

// isDisputed reports whether a notice names a start that seems to have ended, and that was not seen
// to be followed by another. The notice may be a delayed one, or that of the running start.
func (r *Registrar) isDisputed(incarnation Incarnation) bool {
	return r.superseded(incarnation) && !r.departed[incarnation] && !r.ended[incarnation]
}

// TargetLeaving handles a target's announcement, in a response, that it is leaving. The target
// gets no new work from now on, whatever its heartbeats report. The departure is made durable in
// the background, as nobody waits for an acknowledgement.
func (r *Registrar) TargetLeaving(ctx context.Context, incarnation Incarnation) {
	r.mutex.Lock()
	r.recordLeaving(incarnation)
	r.markDeparted(incarnation, Draining)
	r.mutex.Unlock()
	departure := Departure{Instance: incarnation.String(), Address: r.config.Address}
	r.departures.addDue(departure)
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	r.replicateDeparture(ctx, departure)
}

// awaitRecovered waits until the departures acknowledged by earlier processes are known, at
// most for as long as an acknowledgement is still useful.
func (r *Registrar) awaitRecovered(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	select {
	case <-r.recoveryDone:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ackTimeout bounds the time for making a departure durable. Targets ignore acknowledgements
// that take longer than a second.
const ackTimeout = 900 * time.Millisecond

// markDeparted records a departure and advances the target if it is that incarnation or an earlier one.
func (r *Registrar) markDeparted(incarnation Incarnation, state State) {
	r.recordDeparture(incarnation)
	reached := r.leastState()
	if r.target.Incarnation() == incarnation {
		reached = max(reached, state)
	}
	if r.target.State < reached {
		r.target.State = reached
		r.notifyChange()
	}
}

// recordLeaving records that a running incarnation is leaving. Its notice that it ends follows.
func (r *Registrar) recordLeaving(incarnation Incarnation) {
	known, found := r.leaving[incarnation.ID]
	if found && known.startMillis >= incarnation.StartMillis {
		return
	}
	r.leaving[incarnation.ID] = leavingTarget{startMillis: incarnation.StartMillis, since: r.now()}
}

// recordDeparture records that an incarnation receives no new work.
func (r *Registrar) recordDeparture(incarnation Incarnation) {
	r.departed[incarnation] = true
	r.recordStart(incarnation)
}

// leastState returns the earliest state that the target can be in according to the known departures
// and starts.
func (r *Registrar) leastState() State {
	current := r.target.Incarnation()
	switch {
	case r.superseded(current):
		return Gone
	case r.departed[current]:
		return Draining
	default:
		return Absent
	}
}

// persistDeparture stores a target's departure and notifies peers of it, so that later processes
// on this machine learn of it even if the store loses it.
func (r *Registrar) persistDeparture(ctx context.Context, incarnation Incarnation) error {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	departure := Departure{Instance: incarnation.String(), Address: r.config.Address}
	key, value := r.departureKey(departure), encode(departure)
	repeated := r.foregroundWriter.isWritten(key)
	var replication sync.WaitGroup
	replication.Go(func() { r.replicateDeparture(ctx, departure) })
	err := r.foregroundWriter.write(ctx, key, value)
	replication.Wait()
	if err != nil {
		return r.logUnacknowledged(incarnation, fmt.Errorf("make departure of %s durable: %w", incarnation, err))
	}
	r.departures.add(departure)
	if repeated {
		r.renewDeparture(ctx, departure)
	}
	return nil
}

// renewDeparture keeps a departure stored while its target still sends heartbeats.
func (r *Registrar) renewDeparture(ctx context.Context, departure Departure) {
	err := r.foregroundWriter.renew(ctx, r.departureKey(departure), encode(departure))
	if err != nil {
		r.log.Record(eventlog.Event{Kind: eventlog.RecordRewritten, Target: departure.Instance, Outcome: fmt.Sprintf("renew departure: %v", err)})
	}
}

// logUnacknowledged logs why a notice is not acknowledged, and returns the error.
func (r *Registrar) logUnacknowledged(incarnation Incarnation, err error) error {
	r.log.Record(eventlog.Event{Kind: eventlog.HeartbeatRefused, Target: incarnation.String(), Reason: err.Error()})
	return err
}

func (r *Registrar) departureKey(departure Departure) string {
	return r.config.DeparturesPrefix + departure.Instance
}

// handleDepartureEntry processes a stored departure or its deletion.
func (r *Registrar) handleDepartureEntry(instance string, entry store.Entry) {
	if entry.Deleted {
		r.foregroundWriter.forget(entry.Key)
		r.backgroundWriter.forget(entry.Key)
		r.departures.markMissing(instance, entry.Revision)
		return
	}
	departure, err := decodeDeparture(entry, r.config.DeparturesPrefix)
	if err != nil {
		r.log.Record(eventlog.Event{Kind: eventlog.RecordRejected, Peer: entry.Key, Reason: err.Error()})
		r.foregroundWriter.forget(entry.Key)
		r.backgroundWriter.forget(entry.Key)
		r.departures.markOverwritten(instance, entry.Revision)
		return
	}
	r.departures.markStored(departure, entry.Revision)
	r.applyDeparture(departure)
}

// rewriteDeparture writes a departure again that the store lost, or that a peer reported and
// the store has not shown since.
func (r *Registrar) rewriteDeparture(ctx context.Context, departure Departure) error {
	ctx, cancel := context.WithTimeout(ctx, rewriteTimeout)
	defer cancel()
	outcome := "written again"
	err := r.backgroundWriter.write(ctx, r.departureKey(departure), encode(departure))
	if err != nil {
		outcome = err.Error()
	}
	r.log.Record(eventlog.Event{Kind: eventlog.RecordRewritten, Target: departure.Instance, Outcome: outcome})
	return err
}

const (
	// rewriteTimeout bounds one attempt to rewrite a departure, as others may be due too.
	rewriteTimeout = time.Second
	// rewriteSpacing is the delay between the record writes of consecutive nodes after a
	// restore. Each node makes two write calls: with 2.5 ms the fleet makes 800 calls a second,
	// which is below the capacity of stores of large fleets, and 300 nodes finish after 0.8 s,
	// before a missing record is treated as that of a lost node.
	rewriteSpacing = 2500 * time.Microsecond
)

// HandleStoreRestored handles a restore of the store from a backup. Everything that this node
// wrote after the backup is lost, including its lease: departures are written again immediately,
// and the node's record after them.
func (r *Registrar) HandleStoreRestored() {
	position, _ := r.config.Position()
	r.publisher.delayWrites(time.Duration(position) * rewriteSpacing)
	r.departures.rewriteOwn()
	r.starts.handleStoreRestored()
}
