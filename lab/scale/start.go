package scale

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// StartedNode is a hollow node that runs or has its sockets.
type StartedNode struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// reserve opens the sockets of nodes that are to start later.
func (g *group) reserve(_ context.Context, configs []HollowConfig) ([]StartedNode, error) {
	var reserved []StartedNode
	for _, config := range configs {
		sockets, err := listenPeer(config.Listen)
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		g.reserved[config.Name] = sockets
		g.mu.Unlock()
		reserved = append(reserved, StartedNode{Name: config.Name, Zone: config.Zone, Address: sockets.address()})
	}
	return reserved, nil
}

// sockets returns the sockets that were reserved for the node, or new ones.
func (g *group) sockets(config HollowConfig) (peerSockets, error) {
	g.mu.Lock()
	sockets, found := g.reserved[config.Name]
	delete(g.reserved, config.Name)
	g.mu.Unlock()
	if found {
		return sockets, nil
	}
	return listenPeer(config.Listen)
}

// startRequest starts nodes. If members are given, the nodes know them and have
// the store's objects from the start.
type startRequest struct {
	Nodes []HollowConfig      `json:"nodes"`
	Known []membership.Member `json:"known"`
	// At is when the nodes begin to run, in microseconds since 1970; zero is at
	// once. Nodes that know each other should begin together, or the first
	// suspect the others.
	At int64 `json:"at"`
}

func (g *group) start(ctx context.Context, request startRequest) ([]StartedNode, error) {
	var nodes []*hollow
	var started []StartedNode
	var snapshot store.Snapshot
	for _, config := range request.Nodes {
		node, err := g.provision(config, request.Known)
		if err != nil {
			return nil, err
		}
		if len(request.Known) > 0 && len(nodes) == 0 {
			snapshot, err = node.store.List(ctx, resource.Prefix)
			if err != nil {
				return nil, err
			}
		}
		if err := node.fill(snapshot); err != nil {
			return nil, err
		}
		nodes = append(nodes, node)
		started = append(started, StartedNode{Name: config.Name, Zone: config.Zone, Address: node.address})
	}
	if request.At != 0 && pause(ctx, time.Until(time.UnixMicro(request.At))) != nil {
		return nil, ctx.Err()
	}
	for _, node := range nodes {
		node.run()
	}
	return started, nil
}

func (g *group) provision(config HollowConfig, known []membership.Member) (*hollow, error) {
	sockets, err := g.sockets(config)
	if err != nil {
		return nil, err
	}
	node, err := newHollow(config, sockets, known, g.cut, g.recorder)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nodes[config.Name] = node
	return node, nil
}

// fill takes all objects over from a list of the store, if there is one.
func (h *hollow) fill(snapshot store.Snapshot) error {
	if snapshot.Revision == 0 {
		return nil
	}
	versions := make([]resource.Versioned, 0, len(snapshot.Entries))
	for _, stored := range snapshot.Entries {
		envelope, err := resource.DecodeEnvelope(stored.Value)
		if err != nil {
			return oops.In("scale").With("step", "fill").Wrap(err)
		}
		versions = append(versions, resource.Versioned{Envelope: envelope, Revision: stored.Revision})
	}
	h.replica.ApplyComplete(versions, snapshot.Revision)
	return nil
}
