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

// Purposes of the node's calls to the store.
const (
	purposeConfiguration store.Purpose = "configuration"
	purposeRecords       store.Purpose = "records"
	purposeOwnRecord     store.Purpose = "own-record"
	purposeDeparture     store.Purpose = "departure"
	purposeQuarantine    store.Purpose = "quarantine"
	purposeShards        store.Purpose = "shards"
)

const (
	// Changes of the configuration and of records are gathered for so long.
	configurationGather = 300 * time.Millisecond
	recordsGather       = 800 * time.Millisecond
	// verifyAfter is the age from which the configuration is verified anew. With 1 s, and
	// the way between nodes, keys can be checked for some 3.5 s of a store that is away
	// where they must not work for more than 5 s after they were taken away.
	verifyAfter = time.Second
	// Copies count as current for so long after they were known to be. What the
	// records tell is also found by calling.
	configurationStale = 1200 * time.Millisecond
	recordsStale       = 2400 * time.Millisecond
	// Calls of watches wait for so long at most. Together the nodes that watch are
	// answered more often than copies get stale.
	configurationWait = 2 * time.Second
	recordsWait       = replica.MaxWatchWait
	// configurationDelay is how long a node that starts waits for a peer that knows
	// the configuration before it asks the store.
	configurationDelay = 400 * time.Millisecond
	// Where the whole system starts for the first time nodes write their records
	// first, and then ask the store one after the other: the first to ask makes the
	// others known to each other.
	firstStartDelay  = 1800 * time.Millisecond
	firstStartSpread = 4 * time.Second
	// The longest pauses between probes of a store that doesn't answer: nodes that
	// watch it find out for the others.
	watcherMaxPause = 600 * time.Millisecond
	maxPause        = 2500 * time.Millisecond
)

// copies are the node's copies of what lies in the store, with what keeps them.
type copies struct {
	configuration, records         *replica.Copy
	keepConfiguration, keepRecords *replica.Syncer
	verify                         *replica.Verifier
	spread                         *replica.AntiEntropy
}

// provisionStore makes the store with its accounts and its gate.
func (n *Node) provisionStore() {
	n.calls = newStoreCalls(n.log)
	n.metrics.registry.MustRegister(n.calls)
	n.epochs = epoch.NewTracker()
	n.epochs.OnChange(n.epochChanged)
	n.store = platform.NewStore(n.settings.Store, recordsWait, n.calls, n.epochs)
	n.gate = reachability.NewCircuitBreaker(n.probePause, gateLog{n.log}, clock.Now)
}

// epochChanged takes that the store came back from a copy.
func (n *Node) epochChanged(change epoch.Change) {
	n.log.Record(eventlog.Event{Kind: eventlog.StoreRestored, Peer: change.Source, Previous: uint64(change.From), Version: uint64(change.To)})
	n.registrar.HandleStoreRestored()
	n.limits.keeper.HandleStoreRestored()
}

// passedOver notes that the store told less than a copy holds.
func (n *Node) passedOver(told, held store.Entry) {
	n.log.Record(eventlog.Event{Kind: eventlog.EntryPassedOver, Peer: told.Key, Version: uint64(told.Revision.Number()), Previous: uint64(held.Revision.Number())})
}

// probePause bounds the pauses between probes of a store that doesn't answer.
func (n *Node) probePause() time.Duration {
	if n.copies.keepRecords.IsWatcher() {
		return watcherMaxPause
	}
	return maxPause
}

// provisionCopies makes the copies of the configuration and of the records.
func (n *Node) provisionCopies() {
	c := &n.copies
	c.configuration = replica.NewCopy(configurationStale, n.feed.ApplyChanges, clock.Now)
	c.configuration.SetDocument(n.feed)
	if !n.settings.FirstStart {
		n.feed.Hold()
	}
	c.records = replica.NewCopy(recordsStale, n.recordsChanged, clock.Now)
	c.configuration.OnStaleEntry(n.passedOver)
	c.records.OnStaleEntry(n.passedOver)
	configurationFirst, recordsFirst := configurationDelay, time.Duration(0)
	if n.settings.FirstStart {
		recordsFirst = firstStartDelay + rand.N(firstStartSpread)
		configurationFirst = recordsFirst
	}
	c.keepConfiguration = &replica.Syncer{Copy: c.configuration, Store: n.gate.Wrap(n.store.WithPurpose(purposeConfiguration).WithWatchWait(configurationWait)), Prefix: platform.ConfigurationKey,
		Position: n.directory.Place, BatchDelay: configurationGather, InitialDelay: configurationFirst, Now: clock.Now}
	c.keepRecords = &replica.Syncer{Copy: c.records, Store: n.gate.Wrap(n.store.WithPurpose(purposeRecords)), Prefix: platform.RecordsPrefix,
		Position: n.directory.Place, BatchDelay: recordsGather, InitialDelay: recordsFirst, Now: clock.Now}
	c.verify = &replica.Verifier{Syncer: c.keepConfiguration, MaxAge: verifyAfter, Needed: n.hasTenants}
	c.spread = replica.NewAntiEntropy(replica.AntiEntropyConfig{
		Address:     n.settings.advertised(),
		Peers:       n.directory.Addresses,
		SendQuery:   n.askPeer,
		OnCall:      func(peer string) { n.forwarder.PeerAlive(peer) },
		OnConfirmed: n.gate.Hint,
		Overdue:     c.verify.Overdue,
		OnEpoch:     func(heard store.Epoch, peer string) { n.epochs.Observe(heard, peer) },

		FirstStart: n.settings.FirstStart,
		Now:        clock.Now,
	}, c.configuration, c.records)
}

func (n *Node) recordsChanged(entries []store.Entry, source string) {
	n.directory.ApplyChanges(entries, source)
	n.registrar.ApplyChanges(entries)
	n.suspects.ApplyChanges(entries)
	n.limits.keeper.ApplyChanges(entries)
}

func (n *Node) askPeer(ctx context.Context, address string, query *replica.Query) (*replica.Answer, error) {
	return n.peers.Query(ctx, address, query)
}

// recall returns the records as they were after the node started.
func (n *Node) recall(ctx context.Context) ([]store.Entry, error) {
	if err := n.copies.records.AwaitCurrent(ctx, n.started); err != nil {
		return nil, err
	}
	return n.copies.records.Entries(), nil
}

// registrarStores are the stores that the registrar writes to. A departure must
// not wait long, as the target takes no late acknowledgement.
func (n *Node) registrarStores() registry.Stores {
	return registry.Stores{
		Record:    n.gate.Wrap(n.store.WithPurpose(purposeOwnRecord)),
		Departure: n.gate.WrapUrgent(n.store.WithPurpose(purposeDeparture)),
	}
}

var _ peering.AntiEntropy = (*replica.AntiEntropy)(nil)

// gateLog logs when the store stops answering and when it answers again.
type gateLog struct{ log *eventlog.Log }

// storePeer names the store in log lines.
const storePeer = "store"

// StoreLost implements reachability.Observer.
func (g gateLog) StoreLost(cause error) {
	g.log.Record(eventlog.Event{Kind: eventlog.DependencyLost, Peer: storePeer, Reason: fmt.Sprint(cause)})
}

// StoreRegained implements reachability.Observer.
func (g gateLog) StoreRegained(after time.Duration) {
	g.log.Record(eventlog.Event{Kind: eventlog.DependencyRegained, Peer: storePeer, Age: after})
}
