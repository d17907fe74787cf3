package registry

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/store"
)

// RegistrarConfig describes the node and the location of its records.
type RegistrarConfig struct {
	// Zone and Address are the node's zone and the address that peers use.
	Zone, Address string
	// Process distinguishes this process from earlier ones at the same address.
	Process          uint32
	HomesPrefix      string
	DeparturesPrefix string
	// OnTargetChange is called with each new state of the target, in order.
	OnTargetChange func(Target)
	// OnRefused is called when a heartbeat is rejected; it may be nil.
	OnRefused func(reason RefusalReason)
	// FirstStart means that the cluster is new: no process has run before on any machine.
	FirstStart bool
	// Records blocks until the entries under both prefixes are known as of a time after the
	// process started, and returns them.
	Records func(ctx context.Context) ([]store.Entry, error)
	// Epoch returns the newest known epoch of the store; nil means epoch zero.
	Epoch func() store.Epoch
	// Position returns the node's position in an ordering of all nodes, false if it has none; it
	// may be nil.
	Position func() (int, bool)
	// Peers is used to notify other nodes of departures and starts. Its zero value notifies none.
	Peers Peers
	// StoreReachable reports whether the store answered this process's latest call; nil means that
	// it always does.
	StoreReachable func() bool
	// OnStart is called with notices of the local target and of peers' targets, and reports
	// whether the notice was new; it may be nil.
	OnStart func(notice StartNotice) bool
}

// Stores holds one store client for each purpose.
type Stores struct {
	// Record is used for the node's own record, and Departure for the departures of targets.
	Record, Departure store.Store
}

// Registrar tracks the state of the local target. It is safe for concurrent use.
type Registrar struct {
	config    RegistrarConfig
	log       *eventlog.Log
	now       func() time.Time
	publisher *publisher
	// foregroundWriter writes departures whose targets wait for an acknowledgement.
	// backgroundWriter restores departures that the store lost; it is separate so that no
	// target waits for such writes.
	foregroundWriter, backgroundWriter *departureWriter
	departures                         *departures
	starts                             *starts

	mutex  sync.Mutex
	target Target
	// departed holds the incarnations in state Draining or Gone.
	departed map[Incarnation]bool
	// latestStart is the start time of the latest known start by target ID. Starts with a lower one
	// have ended, and so have those in ended, whose start times may be higher.
	latestStart map[string]int64
	ended       map[Incarnation]bool
	// ignored holds the incarnations whose messages came when they seemed to have ended.
	ignored map[Incarnation]bool
	// leaving holds, by target ID, the incarnation that announced its departure and has not
	// ended yet.
	leaving map[string]leavingTarget
	// replaced holds the incarnations whose successor sent heartbeats; returning is the one of
	// them that has resumed sending heartbeats.
	replaced  map[Incarnation]bool
	returning returningTarget
	recovered bool
	rate      ratePublication
	// recoveryDone is closed when recovered is set.
	recoveryDone chan struct{}
}

// NewRegistrar returns a registrar without a known target.
func NewRegistrar(config RegistrarConfig, stores Stores, log *eventlog.Log, now func() time.Time) *Registrar {
	if config.Epoch == nil {
		config.Epoch = func() store.Epoch { return 0 }
	}
	if config.Position == nil {
		config.Position = func() (int, bool) { return 0, false }
	}
	if config.Peers.Addresses == nil {
		config.Peers.Addresses = func() []string { return nil }
		config.Peers.Notify = func(context.Context, string, Departure) error { return nil }
	}
	if config.StoreReachable == nil {
		config.StoreReachable = func() bool { return true }
	}
	if config.OnStart == nil {
		config.OnStart = func(StartNotice) bool { return false }
	}
	r := &Registrar{config: config, log: log, now: now, departed: make(map[Incarnation]bool), replaced: make(map[Incarnation]bool),
		latestStart: make(map[string]int64), ended: make(map[Incarnation]bool), ignored: make(map[Incarnation]bool), leaving: make(map[string]leavingTarget), recoveryDone: make(chan struct{})}
	r.publisher = newPublisher(stores.Record, config.Epoch, config.HomesPrefix, config.Address, log, now)
	r.departures = newDepartures(config.Address, config.Position, now, r.rewriteDeparture, r.notifyHome)
	r.starts = newStarts(startsConfig{ownAddress: config.Address, peers: config.Peers, reachable: config.StoreReachable, written: r.publisher.writtenRevision, log: log, now: now})
	r.foregroundWriter = newDepartureWriter(stores.Departure, config.Epoch, now)
	r.backgroundWriter = newDepartureWriter(stores.Departure, config.Epoch, now)
	return r
}

// Run recovers the state that earlier processes acknowledged and keeps the node's record
// published until the context ends.
func (r *Registrar) Run(ctx context.Context) {
	go r.recoverState(ctx)
	go r.departures.run(ctx)
	go r.starts.run(ctx)
	r.publisher.run(ctx)
}

// ApplyChanges processes changes of the store. The node's own record may have disappeared with its
// lease, and departures may be missing after the store was restored from a backup.
func (r *Registrar) ApplyChanges(entries []store.Entry) {
	for _, entry := range entries {
		if instance, isDeparture := strings.CutPrefix(entry.Key, r.config.DeparturesPrefix); isDeparture {
			r.handleDepartureEntry(instance, entry)
		}
		if entry.Key == r.config.HomesPrefix+r.config.Address {
			r.handleOwnRecord(entry)
		}
	}
}

// handleOwnRecord processes the stored entry under the node's own key.
func (r *Registrar) handleOwnRecord(entry store.Entry) {
	if entry.Deleted {
		r.publisher.markRemoved()
		return
	}
	record, err := decodeRecord(entry, r.config.HomesPrefix)
	if err != nil {
		// Not written by this process: overwrite it like the record of another process.
		r.log.Record(eventlog.Event{Kind: eventlog.RecordRejected, Peer: entry.Key, Reason: err.Error()})
		record = Record{}
	}
	r.starts.observe(entry.Revision, &record)
	r.publisher.observe(entry, &record, r.config.Process)
}

// HandleResume triggers a check of the node's lease after the machine was suspended, because the
// renewal timer did not advance meanwhile.
func (r *Registrar) HandleResume() { r.publisher.signal() }

// Target returns the local target. A ready target is reported as Absent until the departures
// that earlier processes acknowledged are known.
func (r *Registrar) Target() Target {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.visibleTarget()
}

func (r *Registrar) visibleTarget() Target {
	target := r.target
	if !r.recovered && target.State == Ready {
		target.State = Absent
	}
	return target
}

// Heartbeat processes a heartbeat. One with Draining set is acknowledged only after the
// departure is durable.
func (r *Registrar) Heartbeat(ctx context.Context, heartbeat Heartbeat) error {
	r.mutex.Lock()
	err := r.applyHeartbeat(heartbeat)
	r.mutex.Unlock()
	if !heartbeat.Draining {
		return nil
	}
	if err != nil {
		return r.logUnacknowledged(heartbeat.Incarnation(), err)
	}
	return r.persistDeparture(ctx, heartbeat.Incarnation())
}

// leavingTarget is an incarnation that announced its departure.
type leavingTarget struct {
	startMillis int64
	since       time.Time
}

// ambiguousNoticeWindow is how long a notice without a start time may be a delayed one of an
// incarnation that announced its departure before. Targets keep serving for some seconds after
// the announcement.
const ambiguousNoticeWindow = 10 * time.Second

// applyHeartbeat updates the target's state. Delayed heartbeats of a target that was replaced are
// ignored. The error is errAmbiguousIncarnation if the heartbeat may be a delayed one.
func (r *Registrar) applyHeartbeat(heartbeat Heartbeat) error {
	incarnation := heartbeat.Incarnation()
	r.messageReceived(incarnation)
	if r.superseded(incarnation) {
		if !r.hasReturned(incarnation) {
			return r.ignoreSuperseded(heartbeat)
		}
		r.reinstate(incarnation)
	}
	if r.departed[incarnation] {
		r.applyDepartedHeartbeat(heartbeat)
		return nil
	}
	r.applyCurrentHeartbeat(heartbeat)
	return nil
}

// ignoreSuperseded handles a heartbeat of an incarnation that seems to have ended. Its departure is
// acknowledged only if its successor was seen to follow it, and binds it should it return.
func (r *Registrar) ignoreSuperseded(heartbeat Heartbeat) error {
	incarnation := heartbeat.Incarnation()
	if !r.ended[incarnation] {
		return errAmbiguousIncarnation
	}
	if heartbeat.Draining {
		r.departed[incarnation] = true
	}
	return nil
}

// applyCurrentHeartbeat handles a heartbeat of an incarnation that has neither ended nor departed.
func (r *Registrar) applyCurrentHeartbeat(heartbeat Heartbeat) {
	incarnation := heartbeat.Incarnation()
	if incarnation != r.target.Incarnation() {
		if r.replaced[incarnation] && !r.hasReturned(incarnation) {
			r.departed[incarnation] = heartbeat.Draining
			return
		}
		if r.target.ID != "" {
			r.replaced[r.target.Incarnation()] = true
		}
		if r.target.ID == incarnation.ID {
			r.ended[r.target.Incarnation()] = true
		}
		delete(r.replaced, incarnation)
		r.target = Target{ID: heartbeat.ID, StartMillis: heartbeat.StartMillis, Service: heartbeat.Service, State: Ready}
		r.recordStart(incarnation)
	}
	r.returning = returningTarget{}
	if heartbeat.Draining {
		r.recordLeaving(incarnation)
		r.markDeparted(incarnation, Draining)
		return
	}
	if heartbeat.Sequence < r.target.Sequence {
		return
	}
	changed := r.target.Sequence == 0 || r.target.Slots != heartbeat.Slots
	r.target.Sequence = heartbeat.Sequence
	r.target.Slots = heartbeat.Slots
	if changed {
		r.target.WarmUntil = r.now().Add(heartbeat.Warmup)
		r.notifyChange()
	}
}

// applyDepartedHeartbeat handles a heartbeat of a departed incarnation. A node that knows no other
// target publishes that this one is draining: the record of an earlier process may say that it is
// ready.
func (r *Registrar) applyDepartedHeartbeat(heartbeat Heartbeat) {
	incarnation := heartbeat.Incarnation()
	if r.target.Incarnation() == incarnation && r.target.State == Gone {
		return
	}
	r.recordLeaving(incarnation)
	if !r.replacesTarget(incarnation) {
		return
	}
	r.target = Target{ID: heartbeat.ID, StartMillis: heartbeat.StartMillis, Service: heartbeat.Service, Slots: heartbeat.Slots, Sequence: heartbeat.Sequence, State: Draining}
	r.recordStart(incarnation)
	if r.recovered {
		// Before that, the record of a successor may not be known yet.
		r.notifyChange()
	}
}

// HeartbeatRefused logs and reports a rejected heartbeat.
func (r *Registrar) HeartbeatRefused(id string, reason RefusalReason) {
	r.log.Record(eventlog.Event{Kind: eventlog.HeartbeatRefused, Target: id, Reason: string(reason)})
	if r.config.OnRefused != nil {
		r.config.OnRefused(reason)
	}
}

// notifyChange logs, reports and publishes the target's new state. The caller holds the mutex,
// so that states are reported in order.
func (r *Registrar) notifyChange() {
	target := r.visibleTarget()
	r.log.Record(eventlog.Event{Kind: eventlog.TargetChanged, Service: target.Service, Target: target.Incarnation().String(), Outcome: target.State.String(),
		Version: target.Sequence, Count: target.Slots})
	if r.config.OnTargetChange != nil {
		r.config.OnTargetChange(target)
	}
	r.publishRecord()
}

// publishRecord publishes the target's state. The caller holds the mutex.
func (r *Registrar) publishRecord() {
	target := r.visibleTarget()
	if target.State == Absent {
		return
	}
	record := Record{
		Instance: target.Incarnation().String(),
		Service:  target.Service,
		Zone:     r.config.Zone,
		Address:  r.config.Address,
		Slots:    target.Slots,
		// Peers treat the states Draining and Gone alike.
		State:   min(target.State, Draining),
		Process: r.config.Process,
		Ended:   r.endedLater(target.Incarnation()),
	}
	if target.RateLimit.Limited {
		record.RateLimit = &target.RateLimit.Rate
	}
	r.rate.published = target.RateLimit
	// The notice must change before the record is written: a notice of the previous target that names
	// the revision of the new record would be taken for newer.
	if notice, changed := r.starts.update(record); changed {
		r.config.OnStart(notice)
	}
	record.Sequence = r.starts.sequence()
	r.publisher.publish(record)
}
