package registry

import (
	"context"
	"errors"
	"fmt"
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
	// OnTarget is told each new state of the target, in order.
	OnTarget func(Target)
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

// ackTimeout bounds the time for making a departure durable. The target takes
// no acknowledgement that comes later than a second.
const ackTimeout = 900 * time.Millisecond

// NewRegistrar returns a registrar that knows no target yet.
func NewRegistrar(config RegistrarConfig, stores Stores, log *eventlog.Log, now func() time.Time) *Registrar {
	if config.Epoch == nil {
		config.Epoch = func() store.Epoch { return 0 }
	}
	if config.Place == nil {
		config.Place = func() (int, bool) { return 0, false }
	}
	r := &Registrar{config: config, log: log, now: now, departed: make(map[Incarnation]bool), replaced: make(map[Incarnation]bool),
		newest: make(map[string]int64), leaving: make(map[string]leavingTarget), recoveredOnce: make(chan struct{})}
	r.publisher = newPublisher(stores.Record, config.Epoch, config.HomesPrefix+config.Address, log, now)
	r.facts = newDepartures(config.Address, config.Place, now, r.rewrite)
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

// Change takes changes of the store: the node's own record may have disappeared
// with its lease, and departures may have been lost as the store came back from a copy.
func (r *Registrar) Change(entries []store.Entry) {
	for _, entry := range entries {
		instance, departure := strings.CutPrefix(entry.Key, r.config.DeparturesPrefix)
		switch {
		case departure:
			r.departureChanged(instance, entry)
		case entry.Key != r.config.HomesPrefix+r.config.Address:
		case entry.Deleted:
			r.publisher.noteRemoved()
		default:
			if record, err := decodeRecord(entry); err == nil {
				r.publisher.noteTold(entry, &record, r.config.Process)
			}
		}
	}
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
	if departure.Address == r.config.Address {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		left := parseIncarnation(departure.Instance)
		r.learnStart(left)
		r.depart(left, Draining)
	}
}

// rewrite writes a departure again that the store lost.
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

// StoreRestored takes that the store came back from a copy. What this node wrote since the
// copy was made is gone, and so is its lease: departures are written again at once, and its
// record after them.
func (r *Registrar) StoreRestored() {
	place, _ := r.config.Place()
	r.publisher.delay(time.Duration(place) * rewriteSpacing)
	r.facts.restored()
}

// Resumed has the node's lease looked at, as the machine was suspended: the timer for its
// renewal stood still meanwhile.
func (r *Registrar) Resumed() { r.publisher.signal() }

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
		r.target = Target{ID: beat.ID, Born: beat.Born, Service: beat.Service, State: Ready}
		r.learnStart(start)
	}
	r.returning = returningTarget{}
	if beat.Draining {
		r.leaving[beat.ID] = leavingTarget{born: beat.Born, since: r.now()}
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

// Refused takes that a heartbeat was turned away.
func (r *Registrar) Refused(id string, reason RefusalReason) {
	r.log.Record(eventlog.Event{Kind: eventlog.HeartbeatRefused, Target: id, Reason: string(reason)})
	if r.config.OnRefused != nil {
		r.config.OnRefused(reason)
	}
}

// depart moves the target forward to a state in which it gets no new work.
func (r *Registrar) depart(start Incarnation, state State) {
	r.departed[start] = true
	if r.target.Incarnation() == start && r.target.State < state {
		r.target.State = state
		r.changed()
	}
}

// changed tells the new state of the target. The lock is held, so that states
// are told in order.
func (r *Registrar) changed() {
	target := r.visible()
	r.log.Record(eventlog.Event{Kind: eventlog.TargetChanged, Service: target.Service, Target: target.Incarnation().String(), Outcome: target.State.String(),
		Version: target.Sequence, Count: target.Slots})
	if r.config.OnTarget != nil {
		r.config.OnTarget(target)
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

// makeDurable writes the departure of a target, so that it binds later
// processes on this machine.
func (r *Registrar) makeDurable(ctx context.Context, start Incarnation) error {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	departure := Departure{Instance: start.String(), Address: r.config.Address}
	err := r.departing.write(ctx, r.keyOf(departure), encode(departure))
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
