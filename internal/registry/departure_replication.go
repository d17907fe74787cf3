package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
)

const (
	// requiredPeers is the number of peers that should hold a departure when it is acknowledged,
	// and notifiedPeers the number that are notified concurrently, as some may be down. Other nodes
	// read a departure from the store up to a second after it was written. If its node is killed in
	// that second and the store is restored from a backup without the departure, only the peers
	// still hold it: without them, a target that had left executed 179 requests in 7 s.
	requiredPeers = 2
	notifiedPeers = 3
	// peerTimeout bounds the wait for peers. They respond within some milliseconds, and the
	// departure is in the store if they don't.
	peerTimeout = 150 * time.Millisecond
)

// Peers is the transport for departures and starts of targets between nodes.
type Peers struct {
	// Addresses returns the addresses of all nodes, possibly including this one.
	Addresses func() []string
	// Notify sends a departure to the node at an address.
	Notify func(ctx context.Context, address string, departure Departure) error
	// NotifyStart sends a notice of a target's start to the node at an address; nil sends none.
	NotifyStart func(ctx context.Context, address string, notice StartNotice) error
}

// replicateDeparture sends a departure to peers and returns once enough of them hold it, or all
// have responded or timed out. Each departure is replicated once, unless no peer received it.
func (r *Registrar) replicateDeparture(ctx context.Context, departure Departure) {
	if r.departures.isReplicated(departure) {
		return
	}
	peers := r.choosePeers()
	results := make(chan error, len(peers))
	for _, address := range peers {
		go func() { results <- r.notifyPeer(ctx, address, departure) }()
	}
	acknowledged := 0
	for range peers {
		if err := <-results; err == nil {
			acknowledged++
		}
		if acknowledged == requiredPeers {
			break
		}
	}
	if acknowledged > 0 {
		r.departures.markReplicated(departure)
	}
}

// choosePeers returns random peers.
func (r *Registrar) choosePeers() []string {
	addresses := r.config.Peers.Addresses()
	var peers []string
	for _, i := range rand.Perm(len(addresses)) {
		if addresses[i] != r.config.Address && len(peers) < notifiedPeers {
			peers = append(peers, addresses[i])
		}
	}
	return peers
}

// notifyPeer sends a departure to one node. The call is not canceled when the caller stops
// waiting.
func (r *Registrar) notifyPeer(ctx context.Context, address string, departure Departure) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerTimeout)
	defer cancel()
	return r.config.Peers.Notify(ctx, address, departure)
}

// notifyHome sends a departure to the target's node and logs a failure.
func (r *Registrar) notifyHome(ctx context.Context, departure Departure) {
	if err := r.notifyPeer(ctx, departure.Address, departure); err != nil {
		r.log.Record(eventlog.Event{Kind: eventlog.DepartureUntold, Target: departure.Instance, Peer: departure.Address, Reason: err.Error()})
	}
}

// HandleDeparture handles a departure reported by a peer. It concerns either that peer's target,
// or the local one if an earlier process here acknowledged it.
func (r *Registrar) HandleDeparture(departure Departure) {
	if !r.departures.addFromPeer(departure) {
		return
	}
	r.log.Record(eventlog.Event{Kind: eventlog.DepartureHeard, Target: departure.Instance, Peer: departure.Address})
	r.applyDeparture(departure)
}

// applyDeparture applies a departure to the local target if it concerns this node.
func (r *Registrar) applyDeparture(departure Departure) {
	if departure.Address != r.config.Address {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.markDeparted(parseIncarnation(departure.Instance), Draining)
}
