package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/epoch"
	"github.com/lugspur/lugspur/internal/store/reachability"
	"github.com/lugspur/lugspur/platform"
)

// Purposes of the node's store calls, used as a metric label.
const (
	purposeConfiguration store.Purpose = "configuration"
	purposeRecords       store.Purpose = "records"
	purposeOwnRecord     store.Purpose = "own-record"
	purposeDeparture     store.Purpose = "departure"
	purposeQuarantine    store.Purpose = "quarantine"
	purposeShards        store.Purpose = "shards"
)

const (
	// Changes of the configuration and of records are collected for this long and read with
	// one call.
	configurationBatchDelay = 300 * time.Millisecond
	recordsBatchDelay       = 800 * time.Millisecond
	// verifyAfter is the age at which the configuration is verified again. If revoked API
	// keys must stop working within 5 s, verification every 1 s, plus the delay between
	// nodes, lets nodes check keys for about 3.5 s of a store outage.
	verifyAfter = time.Second
	// Replicas count as current for this long after they were last confirmed. Records may
	// be older than the configuration, because calls to other nodes also reveal changes.
	configurationStaleAfter = 1200 * time.Millisecond
	recordsStaleAfter       = 2400 * time.Millisecond
	// A watch call to the store waits at most this long. Taken together, the watching nodes
	// receive answers more often than replicas become stale.
	configurationWatchTimeout = 2 * time.Second
	recordsWatchTimeout       = replica.MaxWatchWait
	// configurationReadDelay is how long a starting node waits for a peer to send the
	// configuration before it reads it from the store.
	configurationReadDelay = 400 * time.Millisecond
	// On the first start of the whole system, all nodes write their records first and
	// then read the store one after the other, so that the others receive the
	// records from the first reader.
	firstStartDelay  = 1800 * time.Millisecond
	firstStartJitter = 4 * time.Second
	// Longest times between probes of an unreachable store. Nodes that watch the store
	// probe more often, and notify the others when it answers again.
	watcherMaxProbePause = 600 * time.Millisecond
	maxProbePause        = 2500 * time.Millisecond
)

// replicas holds the node's replicas of store data and the components that keep them current.
type replicas struct {
	configuration, records             *replica.Copy
	configurationSyncer, recordsSyncer *replica.Syncer
	verifier                           *replica.Verifier
	antiEntropy                        *replica.AntiEntropy
}

// createStore creates the store client with its call counters and circuit breaker.
func (n *Node) createStore() {
	n.storeCalls = newStoreCalls(n.log)
	n.metrics.registry.MustRegister(n.storeCalls)
	n.epochs = epoch.NewTracker()
	n.epochs.OnChange(n.handleEpochChange)
	n.store = platform.NewStore(n.settings.Store, recordsWatchTimeout, n.storeCalls, n.epochs)
	n.storeBreaker = reachability.NewCircuitBreaker(n.probePauseLimit, storeObserver{n}, clock.Now)
}

// handleEpochChange handles a restore of the store from a backup.
func (n *Node) handleEpochChange(change epoch.Change) {
	n.log.Record(eventlog.Event{Kind: eventlog.StoreRestored, Peer: change.Source, Previous: uint64(change.From), Version: uint64(change.To)})
	n.registrar.HandleStoreRestored()
	n.limits.shardManager.HandleStoreRestored()
}

// logStaleEntry logs that the store listed an older revision of an entry than the replica holds.
func (n *Node) logStaleEntry(listed, current store.Entry) {
	n.log.Record(eventlog.Event{Kind: eventlog.EntryPassedOver, Peer: listed.Key, Version: uint64(listed.Revision.Number()), Previous: uint64(current.Revision.Number())})
}

// probePauseLimit returns the longest time between probes of an unreachable store.
func (n *Node) probePauseLimit() time.Duration {
	if n.replicas.recordsSyncer.IsWatcher() {
		return watcherMaxProbePause
	}
	return maxProbePause
}

// createReplicas creates the replicas of the configuration and of the records.
func (n *Node) createReplicas() {
	r := &n.replicas
	r.configuration = replica.NewCopy(configurationStaleAfter, n.feed.ApplyChanges, clock.Now)
	r.configuration.SetDocument(n.feed)
	if !n.settings.FirstStart {
		n.feed.Hold()
	}
	r.records = replica.NewCopy(recordsStaleAfter, n.applyRecords, clock.Now)
	r.configuration.OnStaleEntry(n.logStaleEntry)
	r.records.OnStaleEntry(n.logStaleEntry)
	configurationFirstDelay, recordsFirstDelay := configurationReadDelay, time.Duration(0)
	if n.settings.FirstStart {
		recordsFirstDelay = firstStartDelay + rand.N(firstStartJitter)
		configurationFirstDelay = recordsFirstDelay
	}
	r.configurationSyncer = &replica.Syncer{Copy: r.configuration, Store: n.storeBreaker.Wrap(n.store.WithPurpose(purposeConfiguration).WithWatchWait(configurationWatchTimeout)), Prefix: platform.ConfigurationKey,
		Position: n.directory.Position, BatchDelay: configurationBatchDelay, InitialDelay: configurationFirstDelay, Now: clock.Now}
	r.recordsSyncer = &replica.Syncer{Copy: r.records, Store: n.storeBreaker.Wrap(n.store.WithPurpose(purposeRecords)), Prefix: platform.RecordsPrefix,
		Position: n.directory.Position, BatchDelay: recordsBatchDelay, InitialDelay: recordsFirstDelay, Now: clock.Now}
	r.verifier = &replica.Verifier{Syncer: r.configurationSyncer, MaxAge: verifyAfter, Needed: n.hasTenants}
	r.antiEntropy = replica.NewAntiEntropy(replica.AntiEntropyConfig{
		Address:     n.settings.advertised(),
		Peers:       n.directory.Addresses,
		SendQuery:   n.queryPeer,
		OnCall:      func(peer string) { n.forwarder.PeerAlive(peer) },
		OnConfirmed: n.storeBreaker.Hint,
		Overdue:     r.verifier.Overdue,
		OnEpoch:     func(observed store.Epoch, peer string) { n.epochs.Observe(observed, peer) },

		FirstStart: n.settings.FirstStart,
		Now:        clock.Now,
	}, r.configuration, r.records)
}

// applyRecords passes changed records to all components that use them.
func (n *Node) applyRecords(entries []store.Entry, source string) {
	n.directory.ApplyChanges(entries, source)
	n.registrar.ApplyChanges(entries)
	n.quarantine.ApplyChanges(entries)
	n.limits.shardManager.ApplyChanges(entries)
}

func (n *Node) queryPeer(ctx context.Context, address string, query *replica.Query) (*replica.Answer, error) {
	return n.peers.Query(ctx, address, query)
}

// awaitRecords waits until the replica is known to hold all records that the store held when
// the node started, and returns its entries.
func (n *Node) awaitRecords(ctx context.Context) ([]store.Entry, error) {
	if err := n.replicas.records.AwaitCurrent(ctx, n.started); err != nil {
		return nil, err
	}
	return n.replicas.records.Entries(), nil
}

// registrarStores returns the stores that the registrar writes to. Writes of departures are
// urgent, because the target does not accept a late acknowledgement.
func (n *Node) registrarStores() registry.Stores {
	return registry.Stores{
		Record:    n.storeBreaker.Wrap(n.store.WithPurpose(purposeOwnRecord)),
		Departure: n.storeBreaker.WrapUrgent(n.store.WithPurpose(purposeDeparture)),
	}
}

var _ peering.AntiEntropy = (*replica.AntiEntropy)(nil)

// storeObserver logs when the store becomes unreachable and reachable again, and tells the
// registrar of an outage.
type storeObserver struct{ node *Node }

// storePeer identifies the store in log events.
const storePeer = "store"

// StoreLost implements reachability.Observer.
func (o storeObserver) StoreLost(cause error) {
	o.node.registrar.HandleStoreLost()
	o.node.log.Record(eventlog.Event{Kind: eventlog.DependencyLost, Peer: storePeer, Reason: fmt.Sprint(cause)})
}

// StoreRegained implements reachability.Observer.
func (o storeObserver) StoreRegained(after time.Duration) {
	o.node.log.Record(eventlog.Event{Kind: eventlog.DependencyRegained, Peer: storePeer, Age: after})
}
