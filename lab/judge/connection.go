package judge

import "time"

// connections tracks, event by event, which nodes are running and can receive
// configuration changes. A node is connected while its process is running, not
// suspended, and without a network fault. While the store has a fault and any
// node is disconnected, all nodes count as disconnected, because the only nodes
// that hold a change may be unreachable.
type connections struct {
	nodes       map[string]*nodeConnection
	storeFaults int
	// lastDisconnected is the last time at which all nodes counted as disconnected.
	lastDisconnected time.Time
}

type nodeConnection struct {
	running               bool
	frozen, networkFaults int
	// lastDisconnected is the last time at which the node was disconnected.
	lastDisconnected time.Time
}

func newConnections() *connections { return &connections{nodes: map[string]*nodeConnection{}} }

func (n *nodeConnection) connected() bool { return n.running && n.frozen == 0 && n.networkFaults == 0 }

// apply updates the state with the next event. Events must be applied in order
// of time.
func (c *connections) apply(event Event) {
	if c.noneConnected() {
		c.lastDisconnected = event.At
	}
	switch event.Kind {
	case StoreFaultBegan:
		c.storeFaults++
		return
	case StoreFaultEnded:
		c.storeFaults--
		return
	}
	if event.Node == "" {
		return
	}
	node := c.node(event.Node)
	if !node.connected() {
		node.lastDisconnected = event.At
	}
	node.apply(event.Kind)
	if c.noneConnected() {
		c.lastDisconnected = event.At
	}
}

func (n *nodeConnection) apply(kind EventKind) {
	switch kind {
	case NodeStarted:
		n.running, n.frozen = true, 0
	case NodeKilled, StopRequested:
		n.running = false
	case NodeFrozen:
		n.frozen++
	case NodeResumed:
		n.frozen = max(n.frozen-1, 0)
	case NetworkFaultBegan:
		n.networkFaults++
	case NetworkFaultEnded:
		n.networkFaults = max(n.networkFaults-1, 0)
	}
}

func (c *connections) node(name string) *nodeConnection {
	if c.nodes[name] == nil {
		c.nodes[name] = &nodeConnection{running: true}
	}
	return c.nodes[name]
}

func (c *connections) noneConnected() bool {
	if c.storeFaults == 0 {
		return false
	}
	for _, node := range c.nodes {
		if !node.connected() {
			return true
		}
	}
	return false
}

// connectedSince returns the time since which the node has been connected without
// interruption. It returns false if the node is disconnected.
func (c *connections) connectedSince(name string) (time.Time, bool) {
	node := c.node(name)
	if c.noneConnected() || !node.connected() {
		return time.Time{}, false
	}
	return latest(node.lastDisconnected, c.lastDisconnected), true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
