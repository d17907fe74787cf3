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
	"github.com/lugspur/lugspur/internal/store/leased"
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
	// FirstStart tells that there was no earlier process on any machine.
	FirstStart bool
	// Records returns the entries under both prefixes as they were at a moment
	// after the process started, once that is known.
	Records func(ctx context.Context) ([]store.Entry, error)
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
	departing departureWriter

	mutex  sync.Mutex
	target Target
	// departed holds the targets that are known to leave or to have left.
	departed map[string]bool
	// replaced holds the targets whose successor sent heartbeats, and returning the one
	// of them that does so again.
	replaced  map[string]bool
	returning returningTarget
	recovered bool
}

// ackTimeout bounds the time for making a departure durable. The target takes
// no acknowledgement that comes later than a second.
const ackTimeout = 900 * time.Millisecond

// NewRegistrar returns a registrar that knows no target yet.
func NewRegistrar(config RegistrarConfig, stores Stores, log *eventlog.Log, now func() time.Time) *Registrar {
	r := &Registrar{config: config, log: log, now: now, departed: make(map[string]bool), replaced: make(map[string]bool)}
	r.publisher = newPublisher(stores.Record, config.HomesPrefix+config.Address, log, now)
	r.departing.writer = leased.NewWriter(stores.Departure, departureTTL, now)
	return r
}

// Run learns what earlier processes acknowledged and keeps the node's record
// published until the context ends.
func (r *Registrar) Run(ctx context.Context) {
	go r.recover(ctx)
	r.publisher.run(ctx)
}

// Change takes changes of the store: the node's own record may have disappeared
// with its lease.
func (r *Registrar) Change(entries []store.Entry) {
	for _, entry := range entries {
		if entry.Deleted && entry.Key == r.config.HomesPrefix+r.config.Address {
			r.publisher.noteRemoved()
		}
	}
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
				r.departed[departure.Instance] = true
			}
		case entry.Key == r.config.HomesPrefix+r.config.Address:
			// Whatever else lies there, a heartbeat will tell.
			if record, err := decodeRecord(entry); err == nil {
				last = &record
			}
			r.publisher.resume(entry)
		}
	}
	r.recovered = true
	r.adopt(last)
	if r.departed[r.target.ID] && r.target.State == Ready {
		r.target.State = Draining
	}
	r.changed()
}

// adopt takes the target that an earlier process had beside it, unless a
// heartbeat or a departure says otherwise. Should it be gone, calls find no
// connection or another instance, and have not run in either case.
func (r *Registrar) adopt(record *Record) {
	if record == nil || record.State != Ready || record.Instance == "" || r.target.ID != "" || r.departed[record.Instance] {
		return
	}
	r.target = Target{ID: record.Instance, Service: record.Service, Slots: record.Slots, State: Ready}
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
	return r.makeDurable(ctx, beat.ID)
}

// returningTarget is a replaced target that sends heartbeats again.
type returningTarget struct {
	id    string
	since time.Time
}

// returnAfter is for how long a replaced target must send heartbeats, while its
// successor sends none, to be taken back. Heartbeats of a crashed target that a cut
// held up come together and earlier than that; a target that lives sends one in each
// second or two.
const returnAfter = time.Second

// returns reports whether a replaced target is there after all: what was taken for
// its successor was a late heartbeat of its predecessor.
func (r *Registrar) returns(id string) bool {
	now := r.now()
	if r.returning.id != id {
		r.returning = returningTarget{id: id, since: now}
		return false
	}
	return now.Sub(r.returning.since) >= returnAfter
}

// take applies a heartbeat to the state. A late one of a target that left or
// was replaced changes nothing.
func (r *Registrar) take(beat Heartbeat) {
	if r.departed[beat.ID] {
		return
	}
	if beat.ID != r.target.ID {
		if r.replaced[beat.ID] && !r.returns(beat.ID) {
			r.departed[beat.ID] = beat.Draining
			return
		}
		if r.target.ID != "" {
			r.replaced[r.target.ID] = true
		}
		delete(r.replaced, beat.ID)
		r.target = Target{ID: beat.ID, Service: beat.Service, State: Ready}
	}
	r.returning = returningTarget{}
	if beat.Draining {
		r.depart(beat.ID, Draining)
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

// Depart takes the notice that a target leaves.
func (r *Registrar) Depart(ctx context.Context, id string) error {
	r.mutex.Lock()
	r.depart(id, Gone)
	r.mutex.Unlock()
	return r.makeDurable(ctx, id)
}

// depart moves the target forward to a state in which it gets no new work.
func (r *Registrar) depart(id string, state State) {
	r.departed[id] = true
	if r.target.ID == id && r.target.State < state {
		r.target.State = state
		r.changed()
	}
}

// changed tells the new state of the target. The lock is held, so that states
// are told in order.
func (r *Registrar) changed() {
	target := r.visible()
	r.log.Record(eventlog.Event{Kind: eventlog.TargetChanged, Service: target.Service, Target: target.ID, Outcome: target.State.String(),
		Version: target.Sequence, Count: target.Slots})
	if r.config.OnTarget != nil {
		r.config.OnTarget(target)
	}
	if target.State != Absent {
		// That a leaving target is gone makes no difference to peers.
		r.publisher.publish(Record{
			Instance: target.ID,
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
func (r *Registrar) makeDurable(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	key := r.config.DeparturesPrefix + id
	value := encode(Departure{Instance: id, Address: r.config.Address})
	err := r.departing.write(ctx, key, value)
	if err != nil {
		err = fmt.Errorf("make departure of %s durable: %w", id, err)
		r.log.Record(eventlog.Event{Kind: eventlog.HeartbeatRefused, Target: id, Reason: err.Error()})
	}
	return err
}

// departureWriter writes departures under a long lease.
type departureWriter struct {
	writer *leased.Writer

	mutex   sync.Mutex
	written map[string]bool
}

const (
	// departureTTL is how long a departure is remembered. No target that left
	// sends heartbeats for so long.
	departureTTL = 10 * time.Minute
	// writeTimeout bounds one call, so that a lost answer leaves time for others.
	writeTimeout = 400 * time.Millisecond
	writePause   = 30 * time.Millisecond
)

// write writes the departure until it is known to be there or the context ends.
func (d *departureWriter) write(ctx context.Context, key string, value []byte) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.written[key] {
		return nil
	}
	var failure error
	for ctx.Err() == nil {
		failure = d.try(ctx, key, value)
		if failure == nil {
			if d.written == nil {
				d.written = make(map[string]bool)
			}
			d.written[key] = true
			return nil
		}
		pause(ctx, writePause)
	}
	return errors.Join(ctx.Err(), failure)
}

func (d *departureWriter) try(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := d.writer.CompareAndSwap(ctx, key, 0, value)
	if errors.Is(err, store.ErrConflict) {
		// Nobody writes anything else under the key.
		return nil
	}
	return err
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
