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
type emergencyDrains struct{ syncer *configuration.Syncer }

// EmergencyDrain drains the target or machine to which the name of the drain refers.
func (e emergencyDrains) EmergencyDrain(name string) error {
	if !e.syncer.AddEmergencyDrain(name) {
		return errTooManyDrains
	}
	return nil
}

// EmergencyDrained reports whether an emergency drain with the name is active.
func (e emergencyDrains) EmergencyDrained(name string) bool {
	return e.syncer.EmergencyDrains().Drained(name)
}

// externalDrains are the drains that are not stored as configuration objects:
// emergency drains and those of the machine list. A source can add drains, but it
// cannot remove those of another source.
type externalDrains struct{ node *Node }

// Drained reports whether any source has a drain with the name.
func (d externalDrains) Drained(name string) bool {
	if d.node.syncer.EmergencyDrains().Drained(name) {
		return true
	}
	return d.node.machines != nil && d.node.machines.Drained(name)
}

// handleConfigurationChange is called for each change of the replica.
func (n *Node) handleConfigurationChange([]resource.Versioned) {
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

// rebuildInterval is the interval of the periodic rebuilds. They are needed because
// emergency drains expire without a change notification.
const rebuildInterval = time.Second

// minRebuildInterval is the minimum time between two rebuilds. It limits the CPU
// time that rebuilds use when many nodes fail at once.
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

// viewInputs is a fixed-size digest of the state that a view is built from. Views
// that are built from equal inputs are equal.
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
		objects:    digest.ObjectSum,
		tombstones: digest.TombstoneSum,
		members:    n.members.Digest(),
		liveCount:  len(live),
		suspects:   hashSuspects(live),
		drains:     n.syncer.EmergencyDrains().Sum(),
	}
	if n.machines != nil {
		inputs.machines = n.machines.Generation()
	}
	return inputs
}

// hashSuspects returns an order-independent hash of the names of the members that
// are suspected to have failed.
func hashSuspects(members []membership.Member) uint64 {
	var sum uint64
	for _, member := range members {
		if member.State == membership.Suspect {
			sum ^= xxhash.Sum64String(member.Name)
		}
	}
	return sum
}

func (n *Node) rebuildView() {
	// The readiness is read before the view is built and published afterwards, so that
	// no call is routed according to a view that is older than the complete
	// configuration.
	ready := n.syncer.Ready()
	defer n.gateway.SetReady(ready)
	floor := n.replica.Floor()
	defer n.viewFloor.Store(int64(floor))
	live := n.members.Live("")
	inputs := n.viewInputs(live)
	if inputs == n.lastInputs {
		return
	}
	n.lastInputs = inputs
	view, policyErrors := catalog.Build(n.replica, externalDrains{n}, n.view)
	for _, policyError := range policyErrors {
		if _, logged := n.loggedPolicyErrors.LoadOrStore(policyError.Error(), true); !logged {
			n.log.WithField("step", "configuration").WithError(policyError).Error("policy does not compile; the service keeps its previous or the default policy")
		}
	}
	n.view = view
	n.router.Update(view, live)
	n.homeClient.Retain(peerAddresses(live))
}

func peerAddresses(members []membership.Member) map[string]bool {
	addresses := make(map[string]bool, len(members))
	for _, member := range members {
		addresses[member.PeerAddress] = true
	}
	return addresses
}
