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

// gossipInterval is how often the payload of the gossip is made anew.
const gossipInterval = 100 * time.Millisecond

// keepGossiping keeps the payload up to date.
func (n *Node) keepGossiping(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		n.updateGossip()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) updateGossip() {
	payload, err := gossip.Payload{
		Digest:     n.spreader.Digest(),
		Version:    uint64(time.Now().UnixMilli()),
		Levels:     n.shedLevels(),
		ClaimEpoch: n.claims.epoch(),
	}.Encode()
	if err == nil {
		err = n.members.SetPayload(payload)
	}
	if err != nil {
		n.log.WithField("step", "gossip").WithError(err).Error("gossip payload not sent")
	}
}

// levelMemory remembers when targets last had a shed level, so that its end is
// told for as long as others might hold on to it.
type levelMemory struct {
	shedAt map[string]time.Time
}

func newLevelMemory() levelMemory { return levelMemory{shedAt: map[string]time.Time{}} }

// tells reports whether the target's threshold has to be told now.
func (m levelMemory) tells(target string, threshold uint16, now time.Time) bool {
	if threshold < shed.None {
		m.shedAt[target] = now
		return true
	}
	at, known := m.shedAt[target]
	if known && now.Sub(at) > shed.DefaultExpiry {
		delete(m.shedAt, target)
		return false
	}
	return known
}

// shedLevels returns the strictest shed levels of the targets that this node
// guards, and of those that had one lately. This node's own table learns them
// here as well: calls that it refuses bring no answers that would tell them.
func (n *Node) shedLevels() []gossip.Level {
	now := time.Now()
	var levels []gossip.Level
	for name, load := range n.homes.Loads() {
		if !n.levels.tells(name, load.Threshold, now) {
			continue
		}
		level := gossip.Level{Target: gateway.TargetHash(name), Threshold: load.Threshold}
		levels = append(levels, level)
		n.takeLevel(n.settings.Name, load.Version, level)
	}
	return gossip.Strictest(levels)
}

// takeGossip takes in another node's payload.
func (n *Node) takeGossip(from membership.Member, payload []byte) {
	received, err := gossip.Decode(payload)
	if err != nil {
		n.log.WithField("step", "gossip").WithField("peer", from.PeerAddress).WithError(err).Debug("malformed gossip")
		return
	}
	n.digests.set(from.Name, received.Digest.Floor)
	n.noteCaughtUp(received.Digest.Floor)
	n.spreader.HandleDigest(gossip.ConfigurationMember(from), received.Digest)
	n.claims.heardOf(received.ClaimEpoch, from.PeerAddress)
	for _, level := range received.Levels {
		n.takeLevel(from.Name, received.Version, level)
	}
}

// noteCaughtUp ends the time after a pause in which the node does not act, once
// it has the configuration of a node that it heard since, and its view is built
// from it.
func (n *Node) noteCaughtUp(floor store.Revision) {
	if n.viewFloor.Load() >= int64(floor) {
		n.liveness.MarkCaughtUp(time.Now())
	}
}

// takeLevel takes in the shed level of a target as its home, origin, tells it.
func (n *Node) takeLevel(origin string, version uint64, level gossip.Level) {
	target := n.router.TargetByHash(level.Target)
	if target == nil {
		return
	}
	n.shedding.Update(shed.Entry{
		Service:   target.Service,
		Target:    target.Name,
		Origin:    origin,
		Threshold: level.Threshold,
		Weight:    float64(target.Slots),
		Version:   version,
	}, time.Now())
}

// digestTable holds how far the configuration of other nodes is.
type digestTable struct {
	mutex  sync.Mutex
	floors map[string]store.Revision
}

// maxDigests bounds the table; a name beyond it is not taken in.
const maxDigests = 8192

func newDigestTable() *digestTable { return &digestTable{floors: map[string]store.Revision{}} }

func (t *digestTable) set(node string, floor store.Revision) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, known := t.floors[node]; known || len(t.floors) < maxDigests {
		t.floors[node] = floor
	}
}

func (t *digestTable) get(node string) store.Revision {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.floors[node]
}
