package registry

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/store"
)

// RegistrarConfig describes the node and where its records lie.
type RegistrarConfig struct {
	// Zone and Address are the node's, as peers see it.
	Zone, Address string
	// Process tells this process from earlier ones at the address.
	Process          uint32
	HomesPrefix      string
	DeparturesPrefix string
	// OnTargetChange is told each new state of the target, in order.
	OnTargetChange func(Target)
	// OnRefused is told why a heartbeat was turned away; it may be nil.
	OnRefused func(reason RefusalReason)
	// FirstStart tells that there was no earlier process on any machine.
	FirstStart bool
	// Records returns the entries under both prefixes as they were at a moment
	// after the process started, once that is known.
	Records func(ctx context.Context) ([]store.Entry, error)
	// Epoch returns the newest epoch of the store that is known; nil is the first.
	Epoch func() store.Epoch
	// Place returns the node's own place in an order of all nodes, false if it has none; it
	// may be nil.
	Place func() (int, bool)
	// Peers tells other nodes of departures. Without functions nobody is told.
	Peers Peers
}

// Stores are the store, one for each purpose of the registrar's calls.
type Stores struct {
	// Record takes the node's own record, and Departure those of targets that
	// leave.
	Record, Departure store.Store
}

// Registrar keeps the state of the target beside the node. It is safe for
// concurrent use.
type Registrar struct {
	config    RegistrarConfig
	log       *eventlog.Log
	now       func() time.Time
	publisher *publisher
	// departing writes departures that targets wait for, and rewriting those that the store
	// lost, so that no target waits for these.
	departing, rewriting *departureWriter
	facts                *departures

	mutex  sync.Mutex
	target Target
	// departed holds the targets that are known to leave or to have left.
	departed map[Incarnation]bool
	// newest holds the latest start that is known of each id: earlier ones are over.
	newest map[string]int64
	// leaving holds, by id, the start that said that it leaves and not yet that it ends.
	leaving map[string]leavingTarget
	// replaced holds the targets whose successor sent heartbeats, and returning the one
	// of them that does so again.
	replaced  map[Incarnation]bool
	returning returningTarget
	recovered bool
	// recoveredOnce is closed once recovered is set.
	recoveredOnce chan struct{}
}

// NewRegistrar returns a registrar that knows no target yet.
func NewRegistrar(config RegistrarConfig, stores Stores, log *eventlog.Log, now func() time.Time) *Registrar {
	if config.Epoch == nil {
		config.Epoch = func() store.Epoch { return 0 }
	}
	if config.Place == nil {
		config.Place = func() (int, bool) { return 0, false }
	}
	if config.Peers.Addresses == nil {
		config.Peers.Addresses = func() []string { return nil }
		config.Peers.Notify = func(context.Context, string, Departure) error { return nil }
	}
	r := &Registrar{config: config, log: log, now: now, departed: make(map[Incarnation]bool), replaced: make(map[Incarnation]bool),
		newest: make(map[string]int64), leaving: make(map[string]leavingTarget), recoveredOnce: make(chan struct{})}
	r.publisher = newPublisher(stores.Record, config.Epoch, config.HomesPrefix+config.Address, log, now)
	r.facts = newDepartures(config.Address, config.Place, now, r.rewrite, r.passOn)
	r.departing = newDepartureWriter(stores.Departure, config.Epoch, now)
	r.rewriting = newDepartureWriter(stores.Departure, config.Epoch, now)
	return r
}

// Run learns what earlier processes acknowledged and keeps the node's record
// published until the context ends.
func (r *Registrar) Run(ctx context.Context) {
	go r.recover(ctx)
	go r.facts.run(ctx)
	r.publisher.run(ctx)
}

// ApplyChanges takes changes of the store: the node's own record may have disappeared
// with its lease, and departures may have been lost as the store came back from a copy.
func (r *Registrar) ApplyChanges(entries []store.Entry) {
	for _, entry := range entries {
		if instance, departure := strings.CutPrefix(entry.Key, r.config.DeparturesPrefix); departure {
			r.departureChanged(instance, entry)
		}
		if entry.Key == r.config.HomesPrefix+r.config.Address {
			r.ownRecordChanged(entry)
		}
	}
}

// ownRecordChanged takes what the store holds under the node's own key.
func (r *Registrar) ownRecordChanged(entry store.Entry) {
	if entry.Deleted {
		r.publisher.noteRemoved()
		return
	}
	record, err := decodeRecord(entry)
	if err != nil {
		// It is none of this process's, and is written over as one of another process.
		r.log.Record(eventlog.Event{Kind: eventlog.RecordRejected, Peer: entry.Key, Reason: err.Error()})
		record = Record{}
	}
	r.publisher.noteTold(entry, &record, r.config.Process)
}

// HandleResume has the node's lease looked at, as the machine was suspended: the timer for its
// renewal stood still meanwhile.
func (r *Registrar) HandleResume() { r.publisher.signal() }

// recover learns which targets said that they leave, and which one was beside
// the node last. Until then no target is told as ready.
func (r *Registrar) recover(ctx context.Context) {
	if r.config.FirstStart {
		// What other nodes wrote since is learned all the same.
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
			departure, err := decodeDeparture(entry)
			if err == nil && departure.Address == r.config.Address {
				left := parseIncarnation(departure.Instance)
				r.departed[left] = true
				r.learnStart(left)
			}
		case entry.Key == r.config.HomesPrefix+r.config.Address:
			// Whatever else lies there, a heartbeat will tell.
			last = adoptable(entry)
			r.publisher.resume(entry)
		}
	}
	if !r.recovered {
		r.recovered = true
		close(r.recoveredOnce)
	}
	r.adopt(last)
	if r.departed[r.target.Incarnation()] && r.target.State == Ready {
		r.target.State = Draining
	}
	r.changed()
}

// adoptable returns the record that lies under the node's own address if what it says of the
// target holds. One out of a copy may tell a target that left since, and the next heartbeat
// tells better.
func adoptable(entry store.Entry) *Record {
	record, err := decodeRecord(entry)
	if err != nil || record.restored(entry.Revision) {
		return nil
	}
	return &record
}

// adopt takes the target that an earlier process had beside it, unless a
// heartbeat or a departure says otherwise. Should it be gone, calls find no
// connection or another instance, and have not run in either case.
func (r *Registrar) adopt(record *Record) {
	if record == nil || record.State != Ready || record.Instance == "" {
		return
	}
	adopted := parseIncarnation(record.Instance)
	// A heartbeat that came before may have been a late one of an earlier start.
	later := r.target.ID == "" || (r.target.ID == adopted.ID && r.target.Born < adopted.Born)
	if !later || r.departed[adopted] || r.over(adopted) {
		return
	}
	r.learnStart(adopted)
	r.target = Target{ID: adopted.ID, Born: adopted.Born, Service: record.Service, Slots: record.Slots, State: Ready}
}

// Target returns the target beside the node. Its state is Absent while it is
// not known what an earlier process acknowledged.
func (r *Registrar) Target() Target {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.visible()
}

func (r *Registrar) visible() Target {
	target := r.target
	if !r.recovered && target.State == Ready {
		target.State = Absent
	}
	return target
}

// Heartbeat takes a heartbeat. One that says that the target leaves is
// acknowledged only once that is durable.
func (r *Registrar) Heartbeat(ctx context.Context, beat Heartbeat) error {
	r.mutex.Lock()
	r.take(beat)
	r.mutex.Unlock()
	if !beat.Draining {
		return nil
	}
	return r.makeDurable(ctx, beat.Incarnation())
}

// leavingTarget is a start of a target that said that it leaves.
type leavingTarget struct {
	born  int64
	since time.Time
}

// leavingTime is for how long a notice without a start may be a late one of a start that said
// before that it leaves. Targets serve on for some seconds after that.
const leavingTime = 10 * time.Second

// learnStart notes that a start is known, and that all earlier ones of its id are over.
func (r *Registrar) learnStart(start Incarnation) {
	r.newest[start.ID] = max(r.newest[start.ID], start.Born)
}

// over reports whether a later start of the same id is known. Nothing that an earlier one
// says, however late it comes, changes anything.
func (r *Registrar) over(start Incarnation) bool { return start.Born < r.newest[start.ID] }

// returningTarget is a replaced target that sends heartbeats again.
type returningTarget struct {
	start Incarnation
	since time.Time
}

// returnAfter is for how long a replaced target must send heartbeats, while its
// successor sends none, to be taken back. Heartbeats of a crashed target that a cut
// held up come together and earlier than that; a target that lives sends one in each
// second or two.
const returnAfter = time.Second

// returns reports whether a replaced target is there after all: what was taken for
// its successor was a late heartbeat of its predecessor.
func (r *Registrar) returns(start Incarnation) bool {
	now := r.now()
	if r.returning.start != start {
		r.returning = returningTarget{start: start, since: now}
		return false
	}
	return now.Sub(r.returning.since) >= returnAfter
}

// take applies a heartbeat to the state. A late one of a target that left or
// was replaced changes nothing.
func (r *Registrar) take(beat Heartbeat) {
	start := beat.Incarnation()
	if r.departed[start] || r.over(start) {
		return
	}
	if start != r.target.Incarnation() {
		if r.replaced[start] && !r.returns(start) {
			r.departed[start] = beat.Draining
			return
		}
		if r.target.ID != "" {
			r.replaced[r.target.Incarnation()] = true
		}
		delete(r.replaced, start)
		r.target = Target{ID: beat.ID, Born: beat.StartMillis, Service: beat.Service, State: Ready}
		r.learnStart(start)
	}
	r.returning = returningTarget{}
	if beat.Draining {
		r.leaving[beat.ID] = leavingTarget{born: beat.StartMillis, since: r.now()}
		r.depart(start, Draining)
		return
	}
	if beat.Sequence < r.target.Sequence {
		return
	}
	fresh := r.target.Sequence == 0 || r.target.Slots != beat.Slots
	r.target.Sequence = beat.Sequence
	r.target.Slots = beat.Slots
	if fresh {
		r.target.WarmUntil = r.now().Add(beat.Warmup)
		r.changed()
	}
}

// HeartbeatRefused takes that a heartbeat was turned away.
func (r *Registrar) HeartbeatRefused(id string, reason RefusalReason) {
	r.log.Record(eventlog.Event{Kind: eventlog.HeartbeatRefused, Target: id, Reason: string(reason)})
	if r.config.OnRefused != nil {
		r.config.OnRefused(reason)
	}
}

// changed tells the new state of the target. The lock is held, so that states
// are told in order.
func (r *Registrar) changed() {
	target := r.visible()
	r.log.Record(eventlog.Event{Kind: eventlog.TargetChanged, Service: target.Service, Target: target.Incarnation().String(), Outcome: target.State.String(),
		Version: target.Sequence, Count: target.Slots})
	if r.config.OnTargetChange != nil {
		r.config.OnTargetChange(target)
	}
	if target.State != Absent {
		// That a leaving target is gone makes no difference to peers.
		r.publisher.publish(Record{
			Instance: target.Incarnation().String(),
			Service:  target.Service,
			Zone:     r.config.Zone,
			Address:  r.config.Address,
			Slots:    target.Slots,
			State:    min(target.State, Draining),
			Process:  r.config.Process,
		})
	}
}
