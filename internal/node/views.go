package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/configuration"
	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/resource"
)

// emergencyDrains lets the administration API drain targets and machines when
// the store is unavailable.
type emergencyDrains struct{ spreader *configuration.Syncer }

// EmergencyDrain drains the target or machine that the name of the drain denotes.
func (e emergencyDrains) EmergencyDrain(name string) error {
	if !e.spreader.AddEmergencyDrain(name) {
		return errTooManyDrains
	}
	return nil
}

// EmergencyDrained reports whether an emergency drain of that name is active.
func (e emergencyDrains) EmergencyDrained(name string) bool {
	return e.spreader.EmergencyDrains().Drained(name)
}

// nonStoreDrains are the drains that are not stored as objects: emergency drains
// and those of the machine list. A source can add drains but not remove those of
// another.
type nonStoreDrains struct{ node *Node }

// Drained reports whether any source has a drain of that name.
func (d nonStoreDrains) Drained(name string) bool {
	if d.node.spreader.EmergencyDrains().Drained(name) {
		return true
	}
	return d.node.machines != nil && d.node.machines.Drained(name)
}

// configurationChanged is the subscriber to changes of the replica.
func (n *Node) configurationChanged([]resource.Versioned) {
	n.requestRebuild()
}

// requestRebuild schedules a rebuild of the configuration view. It does not
// block.
func (n *Node) requestRebuild() {
	select {
	case n.rebuildRequests <- struct{}{}:
	default:
	}
}

// rebuildInterval is the interval of rebuilds without a notified change. They
// are needed because emergency drains expire.
const rebuildInterval = time.Second

// minRebuildInterval is the minimum time between two rebuilds. It bounds the CPU
// time spent on rebuilds when many nodes fail at once.
const minRebuildInterval = 50 * time.Millisecond

func (n *Node) runRebuildLoop(ctx context.Context) {
	ticker := time.NewTicker(rebuildInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		n.rebuildView()
		pause.For(ctx, minRebuildInterval)
		if !n.gateway.Ready() {
			// The configuration may become complete without a change that triggers
			// a rebuild.
			continue
		}
		select {
		case <-ctx.Done():
		case <-n.rebuildRequests:
		case <-ticker.C:
		}
	}
}

// viewInputs is a fixed-size summary of the state that a view is built from.
// Equal inputs yield equal views.
type viewInputs struct {
	objects    uint64
	tombstones uint64
	members    uint64
	liveCount  int
	suspects   uint64
	drains     uint64
	machines   uint64
}

func (n *Node) viewInputs(live []membership.Member) viewInputs {
	digest := n.replica.Digest()
	inputs := viewInputs{
		objects:    digest.Sum,
		tombstones: digest.Tombstones,
		members:    n.members.Digest(),
		liveCount:  len(live),
		suspects:   suspectHash(live),
		drains:     n.spreader.EmergencyDrains().Sum(),
	}
	if n.machines != nil {
		inputs.machines = n.machines.Generation()
	}
	return inputs
}

// suspectHash returns an order-independent hash of the names of suspected
// members.
func suspectHash(live []membership.Member) uint64 {
	var sum uint64
	for _, member := range live {
		if member.State == membership.Suspect {
			sum ^= xxhash.Sum64String(member.Name)
		}
	}
	return sum
}

func (n *Node) rebuildView() {
	// Readiness is read before the build and published after it, so that no call
	// is routed by a view that is older than the complete configuration.
	ready := n.spreader.Ready()
	defer n.gateway.SetReady(ready)
	floor := n.replica.Floor()
	defer n.viewFloor.Store(int64(floor))
	live := n.members.Live("")
	inputs := n.viewInputs(live)
	if inputs == n.lastInputs {
		return
	}
	n.lastInputs = inputs
	view, faults := catalog.Build(n.replica, nonStoreDrains{n}, n.view)
	for _, fault := range faults {
		if _, logged := n.loggedFaults.LoadOrStore(fault.Error(), true); !logged {
			n.log.WithField("step", "configuration").WithError(fault).Error("policy does not compile; the service keeps its previous or the default policy")
		}
	}
	n.view = view
	n.router.Update(view, live)
	n.peers.Retain(peerAddresses(live))
}

func peerAddresses(members []membership.Member) map[string]bool {
	addresses := make(map[string]bool, len(members))
	for _, member := range members {
		addresses[member.PeerAddress] = true
	}
	return addresses
}
