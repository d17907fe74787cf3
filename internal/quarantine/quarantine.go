package quarantine

import (
	"context"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/store"
)

// Config holds the settings and dependencies of a Quarantine.
type Config struct {
	Broadcast BroadcastConfig
	// Store holds the quarantine records, with keys that begin with Prefix.
	Store  store.Store
	Prefix string
	// Epoch returns the latest known store epoch; nil means the first one. Position returns
	// the node's position in an order of all nodes, false if it has none; it may be nil.
	Epoch    func() store.Epoch
	Position func() (int, bool)
	// OnQuarantine is called when a request is quarantined; it may be nil.
	OnQuarantine func(hash fingerprint.Fingerprint)
	Log          *eventlog.Log
	Now          func() time.Time
}

// Quarantine tracks on one node the requests that crash targets, and shares its reports with
// the other nodes and the store. It is safe for concurrent use.
type Quarantine struct {
	table       *Table
	broadcaster *Broadcaster
	records     *recordStore
	log         *eventlog.Log
	// onQuarantine may be nil.
	onQuarantine func(hash fingerprint.Fingerprint)
}

// New returns a quarantine without suspects. Nothing is sent before Run.
func New(config Config) *Quarantine {
	return &Quarantine{
		table:       NewTable(config.Now),
		broadcaster: NewBroadcaster(config.Broadcast),
		records:     newRecordStore(config),
		log:         config.Log,

		onQuarantine: config.OnQuarantine,
	}
}

// Run sends reports to peers and writes records to the store until the context ends.
func (q *Quarantine) Run(ctx context.Context) {
	go q.broadcaster.Run(ctx)
	go q.records.run(ctx)
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.table.Expire()
		}
	}
}

// Empty reports whether there are no suspects, so that no request needs to be checked.
func (q *Quarantine) Empty() bool { return q.table.Empty() }

// State returns the crashes and the quarantine state of a request.
func (q *Quarantine) State(hash fingerprint.Fingerprint) State { return q.table.State(hash) }

// Quarantined returns the number of quarantined requests.
func (q *Quarantine) Quarantined() int { return q.table.Quarantined() }

// OverflowCount returns the number of requests that were not quarantined because maxQuarantined
// was reached.
func (q *Quarantine) OverflowCount() uint64 { return q.table.OverflowCount() }

// Call identifies a call to the local target that the target answered, that was open when the
// target crashed, or that is to be a trial run.
type Call struct {
	Fingerprint    fingerprint.Fingerprint
	Service, Route string
	// Crashes is the number of consecutive crashes of the request, including this one.
	Crashes int
}

// RecordCrash records a crash of the local target with the calls that were open.
func (q *Quarantine) RecordCrash(instance string, open []Call) {
	crash := crashReport(instance, open)
	records := make(map[fingerprint.Fingerprint]Record, len(open))
	for _, call := range open {
		records[call.Fingerprint] = Record{Service: call.Service, Route: call.Route}
	}
	quarantined := q.table.RecordCrash(crash)
	q.broadcaster.BroadcastCrash(crash)
	for _, hash := range quarantined {
		q.handleQuarantined(hash, "target "+instance+" beside the node crashed")
		q.records.enqueue(hash, records[hash])
	}
}

// crashReport returns the report of a target's crash. It quarantines a request only if no
// second request reached quarantineCrashes in the same crash: one of the two is harmless,
// and they ran concurrently because nodes learned of earlier crashes late. With two or more, the
// crashes are capped at isolationCrashes, so that the requests run one at a time.
func crashReport(instance string, open []Call) Crash {
	eligible := make(map[fingerprint.Fingerprint]bool)
	for _, call := range open {
		if call.Crashes >= quarantineCrashes {
			eligible[call.Fingerprint] = true
		}
	}
	crash := Crash{Instance: instance}
	for _, call := range open {
		report := SuspectReport{Fingerprint: call.Fingerprint, Crashes: call.Crashes}
		if len(eligible) > 1 {
			report.Crashes = min(call.Crashes, isolationCrashes)
		}
		crash.Suspects = append(crash.Suspects, report)
	}
	return crash
}

// RecordAnswer records that a target answered the request, and ends its quarantine.
func (q *Quarantine) RecordAnswer(call Call) {
	wasQuarantined := q.table.State(call.Fingerprint).Quarantined
	cleared, broadcast := q.table.RecordAnswer(call.Fingerprint)
	if !broadcast {
		return
	}
	q.broadcaster.BroadcastClearance(cleared)
	if wasQuarantined {
		q.logLifted(call.Fingerprint, "a target answered it")
		q.records.enqueue(call.Fingerprint, Record{Service: call.Service, Route: call.Route, Lifted: true})
	}
}

// ClaimTrial claims the due trial of a quarantined request and reports whether the node may run
// it. Only one node of the cluster can claim it, and none while the store is unavailable.
func (q *Quarantine) ClaimTrial(ctx context.Context, call Call) bool {
	trials := q.table.trials(call.Fingerprint) + 1
	if !q.records.claimTrial(ctx, call.Fingerprint, Record{Service: call.Service, Route: call.Route, Trials: trials}) {
		return false
	}
	q.table.ApplyQuarantine(call.Fingerprint, trials)
	q.log.Record(eventlog.Event{Kind: eventlog.QuarantineTrial, Fingerprint: call.Fingerprint.String(), Service: call.Service, Route: call.Route, Count: trials})
	return true
}

// HandleNotice processes the notice of a peer.
func (q *Quarantine) HandleNotice(notice *Notice) {
	for _, crash := range notice.Crashes {
		for _, hash := range q.table.RecordCrash(crash) {
			q.handleQuarantined(hash, "a peer told that target "+crash.Instance+" crashed")
		}
	}
	for _, cleared := range notice.Clearances {
		if q.table.ApplyClearance(cleared) {
			q.logLifted(cleared.Fingerprint, "a peer told that a target answered it")
		}
	}
}

// ApplyChanges processes changes of the store.
func (q *Quarantine) ApplyChanges(entries []store.Entry) {
	quarantined := func(hash fingerprint.Fingerprint) bool { return q.table.State(hash).Quarantined }
	for _, change := range q.records.applyChanges(entries, quarantined) {
		switch {
		case change.record.Lifted:
			if q.table.Lift(change.hash) {
				q.logLifted(change.hash, "the store holds that it ended")
			}
		default:
			if q.table.ApplyQuarantine(change.hash, change.record.Trials) {
				q.handleQuarantined(change.hash, "the store holds the verdict")
			}
		}
	}
}

// handleQuarantined calls onQuarantine, which cancels running calls, and logs the event.
func (q *Quarantine) handleQuarantined(hash fingerprint.Fingerprint, reason string) {
	if q.onQuarantine != nil {
		q.onQuarantine(hash)
	}
	state := q.table.State(hash)
	q.log.Record(eventlog.Event{Kind: eventlog.RequestQuarantined, Fingerprint: hash.String(), Count: state.Crashes, Wait: state.RetryAfter, Reason: reason})
}

func (q *Quarantine) logLifted(hash fingerprint.Fingerprint, reason string) {
	q.log.Record(eventlog.Event{Kind: eventlog.QuarantineLifted, Fingerprint: hash.String(), Reason: reason})
}
