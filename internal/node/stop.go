package node

import (
	"context"
	"errors"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
)

const (
	// closeNoticePeriod is how long a stopping node continues to accept calls
	// while every answer asks its caller to close the connection, so that callers
	// move to other nodes before their connections are closed.
	closeNoticePeriod = time.Second
	// edgeQuietPeriod is how long no call must have arrived before the callers'
	// connections are closed: a call that arrives on a connection while it is
	// being closed would be lost.
	edgeQuietPeriod = time.Second
	// edgeQuietTimeout bounds the wait for edgeQuietPeriod.
	edgeQuietTimeout = 10 * time.Second
	// idlePeriod is how long no call must have been in flight before the mesh
	// listener stops: requests in flight on other nodes may still send calls
	// through it.
	idlePeriod = 300 * time.Millisecond
	// idlePollInterval is the interval of the checks for both periods.
	idlePollInterval = 20 * time.Millisecond
)

// stop shuts the node down gracefully. It first announces the departure to the
// other nodes. A claim replica then waits until it is replaced, so that planned
// stops never cost the majority, and the node continues to serve meanwhile. The
// edge listener then accepts no new connections and stops when callers have
// left. The mesh listener stops when the call chains that use it have completed,
// and the peer listener after it, because other nodes may still have calls
// queued for targets whose home is this node.
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

// awaitEdgeQuiet waits until callers have left, which is when no call has arrived
// for edgeQuietPeriod. Every answer closes its connection, so each open
// connection carries at most one more call.
func (n *Node) awaitEdgeQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, edgeQuietTimeout)
	defer cancel()
	for ctx.Err() == nil && time.Since(n.gateway.LastArrival()) < edgeQuietPeriod {
		pause.For(ctx, idlePollInterval)
	}
}

// awaitIdle waits until no call has been in flight in the node for idlePeriod.
func (n *Node) awaitIdle(ctx context.Context) {
	idleSince := time.Now()
	for ctx.Err() == nil && time.Since(idleSince) < idlePeriod {
		if n.gateway.InFlight() > 0 || n.homes.InFlight() > 0 {
			idleSince = time.Now()
		}
		pause.For(ctx, idlePollInterval)
	}
}
