package node

import (
	"context"
	"errors"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
)

const (
	// announcement is how long a stopping node goes on taking calls while every
	// answer asks its caller to close the connection, so that callers leave
	// before their connections do.
	announcement = time.Second
	// leavingTime is how long no call must have come before the connections of
	// callers are closed: a call that comes on one at that moment would be lost.
	leavingTime = time.Second
	// leavingLimit bounds the wait for that.
	leavingLimit = 10 * time.Second
	// quietTime is how long the mesh must have been without calls before its
	// listener stops: chains in flight elsewhere still call through it.
	quietTime = 300 * time.Millisecond
	// quietPoll is how often that is looked at.
	quietPoll = 20 * time.Millisecond
)

// stop ends the node as planned. The others are told first. A claim replica
// waits for its successor, so that planned stops never cost a majority, and the
// node goes on serving meanwhile. The listener for strangers takes no further
// connections then and stops when callers have left, the mesh when the chains that use it are done, and the
// peer listener last, because other nodes may still wait for targets that this
// node is the home of.
func (n *Node) stop() error {
	n.log.WithField("step", "stop").WithField("in_flight", n.gateway.InFlight()).Info("node stops")
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Drain.Timeout.Duration())
	defer cancel()
	n.stopping.Store(true)
	n.gateway.SetClosing()
	n.members.Leave()
	pause.For(ctx, announcement)
	n.claims.awaitHandover(ctx)
	n.sockets.edge.stopAccepting()
	n.awaitLeaving(ctx)
	edgeErr := n.sockets.edge.shutdown(ctx)
	n.awaitQuiet(ctx)
	meshErr := n.sockets.mesh.shutdown(ctx)
	peerErr := n.sockets.peer.shutdown(ctx)
	n.members.Close()
	adminErr := n.sockets.admin.shutdown(ctx)
	return errors.Join(edgeErr, meshErr, peerErr, adminErr)
}

// awaitLeaving waits until callers have left: no call has come for leavingTime.
// Every answer closes its connection, so that each caller comes at most once
// more on each connection that it holds.
func (n *Node) awaitLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leavingLimit)
	defer cancel()
	for ctx.Err() == nil && time.Since(n.gateway.LastArrival()) < leavingTime {
		pause.For(ctx, quietPoll)
	}
}

// awaitQuiet waits until no call has been in the node for quietTime.
func (n *Node) awaitQuiet(ctx context.Context) {
	quietSince := time.Now()
	for ctx.Err() == nil && time.Since(quietSince) < quietTime {
		if n.gateway.InFlight() > 0 || n.homes.InFlight() > 0 {
			quietSince = time.Now()
		}
		pause.For(ctx, quietPoll)
	}
}
