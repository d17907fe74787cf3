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
		Digest:  n.spreader.Digest(),
		Version: uint64(time.Now().UnixMilli()),
		Levels:  n.shedLevels(),
	}.Encode()
	if err == nil {
		err = n.members.SetPayload(payload)
	}
	if err != nil {
		n.log.WithField("step", "gossip").WithError(err).Error("gossip payload not sent")
	}
}

// shedLevels returns the strictest shed levels of the targets that this node
// guards.
func (n *Node) shedLevels() []gossip.Level {
	var levels []gossip.Level
	for name, load := range n.homes.Loads() {
		if load.Threshold < shed.None {
			levels = append(levels, gossip.Level{Target: gateway.TargetHash(name), Threshold: load.Threshold})
		}
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
	n.spreader.HandleDigest(configurationMember(from), received.Digest)
	for _, level := range received.Levels {
		n.takeLevel(from, received.Version, level)
	}
}

func (n *Node) takeLevel(from membership.Member, version uint64, level gossip.Level) {
	target := n.router.TargetByHash(level.Target)
	if target == nil {
		return
	}
	n.shedding.Update(shed.Entry{
		Service:   target.Service,
		Target:    target.Name,
		Origin:    from.Name,
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
