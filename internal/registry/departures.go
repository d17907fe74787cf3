package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/epoch"
)

const (
	// rewriteRetryDelay is the delay between attempts to rewrite a departure.
	rewriteRetryDelay = 200 * time.Millisecond
	// peerRewriteDelay is how long a node waits for the store to show a departure that a peer
	// reported, and peerRewriteJitter spreads the writes of several such nodes. Watchers
	// receive store changes up to 0.8 s late because changes are batched, plus the latency
	// between nodes.
	peerRewriteDelay  = 1300 * time.Millisecond
	peerRewriteJitter = 300 * time.Millisecond
	// forwardDelay is the delay before a departure reported by a peer is forwarded to the target's
	// node, whose process may have started after the peer sent it. Forwarding is repeated every
	// rewriteRetryDelay until the store shows the departure, which mostly happens before the first
	// attempt.
	forwardDelay = 300 * time.Millisecond
)

// errNotDue means that the departure was only forwarded, because it is too early to rewrite it.
var errNotDue = errors.New("departure is not due to be rewritten yet")

// departures holds the departures known to this node. A departure stays valid for departureTTL:
// one that is missing from the store after a restore from a backup is written again.
type departures struct {
	ownAddress string
	now        func() time.Time
	// position returns the node's position in an ordering of all nodes, false if it has none.
	position func() (int, bool)
	// write stores a departure unless it is present, and notifyHome sends it to the target's
	// node.
	write      func(ctx context.Context, departure Departure) error
	notifyHome func(ctx context.Context, departure Departure)
	wake       chan struct{}

	mutex      sync.Mutex
	byInstance map[string]*knownDeparture
}

// knownDeparture is a departure and the state of its replication.
type knownDeparture struct {
	Departure
	// receivedAt is when this node first received the departure. revision is that of its entry,
	// zero if the store is not known to hold it.
	receivedAt time.Time
	revision   store.Revision
	// due is the time of the next attempt to forward and rewrite the departure, zero if there
	// is none. Before writeAt it is only forwarded.
	due, writeAt time.Time
	// replicated means that peers hold the departure as well.
	replicated bool
}

func newDepartures(ownAddress string, position func() (int, bool), now func() time.Time, write func(context.Context, Departure) error, notifyHome func(context.Context, Departure)) *departures {
	return &departures{ownAddress: ownAddress, position: position, now: now, write: write, notifyHome: notifyHome, wake: make(chan struct{}, 1), byInstance: make(map[string]*knownDeparture)}
}

// add adds a departure that this node has written to the store.
func (d *departures) add(departure Departure) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.getOrCreate(departure)
}

// addDue adds a departure that this node writes to the store as soon as possible.
func (d *departures) addDue(departure Departure) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.getOrCreate(departure)
	if known.revision == 0 {
		known.due = d.now()
	}
	d.signal()
}

// getOrCreate returns the state of a departure, and creates it if the departure is new to this
// node. The caller holds the mutex.
func (d *departures) getOrCreate(departure Departure) *knownDeparture {
	known := d.byInstance[departure.Instance]
	if known == nil {
		known = &knownDeparture{Departure: departure, receivedAt: d.now()}
		d.byInstance[departure.Instance] = known
	}
	return known
}

// addFromPeer adds a departure reported by a peer, and reports whether it was new. If the store
// does not show it soon, it is written again.
func (d *departures) addFromPeer(departure Departure) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.byInstance[departure.Instance] != nil {
		return false
	}
	known := d.getOrCreate(departure)
	known.due = known.receivedAt.Add(forwardDelay)
	known.writeAt = known.receivedAt.Add(peerRewriteDelay + rand.N(peerRewriteJitter))
	d.signal()
	return true
}

// isKnown reports whether an incarnation is known to have departed.
func (d *departures) isKnown(instance string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.byInstance[instance] != nil
}

// isReplicated reports whether peers hold a departure.
func (d *departures) isReplicated(departure Departure) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.byInstance[departure.Instance]
	return known != nil && known.replicated
}

// markReplicated records that peers hold a departure.
func (d *departures) markReplicated(departure Departure) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.getOrCreate(departure).replicated = true
}

// markStored records that the store holds a departure.
func (d *departures) markStored(departure Departure, revision store.Revision) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.getOrCreate(departure)
	known.revision = max(known.revision, revision)
	known.due = time.Time{}
}

// markMissing records that the store doesn't hold a departure at a revision. If the store lost
// it, it is written again, immediately if this is the target's node; if its TTL has passed or it
// was deleted within the same epoch, it is removed.
func (d *departures) markMissing(instance string, revision store.Revision) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.byInstance[instance]
	if known == nil || revision <= known.revision {
		return
	}
	if known.revision.Epoch() == revision.Epoch() || d.expired(known) {
		delete(d.byInstance, instance)
		return
	}
	d.scheduleRewrite(known)
}

// markOverwritten records that another writer has replaced a departure's entry at a revision. The
// departure is written again like one that the store lost.
func (d *departures) markOverwritten(instance string, revision store.Revision) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.byInstance[instance]
	if known == nil || revision <= known.revision {
		return
	}
	d.scheduleRewrite(known)
}

// scheduleRewrite schedules a write of a departure that the store lacks: at once if this is the
// target's node, otherwise after other nodes have had time for it. The caller holds the mutex.
func (d *departures) scheduleRewrite(known *knownDeparture) {
	known.revision = 0
	position, hasPosition := d.position()
	switch {
	case known.Address == d.ownAddress:
		known.due = d.now()
	case hasPosition:
		known.writeAt = d.now().Add(epoch.TakeOverDelay(position))
		known.due = known.writeAt
		if position < notifiedPeers {
			// The target's node may run a new process that read the restored backup.
			known.due = d.now()
		}
	}
	d.signal()
}

func (d *departures) expired(known *knownDeparture) bool {
	return d.now().Sub(known.receivedAt) >= departureTTL
}

// rewriteOwn schedules a rewrite of the departures of this node's targets, because the store
// was restored from a backup that may lack them.
func (d *departures) rewriteOwn() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, known := range d.byInstance {
		if known.Address == d.ownAddress && !d.expired(known) {
			known.due = d.now()
		}
	}
	d.signal()
}

func (d *departures) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run forwards and rewrites departures when they are due, until the context ends.
func (d *departures) run(ctx context.Context) {
	for ctx.Err() == nil {
		known, wait := d.nextDue()
		if wait > 0 {
			d.sleep(ctx, wait)
			continue
		}
		d.reschedule(known.Instance, d.repair(ctx, known))
	}
}

// repair forwards a departure and, once other nodes have had time to write it, writes it again.
func (d *departures) repair(ctx context.Context, known knownDeparture) error {
	if known.Address != d.ownAddress {
		d.notifyHome(ctx, known.Departure)
	}
	if d.now().Before(known.writeAt) {
		return errNotDue
	}
	return d.write(ctx, known.Departure)
}

func (d *departures) sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-d.wake:
	case <-timer.C:
	}
}

// nextDue returns the departure with the earliest due time, and the time until then.
func (d *departures) nextDue() (knownDeparture, time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var first *knownDeparture
	for _, known := range d.byInstance {
		if !known.due.IsZero() && (first == nil || known.due.Before(first.due)) {
			first = known
		}
	}
	if first == nil {
		return knownDeparture{}, departureTTL
	}
	return *first, first.due.Sub(d.now())
}

// reschedule clears or postpones the due time of a departure after an attempt.
func (d *departures) reschedule(instance string, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.byInstance[instance]
	switch {
	case known == nil || known.due.IsZero():
	case err != nil:
		known.due = d.now().Add(rewriteRetryDelay)
	default:
		known.due = time.Time{}
	}
}
