package node

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/gateway"
	"github.com/lugspur/lugspur/internal/gossip"
	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/store"
)

// gossipInterval is the interval at which the gossip payload is regenerated.
const gossipInterval = 100 * time.Millisecond

// runGossipLoop updates the gossip payload periodically until the context is
// cancelled.
func (n *Node) runGossipLoop(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		n.updateGossipPayload()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) updateGossipPayload() {
	payload, err := gossip.Payload{
		Digest:     n.syncer.Digest(),
		Version:    uint64(time.Now().UnixMilli()),
		Levels:     n.shedLevels(),
		ClaimEpoch: n.claims.epoch(),
	}.Encode()
	if err == nil {
		err = n.members.SetPayload(payload)
	}
	if err != nil {
		n.log.WithField("step", "gossip").WithError(err).Error("failed to update the gossip payload")
	}
}

// shedLevelTracker determines which targets the gossip payload includes: those that
// shed calls, and those that stopped, until the entries in the tables of other nodes
// have expired.
type shedLevelTracker struct {
	// lastShed is when each target last shed calls.
	lastShed map[string]time.Time
}

func newShedLevelTracker() shedLevelTracker {
	return shedLevelTracker{lastShed: map[string]time.Time{}}
}

// shouldAnnounce reports whether the gossip payload must include the target's
// threshold.
func (t shedLevelTracker) shouldAnnounce(target string, threshold uint16, now time.Time) bool {
	if threshold < shed.None {
		t.lastShed[target] = now
		return true
	}
	last, found := t.lastShed[target]
	if found && now.Sub(last) > shed.DefaultExpiry {
		delete(t.lastShed, target)
		return false
	}
	return found
}

// shedLevels returns the strictest shed levels of the targets whose home is this
// node, including targets that stopped shedding recently. It also updates the
// node's own table, because a call that the gateway refuses reaches no home whose
// response would report the level.
func (n *Node) shedLevels() []gossip.ShedLevel {
	now := time.Now()
	var levels []gossip.ShedLevel
	for name, load := range n.homes.Loads() {
		if !n.shedTracker.shouldAnnounce(name, load.Threshold, now) {
			continue
		}
		level := gossip.ShedLevel{Target: gateway.TargetHash(name), Threshold: load.Threshold}
		levels = append(levels, level)
		n.updateShedLevel(n.settings.Name, load.Version, level)
	}
	return gossip.Strictest(levels)
}

// handleGossip processes the gossip payload of another node.
func (n *Node) handleGossip(from membership.Member, payload []byte) {
	received, err := gossip.Decode(payload)
	if err != nil {
		n.log.WithField("step", "gossip").WithField("peer", from.PeerAddress).WithError(err).Debug("ignored a malformed gossip payload")
		return
	}
	n.peerFloors.set(from.Name, received.Digest.Floor)
	n.resumeIfCaughtUp(received.Digest.Floor)
	n.syncer.HandleDigest(gossip.ConfigurationMember(from), received.Digest)
	n.claims.handleRosterEpoch(received.ClaimEpoch, from.PeerAddress)
	for _, level := range received.Levels {
		n.updateShedLevel(from.Name, received.Version, level)
	}
}

// resumeIfCaughtUp lets the node act as a home again after the process was paused,
// once its view includes the configuration revision that another node has
// advertised since the pause.
func (n *Node) resumeIfCaughtUp(floor store.Revision) {
	if n.viewFloor.Load() >= int64(floor) {
		n.liveness.MarkCaughtUp(time.Now())
	}
}

// updateShedLevel records the shed level that origin, the target's home, has
// advertised.
func (n *Node) updateShedLevel(origin string, version uint64, level gossip.ShedLevel) {
	target := n.router.TargetByHash(level.Target)
	if target == nil {
		return
	}
	n.shedTable.Update(shed.Entry{
		Service:   target.Service,
		Target:    target.Name,
		Origin:    origin,
		Threshold: level.Threshold,
		Weight:    float64(target.Slots),
		Version:   version,
	}, time.Now())
}

// floorTable stores the configuration floor of each other node: the revision up to
// which the node's configuration is complete.
type floorTable struct {
	mutex  sync.Mutex
	floors map[string]store.Revision
}

// maxFloors is the maximum number of nodes in a floorTable. Further nodes are not
// recorded.
const maxFloors = 8192

func newFloorTable() *floorTable { return &floorTable{floors: map[string]store.Revision{}} }

func (t *floorTable) set(node string, floor store.Revision) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, found := t.floors[node]; found || len(t.floors) < maxFloors {
		t.floors[node] = floor
	}
}

func (t *floorTable) get(node string) store.Revision {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.floors[node]
}
