package registry

import (
	"context"
	"strings"

	"github.com/lugspur/lugspur/internal/store"
)

// recoverState reads the departures and the last published target from the store. Until it is
// complete no target is reported as ready, except at the first start of the cluster.
func (r *Registrar) recoverState(ctx context.Context) {
	if r.config.FirstStart {
		// Earlier processes acknowledged nothing. The records are still read below, because other
		// nodes may have written some since.
		r.recoverFrom(nil)
	}
	records, err := r.config.Records(ctx)
	if err != nil {
		return
	}
	r.recoverFrom(records)
}

func (r *Registrar) recoverFrom(records []store.Entry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var last *Record
	for _, entry := range records {
		switch {
		case strings.HasPrefix(entry.Key, r.config.DeparturesPrefix):
			departure, err := decodeDeparture(entry, r.config.DeparturesPrefix)
			if err == nil && departure.Address == r.config.Address {
				r.recordDeparture(parseIncarnation(departure.Instance))
			}
		case entry.Key == r.config.HomesPrefix+r.config.Address:
			last = r.recoverRecord(entry)
			r.publisher.setPrevious(entry)
		}
	}
	if !r.recovered {
		r.recovered = true
		close(r.recoveryDone)
	}
	r.adoptTarget(last)
	if last != nil && last.Instance == r.target.Incarnation().String() && !r.target.RateLimit.Limited {
		r.target.RateLimit = last.Announcement()
	}
	r.target.State = max(r.target.State, r.leastState())
	r.notifyChange()
}

// recoverRecord returns the record stored under the node's own address if its description of the
// target can be trusted. An unusable one is ignored. One restored from a backup may describe a target
// that has been replaced since, so the next heartbeat is awaited instead.
func (r *Registrar) recoverRecord(entry store.Entry) *Record {
	record, err := decodeRecord(entry, r.config.HomesPrefix)
	if err != nil {
		return nil
	}
	recorded := parseIncarnation(record.Instance)
	r.recoverOrder(recorded, record.Ended)
	if record.State == Draining {
		// The earlier process may have ended before it stored the departure.
		r.recordDeparture(recorded)
		r.departures.addDue(Departure{Instance: record.Instance, Address: r.config.Address})
	}
	if record.restored(entry.Revision) {
		return nil
	}
	return &record
}

// adoptTarget takes over the target of an earlier process, unless a heartbeat contradicts it. If a
// target that was ready has ended, calls fail to connect or reach another instance, and in neither
// case have they been executed. A departed target is taken over as well, because peers offer it calls
// until its node publishes that it is draining.
func (r *Registrar) adoptTarget(record *Record) {
	if record == nil {
		return
	}
	adopted := parseIncarnation(record.Instance)
	if !r.replacesTarget(adopted) || r.superseded(adopted) {
		return
	}
	r.recordStart(adopted)
	r.target = Target{ID: adopted.ID, StartMillis: adopted.StartMillis, Service: record.Service, Slots: record.Slots, State: r.initialState(adopted)}
}

// replacesTarget reports whether an incarnation that was recovered or has departed is later than the
// current target, which may stem from a delayed heartbeat of an earlier or a departed incarnation.
func (r *Registrar) replacesTarget(incarnation Incarnation) bool {
	current := r.target.Incarnation()
	switch {
	case current.ID == "":
		return true
	case current.ID == incarnation.ID:
		return r.precedes(current, incarnation)
	default:
		return r.departed[current] && !r.departed[incarnation]
	}
}

// initialState returns the state in which an incarnation becomes the node's target.
func (r *Registrar) initialState(incarnation Incarnation) State {
	if r.departed[incarnation] {
		return Draining
	}
	return Ready
}
