package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
)

const (
	// witnesses is how many peers are to know a departure before it is acknowledged, and
	// askedWitnesses how many are told at once, as some may be gone. It guards departures
	// whose node is killed within the second in which others hear of them from the store,
	// beside a store that comes back from a copy without them: the target that left then ran
	// 179 requests in 7 s.
	witnesses      = 2
	askedWitnesses = 3
	// witnessTimeout bounds the wait for peers. They answer within some milliseconds, and
	// the departure is in the store if they don't.
	witnessTimeout = 150 * time.Millisecond
)

// Peers is how departures are told from node to node.
type Peers struct {
	// Addresses returns those of all nodes; the own one may be among them.
	Addresses func() []string
	// Notify tells the node at an address of a departure.
	Notify func(ctx context.Context, address string, departure Departure) error
}

// awaitWitnesses tells peers of a departure and returns once enough of them know it, or none
// answers in time. Each departure is told once, unless nobody heard it.
func (r *Registrar) awaitWitnesses(ctx context.Context, departure Departure) {
	if r.facts.isWitnessed(departure) {
		return
	}
	chosen := r.chooseWitnesses()
	told := make(chan error, len(chosen))
	for _, address := range chosen {
		go func() { told <- r.tell(ctx, address, departure) }()
	}
	known := 0
	for range chosen {
		if err := <-told; err == nil {
			known++
		}
		if known == witnesses {
			break
		}
	}
	if known > 0 {
		r.facts.witnessed(departure)
	}
}

// chooseWitnesses returns peers at random.
func (r *Registrar) chooseWitnesses() []string {
	addresses := r.config.Peers.Addresses()
	var chosen []string
	for _, i := range rand.Perm(len(addresses)) {
		if addresses[i] != r.config.Address && len(chosen) < askedWitnesses {
			chosen = append(chosen, addresses[i])
		}
	}
	return chosen
}

// tell tells one node. What it was told stays told if the one that waits gives up.
func (r *Registrar) tell(ctx context.Context, address string, departure Departure) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), witnessTimeout)
	defer cancel()
	return r.config.Peers.Notify(ctx, address, departure)
}

// passOn tells the node beside a target that left of that.
func (r *Registrar) passOn(ctx context.Context, departure Departure) {
	if err := r.tell(ctx, departure.Address, departure); err != nil {
		r.log.Record(eventlog.Event{Kind: eventlog.DepartureUntold, Target: departure.Instance, Peer: departure.Address, Reason: err.Error()})
	}
}

// LearnDeparture takes a departure that a peer told: of a target beside that peer, or of one
// beside this node, which was acknowledged by an earlier process here.
func (r *Registrar) LearnDeparture(departure Departure) {
	if !r.facts.heard(departure) {
		return
	}
	r.log.Record(eventlog.Event{Kind: eventlog.DepartureHeard, Target: departure.Instance, Peer: departure.Address})
	r.bind(departure)
}

// bind has a departure bind the target beside this node, if it is of one.
func (r *Registrar) bind(departure Departure) {
	if departure.Address != r.config.Address {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	left := parseIncarnation(departure.Instance)
	r.learnStart(left)
	r.depart(left, Draining)
}
