package judge

import "time"

// connections follows, event by event, which nodes run and can hear of changes.
// A node is connected while its process runs, isn't frozen and isn't cut off.
// While the store has a fault and some node is not connected, nobody counts as
// connected: the only nodes that hold a change may be out of reach then.
type connections struct {
	nodes       map[string]*nodeConnection
	storeFaults int
	// disturbed is the last moment at which nobody counted as connected.
	disturbed time.Time
}

type nodeConnection struct {
	running      bool
	frozen, cuts int
	disturbed    time.Time
}

func newConnections() *connections { return &connections{nodes: map[string]*nodeConnection{}} }

func (n *nodeConnection) connected() bool { return n.running && n.frozen == 0 && n.cuts == 0 }

// apply takes in the next event, in the order of time.
func (c *connections) apply(event Event) {
	if c.nobody() {
		c.disturbed = event.At
	}
	switch event.Kind {
	case StoreFaulty:
		c.storeFaults++
		return
	case StoreSound:
		c.storeFaults--
		return
	}
	if event.Node == "" {
		return
	}
	node := c.node(event.Node)
	if !node.connected() {
		node.disturbed = event.At
	}
	node.apply(event.Kind)
	if c.nobody() {
		c.disturbed = event.At
	}
}

func (n *nodeConnection) apply(kind EventKind) {
	switch kind {
	case NodeStarted:
		n.running, n.frozen = true, 0
	case NodeKilled, StopAsked:
		n.running = false
	case NodeFrozen:
		n.frozen++
	case NodeResumed:
		n.frozen = max(n.frozen-1, 0)
	case NodeCut:
		n.cuts++
	case NodeJoined:
		n.cuts = max(n.cuts-1, 0)
	}
}

func (c *connections) node(name string) *nodeConnection {
	if c.nodes[name] == nil {
		c.nodes[name] = &nodeConnection{running: true}
	}
	return c.nodes[name]
}

func (c *connections) nobody() bool {
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

// since returns from when on the node has been connected without a break; it
// is false while the node isn't.
func (c *connections) since(name string) (time.Time, bool) {
	node := c.node(name)
	if c.nobody() || !node.connected() {
		return time.Time{}, false
	}
	return latest(node.disturbed, c.disturbed), true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
