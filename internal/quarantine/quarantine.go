package quarantine

import (
	"context"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/store"
)

// Config describes the node and where verdicts lie.
type Config struct {
	Broadcast BroadcastConfig
	// Store takes verdicts under Prefix.
	Store  store.Store
	Prefix string
	// Epoch returns the newest epoch of the store that is known, nil is the first; Place the
	// node's own place in an order of all nodes, false if it has none. It may be nil.
	Epoch    func() store.Epoch
	Position func() (int, bool)
	// OnQuarantine is told of requests that are refused from now on; it may be nil.
	OnQuarantine func(hash fingerprint.Fingerprint)
	Log          *eventlog.Log
	Now          func() time.Time
}

// Quarantine is what one node knows of requests that crash targets, and how it tells
// others. It is safe for concurrent use.
type Quarantine struct {
	table  *Table
	spread *Spread
	keeper *keeper
	log    *eventlog.Log
	// onVerdict may be nil.
	onVerdict func(hash fingerprint.Fingerprint)
}

// New returns a quarantine that knows no suspects. Nothing is sent before Run.
func New(config Config) *Quarantine {
	return &Quarantine{
		table:  NewTable(config.Now),
		spread: NewSpread(config.Broadcast),
		keeper: newKeeper(config),
		log:    config.Log,

		onVerdict: config.OnQuarantine,
	}
}

// Run tells peers and the store until the context ends.
func (q *Quarantine) Run(ctx context.Context) {
	go q.spread.Run(ctx)
	go q.keeper.run(ctx)
	ticker := time.NewTicker(expirePeriod)
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

// Empty reports whether there are no suspects, so that no request needs a look.
func (q *Quarantine) Empty() bool { return q.table.Empty() }

// State returns what is known of a request.
func (q *Quarantine) State(hash fingerprint.Fingerprint) State { return q.table.Standing(hash) }

// Quarantined returns the number of requests that are refused.
func (q *Quarantine) Quarantined() int { return q.table.Quarantined() }

// Unplaced returns the number of verdicts that were not taken because there were too
// many.
func (q *Quarantine) Unplaced() uint64 { return q.table.Unplaced() }

// Call is a call that broke off as the target beside the node crashed.
type Call struct {
	Fingerprint    fingerprint.Fingerprint
	Service, Route string
	// Crashes counts the targets in a row that crashed under the request, with this one.
	Crashes int
}

// RecordCrash takes the end of the target beside the node, with the calls that broke off.
func (q *Quarantine) RecordCrash(instance string, open []Call) {
	crash := crashReport(instance, open)
	details := make(map[fingerprint.Fingerprint]Record, len(open))
	for _, call := range open {
		details[call.Fingerprint] = Record{Service: call.Service, Route: call.Route}
	}
	convicted := q.table.Crashed(crash)
	q.spread.TellCrash(crash)
	for _, hash := range convicted {
		q.noteQuarantined(hash, "target "+instance+" beside the node crashed")
		q.keeper.want(hash, details[hash])
	}
}

// crashReport returns the report of a target's end. It convicts only a request that ran
// beside no other suspect of several crashes: of two one is harmless, and nodes that learn
// of crashes late let them run together. Both then go on one after the other.
func crashReport(instance string, open []Call) Crash {
	convictable := make(map[fingerprint.Fingerprint]bool)
	for _, call := range open {
		if call.Crashes >= quarantineCrashes {
			convictable[call.Fingerprint] = true
		}
	}
	crash := Crash{Instance: instance}
	for _, call := range open {
		suspicion := Suspicion{Fingerprint: call.Fingerprint, Crashes: call.Crashes}
		if len(convictable) > 1 {
			suspicion.Crashes = min(call.Crashes, isolationCrashes)
		}
		crash.Suspects = append(crash.Suspects, suspicion)
	}
	return crash
}

// RecordAnswer notes that a target answered the request.
func (q *Quarantine) RecordAnswer(call Call) {
	ended := q.table.Standing(call.Fingerprint).Quarantined
	cleared, worthTelling := q.table.Answered(call.Fingerprint)
	if !worthTelling {
		return
	}
	q.spread.TellCleared(cleared)
	if ended {
		q.noteLifted(call.Fingerprint, "a target answered it")
		q.keeper.want(call.Fingerprint, Record{Service: call.Service, Route: call.Route, Lifted: true})
	}
}

// ClaimTrial reports whether the node may let a quarantined request run whose trial is
// due. Of all nodes one gets the trial, and none while the store is away.
func (q *Quarantine) ClaimTrial(ctx context.Context, call Call) bool {
	trials := q.table.trials(call.Fingerprint) + 1
	if !q.keeper.claimTrial(ctx, call.Fingerprint, Record{Service: call.Service, Route: call.Route, Trials: trials}) {
		return false
	}
	q.table.Convict(call.Fingerprint, trials)
	q.log.Record(eventlog.Event{Kind: eventlog.QuarantineTrial, Fingerprint: call.Fingerprint.String(), Service: call.Service, Route: call.Route, Count: trials})
	return true
}

// HandleNotice takes the notice of a peer.
func (q *Quarantine) HandleNotice(notice *Notice) {
	for _, crash := range notice.Crashes {
		for _, hash := range q.table.Crashed(crash) {
			q.noteQuarantined(hash, "a peer told that target "+crash.Instance+" crashed")
		}
	}
	for _, cleared := range notice.Clearings {
		if q.table.Cleared(cleared) {
			q.noteLifted(cleared.Fingerprint, "a peer told that a target answered it")
		}
	}
}

// ApplyChanges takes changes of the store.
func (q *Quarantine) ApplyChanges(entries []store.Entry) {
	holds := func(hash fingerprint.Fingerprint) bool { return q.table.Standing(hash).Quarantined }
	for _, change := range q.keeper.change(entries, holds) {
		switch {
		case change.record.Lifted:
			if q.table.Lift(change.hash) {
				q.noteLifted(change.hash, "the store holds that it ended")
			}
		default:
			known := holds(change.hash)
			q.table.Convict(change.hash, change.record.Trials)
			if !known {
				q.noteQuarantined(change.hash, "the store holds the verdict")
			}
		}
	}
}

// noteQuarantined logs a verdict and has calls that are under way withdrawn.
func (q *Quarantine) noteQuarantined(hash fingerprint.Fingerprint, reason string) {
	if q.onVerdict != nil {
		q.onVerdict(hash)
	}
	standing := q.table.Standing(hash)
	q.log.Record(eventlog.Event{Kind: eventlog.RequestQuarantined, Fingerprint: hash.String(), Count: standing.Crashes, Wait: standing.RetryAfter, Reason: reason})
}

func (q *Quarantine) noteLifted(hash fingerprint.Fingerprint, reason string) {
	q.log.Record(eventlog.Event{Kind: eventlog.QuarantineLifted, Fingerprint: hash.String(), Reason: reason})
}
