package cluster

import (
	"context"
	"time"

	"github.com/samber/oops"
)

const (
	// startTimeout bounds the time until all nodes have what was applied.
	startTimeout = 30 * time.Second
	// pollInterval is how often nodes are asked for their status.
	pollInterval = 50 * time.Millisecond
)

// AwaitMembers waits until every node that runs knows all the others.
func (c *Cluster) AwaitMembers(ctx context.Context) error {
	running := c.running()
	return c.await(ctx, "membership", func(ctx context.Context) bool {
		for _, node := range running {
			status, err := node.Status(ctx)
			if err != nil || aliveMembers(status.Members) < len(running) || !status.Node.Ready {
				return false
			}
		}
		return true
	})
}

// AwaitReady waits until every running node has all objects of the mesh and
// knows the claim replicas.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	return c.await(ctx, "configuration", func(ctx context.Context) bool {
		var floor int64
		for i, node := range c.running() {
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

func (c *Cluster) running() []*Node {
	var running []*Node
	for _, node := range c.Nodes {
		if node.Process != nil && node.Running() {
			running = append(running, node)
		}
	}
	return running
}

func (c *Cluster) await(ctx context.Context, what string, holds func(context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds(ctx) {
		select {
		case <-ctx.Done():
			return oops.In("cluster").With("step", "await "+what).Wrapf(ctx.Err(), "nodes have no complete %s", what)
		case <-ticker.C:
		}
	}
	return nil
}
