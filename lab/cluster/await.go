package cluster

import (
	"context"
	"time"

	"github.com/samber/oops"
)

const (
	// startTimeout is the timeout for nodes to become members and to load the
	// configuration.
	startTimeout = 30 * time.Second
	// pollInterval is the interval at which the status of nodes is polled.
	pollInterval = 50 * time.Millisecond
)

// AwaitMembers waits until every running node is ready and reports at least as many
// live members as nodes are running.
func (c *Cluster) AwaitMembers(ctx context.Context) error {
	running := c.runningNodes()
	return c.waitUntil(ctx, "membership", func(ctx context.Context) bool {
		for _, node := range running {
			status, err := node.Status(ctx)
			if err != nil || aliveMembers(status.Members) < len(running) || !status.Node.Ready {
				return false
			}
		}
		return true
	})
}

// AwaitReady waits until every running node is ready, has all targets of the mesh
// and a claim epoch, and has a configuration floor of at least the first node's.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	return c.waitUntil(ctx, "configuration", func(ctx context.Context) bool {
		var floor int64
		for i, node := range c.runningNodes() {
			status, err := node.Status(ctx)
			if err != nil || !status.Node.Ready || status.Node.ClaimEpoch == 0 || len(status.Targets) < len(c.Mesh.Targets) {
				return false
			}
			if i == 0 {
				floor = int64(status.Node.ConfigurationFloor)
			}
			if int64(status.Node.ConfigurationFloor) < floor {
				return false
			}
		}
		return true
	})
}

func (c *Cluster) runningNodes() []*Node {
	var running []*Node
	for _, node := range c.Nodes {
		if node.Process != nil && node.Running() {
			running = append(running, node)
		}
	}
	return running
}

func (c *Cluster) waitUntil(ctx context.Context, subject string, condition func(context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition(ctx) {
		select {
		case <-ctx.Done():
			return oops.In("cluster").With("step", "await "+subject).Wrapf(ctx.Err(), "nodes have no complete %s", subject)
		case <-ticker.C:
		}
	}
	return nil
}
