// Package node assembles a node: it creates the components from the settings, runs
// them, and shuts them down in an order that does not interrupt calls.
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

// Node is a running lugspur instance.
type Node struct {
	settings  settings.Node
	log       *logrus.Entry
	startedAt time.Time

	sockets    sockets
	store      store.Store
	closeStore func()
	peerClient *http.Client

	members     *membership.Membership
	replica     *configuration.Replica
	syncer      *configuration.Syncer
	machines    *machines.Poller
	router      *gateway.Router
	homes       *home.Manager
	homeClient  *home.Client
	shedTable   *shed.Table
	gateway     *gateway.Gateway
	claims      *claims
	metrics     *metrics.Metrics
	peerFloors  *floorTable
	shedTracker shedLevelTracker
	liveness    *liveness.Monitor
	// view and lastInputs belong to the rebuild loop: the current view and the inputs
	// that it was built from.
	view       *catalog.View
	lastInputs viewInputs
	// viewFloor is the revision up to which the view contains every change.
	viewFloor       atomic.Int64
	rebuildRequests chan struct{}
	stopping        atomic.Bool
	// loggedPolicyErrors is the set of policy errors that were logged, so that each is
	// logged only once.
	loggedPolicyErrors sync.Map
}

// Run runs a node until the context is cancelled and then shuts it down
// gracefully: calls in flight have the time node.Drain.Timeout to complete.
func Run(ctx context.Context, node settings.Node, log *logrus.Entry) error {
	n, err := newNode(node, log)
	if err != nil {
		return err
	}
	return n.run(ctx)
}

// newNode opens the listeners and creates the components without starting them.
func newNode(node settings.Node, log *logrus.Entry) (*Node, error) {
	n := &Node{
		settings:        node,
		log:             log.WithField("node", node.Name).WithField("zone", node.Zone),
		startedAt:       time.Now(),
		rebuildRequests: make(chan struct{}, 1),
		view:            catalog.Empty(),
		peerFloors:      newFloorTable(),
		shedTracker:     newShedLevelTracker(),
		liveness:        liveness.NewMonitor(time.Now),
		metrics:         metrics.New(),
	}
	if err := n.sockets.open(node.Listen); err != nil {
		return nil, err
	}
	if err := n.createComponents(); err != nil {
		n.sockets.close()
		return nil, err
	}
	return n, nil
}

// run starts all components, waits until the context is cancelled or a listener
// fails, and shuts down.
func (n *Node) run(ctx context.Context) error {
	backgroundCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var background sync.WaitGroup
	start := func(work func(context.Context)) {
		background.Go(func() { work(backgroundCtx) })
	}
	start(func(ctx context.Context) { _ = n.members.Run(ctx) })
	start(n.liveness.Run)
	start(n.syncer.Run)
	start(n.homes.Maintain)
	start(n.runRebuildLoop)
	start(n.runGossipLoop)
	start(n.claims.run)
	if n.machines != nil {
		start(n.machines.Run)
	}
	serveErrors := n.sockets.start()
	n.log.WithField("step", "start").WithField("listen", n.settings.Listen).Info("node started")

	var err error
	select {
	case <-ctx.Done():
		err = n.stop()
	case err = <-serveErrors:
		err = fmt.Errorf("serve: %w", err)
	}
	cancel()
	background.Wait()
	n.sockets.close()
	n.closeStore()
	n.log.WithField("step", "stop").Info("node stopped")
	return err
}

// handlePause is called after the process was suspended. Other nodes may have become
// the homes of this node's targets in the meantime, so it discards the home state.
func (n *Node) handlePause(pause time.Duration) {
	n.log.WithField("step", "membership").WithField("pause_ms", pause.Milliseconds()).Warn("process was paused; discarding home state")
	n.homes.Reset()
}
