// Package node puts the parts of a node together: it provisions them from the
// settings, runs them, and stops them in an order that cuts off no call.
package node

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/configuration"
	"github.com/lugspur/lugspur/internal/gateway"
	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/liveness"
	"github.com/lugspur/lugspur/internal/machines"
	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/internal/metrics"
	"github.com/lugspur/lugspur/internal/settings"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/store"
)

// Node is one running instance of lugspur.
type Node struct {
	settings settings.Node
	log      *logrus.Entry
	started  time.Time

	sockets    sockets
	store      store.Store
	closeStore func()
	peerClient *http.Client

	members  *membership.Membership
	replica  *configuration.Replica
	spreader *configuration.Syncer
	machines *machines.Follower
	router   *gateway.Router
	homes    *home.Manager
	peers    *home.Client
	shedding *shed.Table
	gateway  *gateway.Gateway
	claims   *claims
	metrics  *metrics.Metrics
	digests  *digestTable
	levels   levelMemory
	liveness *liveness.Monitor
	view     *catalog.View
	built    viewInputs
	// viewFloor is a revision up to which the view holds every change.
	viewFloor   atomic.Int64
	rebuild     chan struct{}
	stopping    atomic.Bool
	faultLogged sync.Map
}

// Run provisions a node, runs it until the context ends, and then stops it as
// planned: calls in flight are finished within settings.Drain.Timeout.
func Run(ctx context.Context, node settings.Node, log *logrus.Entry) error {
	n, err := provision(node, log)
	if err != nil {
		return err
	}
	return n.run(ctx)
}

// provision opens the listeners and makes the parts. Nothing runs yet.
func provision(node settings.Node, log *logrus.Entry) (*Node, error) {
	n := &Node{
		settings: node,
		log:      log.WithField("node", node.Name).WithField("zone", node.Zone),
		started:  time.Now(),
		rebuild:  make(chan struct{}, 1),
		view:     catalog.Empty(),
		digests:  newDigestTable(),
		levels:   newLevelMemory(),
		liveness: liveness.NewMonitor(time.Now),
		metrics:  metrics.New(),
	}
	if err := n.sockets.open(node.Listen); err != nil {
		return nil, err
	}
	if err := n.provisionParts(); err != nil {
		n.sockets.close()
		return nil, err
	}
	return n, nil
}

// run starts everything, waits for the end of the context or a failure, and
// stops.
func (n *Node) run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var background sync.WaitGroup
	start := func(work func(context.Context)) {
		background.Go(func() { work(running) })
	}
	start(func(ctx context.Context) { _ = n.members.Run(ctx) })
	start(n.liveness.Run)
	start(n.spreader.Run)
	start(n.homes.Maintain)
	start(n.keepRebuilding)
	start(n.keepGossiping)
	start(n.claims.run)
	if n.machines != nil {
		start(n.machines.Run)
	}
	failed := n.sockets.start()
	n.log.WithField("step", "start").WithField("listen", n.settings.Listen).Info("node started")

	var err error
	select {
	case <-ctx.Done():
		err = n.stop()
	case err = <-failed:
		err = fmt.Errorf("serve: %w", err)
	}
	cancel()
	background.Wait()
	n.sockets.close()
	n.closeStore()
	n.log.WithField("step", "stop").Info("node stopped")
	return err
}

// paused is told that the process stood still. Others may have taken over its
// targets meanwhile, so it forgets what it held as their home.
func (n *Node) paused(pause time.Duration) {
	n.log.WithField("step", "membership").WithField("pause_ms", pause.Milliseconds()).Warn("the node was paused")
	n.homes.Reset()
}
