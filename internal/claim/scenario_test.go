package claim

import (
	"testing"

	"gotest.tools/v3/assert"
)

// deliverWhere delivers matching messages, including those sent in response,
// until none in flight matches.
func (c *simCluster) deliverWhere(match func(packet) bool) {
	for i := 0; i < len(c.network); i++ {
		p := c.network[i]
		if !match(p) {
			continue
		}
		c.network = append(c.network[:i:i], c.network[i+1:]...)
		c.deliver(p)
		i = -1
	}
}

func markDead(v View, names ...string) View {
	for i := range v.Nodes {
		for _, name := range names {
			if v.Nodes[i].Name == name {
				v.Nodes[i].Alive = false
			}
		}
	}
	return v
}

// replaceWhileClaiming delivers a claim request of the old epoch to a second
// replica only after the first replica was replaced by one that copied claims.
func replaceWhileClaiming(c *simCluster) {
	key := simKey{hash: c.uniqueID(), firstUsed: c.now}
	c.call(0, key)
	c.deliverWhere(func(p packet) bool { return p.to == 2 })
	c.deliverWhere(func(p packet) bool { return p.from == 2 })
	delayed := c.network
	c.network = nil
	c.propose(c.nodes[1], markDead(c.view(c.nodes[1]), "n2"))
	c.commit(c.nodes[1])
	c.adopt(c.nodes[0], *c.roster)
	c.adopt(c.nodes[3], *c.roster)
	c.sendPageRequests(3)
	c.drain()
	c.propose(c.nodes[3], markDead(c.view(c.nodes[3]), "n2"))
	c.commit(c.nodes[3])
	c.adopt(c.nodes[0], *c.roster)
	c.adopt(c.nodes[1], *c.roster)
	c.network = delayed
	c.deliverWhere(func(p packet) bool { return p.to == 0 })
	c.network = nil
	c.call(1, key)
	c.deliverWhere(func(p packet) bool { return p.to != 2 && p.from != 2 })
}

// generationDuringPartition partitions two holders from the other nodes, which
// try to create a new generation, and then sends a call with the same key to
// both sides.
func generationDuringPartition(c *simCluster) {
	c.nodes[0].partitioned, c.nodes[1].partitioned = true, true
	others := c.nodes[2:]
	for range 6 {
		for _, node := range others {
			v := markDead(c.view(node), "n0", "n1")
			if c.mutation == mutationFalseLostReport {
				v.Self = Identity{Name: c.nodes[int(c.roster.Epoch)%2].name, Boot: c.uniqueID()}
			}
			c.propose(node, v)
			c.commit(node)
		}
		c.now = c.now.Add(simRetention / 2)
	}
	key := simKey{hash: c.uniqueID(), firstUsed: c.now}
	connected := func(p packet) bool { return c.nodes[p.from].partitioned == c.nodes[p.to].partitioned }
	c.call(3, key)
	c.deliverWhere(connected)
	c.call(0, key)
	c.deliverWhere(connected)
}

func TestScenarios(t *testing.T) {
	tests := []struct {
		name     string
		run      func(*simCluster)
		mutation mutation
	}{
		{"replacement during a claim, epoch ignored", replaceWhileClaiming, mutationIgnoreEpoch},
		{"new generation during a partition, false report of a lost holder", generationDuringPartition, mutationFalseLostReport},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			correct := newSimCluster(5, 3, mutationNone, faultProfiles[1], seededChooser(1))
			test.run(correct)
			assert.Equal(t, correct.violation, "")
			assert.Equal(t, correct.granted, 1, "exactly one attempt is granted")

			faulty := newSimCluster(5, 3, test.mutation, faultProfiles[1], seededChooser(1))
			test.run(faulty)
			assert.Assert(t, faulty.violation != "", "the simulation does not detect the violation")
		})
	}
}
