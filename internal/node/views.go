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

// emergencyDrains lets the administration API mark drains without the store.
type emergencyDrains struct{ spreader *configuration.Syncer }

// EmergencyDrain marks what the drain of that name marks.
func (e emergencyDrains) EmergencyDrain(name string) error {
	if !e.spreader.AddEmergencyDrain(name) {
		return errTooManyDrains
	}
	return nil
}

// EmergencyDrained reports whether such a mark holds.
func (e emergencyDrains) EmergencyDrained(name string) bool {
	return e.spreader.EmergencyDrains().Drained(name)
}

// marks are the drains besides the operators' objects. Each source only adds.
type marks struct{ node *Node }

// Drained reports whether any source marks what the drain's name says.
func (m marks) Drained(name string) bool {
	if m.node.spreader.EmergencyDrains().Drained(name) {
		return true
	}
	return m.node.machines != nil && m.node.machines.Drained(name)
}

// configurationChanged is told of every change of the replica.
func (n *Node) configurationChanged([]resource.Versioned) {
	n.requestRebuild()
}

// requestRebuild has the view of the configuration built anew soon. It does not
// block.
func (n *Node) requestRebuild() {
	select {
	case n.rebuild <- struct{}{}:
	default:
	}
}

// rebuildInterval is how often the view is built anew without a known change:
// emergency drains expire.
const rebuildInterval = time.Second

// rebuildPause is the least time between two builds, so that the loss of many
// nodes at once costs a bounded share of the processor.
const rebuildPause = 50 * time.Millisecond

func (n *Node) keepRebuilding(ctx context.Context) {
	ticker := time.NewTicker(rebuildInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		n.rebuildView()
		pause.For(ctx, rebuildPause)
		if !n.gateway.Ready() {
			// A view may become complete without any change.
			continue
		}
		select {
		case <-ctx.Done():
		case <-n.rebuild:
		case <-ticker.C:
		}
	}
}

// viewInputs is what a view is built from, in constant size. The same inputs
// give the same view.
type viewInputs struct {
	objects    uint64
	tombstones uint64
	members    uint64
	live       int
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
		live:       len(live),
		suspects:   suspectsOf(live),
		drains:     n.spreader.EmergencyDrains().Sum(),
	}
	if n.machines != nil {
		inputs.machines = n.machines.Generation()
	}
	return inputs
}

// suspectsOf returns a hash of the members that are suspected to have failed.
func suspectsOf(live []membership.Member) uint64 {
	var sum uint64
	for _, member := range live {
		if member.State == membership.Suspect {
			sum ^= xxhash.Sum64String(member.Name)
		}
	}
	return sum
}

func (n *Node) rebuildView() {
	// Whether there is a complete view is read before and told after the build,
	// so that no call is decided on an older one.
	ready := n.spreader.Ready()
	defer n.gateway.SetReady(ready)
	floor := n.replica.Floor()
	defer n.viewFloor.Store(int64(floor))
	live := n.members.Live("")
	inputs := n.viewInputs(live)
	if inputs == n.built {
		return
	}
	n.built = inputs
	view, faults := catalog.Build(n.replica, marks{n}, n.view)
	for _, fault := range faults {
		if _, logged := n.faultLogged.LoadOrStore(fault.Error(), true); !logged {
			n.log.WithField("step", "configuration").WithError(fault).Error("a policy was not taken over")
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
