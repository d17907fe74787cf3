package node

import (
	"context"
	"errors"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
)

const (
	// closeNoticePeriod is how long a node that shuts down continues to accept calls
	// while every response asks the caller to close the connection, so that callers
	// move to other nodes before their connections are closed.
	closeNoticePeriod = time.Second
	// edgeQuietPeriod is how long no call must have arrived at the edge listener
	// before its connections are closed. A call that arrives on a connection while it
	// is being closed would be lost.
	edgeQuietPeriod = time.Second
	// edgeQuietTimeout is the maximum wait for an edgeQuietPeriod.
	edgeQuietTimeout = 10 * time.Second
	// idlePeriod is how long no call must have been in flight before the mesh
	// listener is shut down. Call chains in flight on other nodes may still send
	// calls through it.
	idlePeriod = 300 * time.Millisecond
	// pollInterval is the interval of the checks for edgeQuietPeriod and idlePeriod.
	pollInterval = 20 * time.Millisecond
)

// stop shuts the node down gracefully:
//
//  1. It announces the departure to the other nodes and asks callers to close their
//     connections.
//  2. If the node is a claim replica, it waits until the replica has been replaced,
//     so that a planned shutdown does not cost the claim replicas their majority.
//     The node continues to serve calls meanwhile.
//  3. The edge listener accepts no new connections and is shut down when its callers
//     have left.
//  4. The mesh listener is shut down when the call chains that use it have completed.
//  5. The peer listener is shut down after it, because other nodes may still have
//     calls queued for targets whose home is this node.
func (n *Node) stop() error {
	n.log.WithField("step", "stop").WithField("in_flight", n.gateway.InFlight()).Info("node is shutting down")
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Drain.Timeout.Duration())
	defer cancel()
	n.stopping.Store(true)
	n.gateway.SetClosing()
	n.members.Leave()
	pause.For(ctx, closeNoticePeriod)
	n.claims.awaitHandover(ctx)
	n.sockets.edge.stopAccepting()
	n.awaitEdgeQuiet(ctx)
	edgeErr := n.sockets.edge.shutdown(ctx)
	n.awaitIdle(ctx)
	meshErr := n.sockets.mesh.shutdown(ctx)
	peerErr := n.sockets.peer.shutdown(ctx)
	n.members.Close()
	adminErr := n.sockets.admin.shutdown(ctx)
	return errors.Join(edgeErr, meshErr, peerErr, adminErr)
}

// awaitEdgeQuiet waits until no call has arrived at the edge listener for
// edgeQuietPeriod, which means that the callers have left. Every response closes its
// connection, so each open connection carries at most one more call.
func (n *Node) awaitEdgeQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, edgeQuietTimeout)
	defer cancel()
	for ctx.Err() == nil && time.Since(n.gateway.LastArrival()) < edgeQuietPeriod {
		pause.For(ctx, pollInterval)
	}
}

// awaitIdle waits until no call has been in flight in the node for idlePeriod.
func (n *Node) awaitIdle(ctx context.Context) {
	idleSince := time.Now()
	for ctx.Err() == nil && time.Since(idleSince) < idlePeriod {
		if n.gateway.InFlight() > 0 || n.homes.ActiveCalls() > 0 {
			idleSince = time.Now()
		}
		pause.For(ctx, pollInterval)
	}
}
