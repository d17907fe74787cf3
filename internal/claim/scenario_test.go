package claim

import (
	"testing"

	"gotest.tools/v3/assert"
)

// deliverWhere delivers the messages in flight that match, and those that they
// cause, until none matches.
func (c *cluster) deliverWhere(match func(packet) bool) {
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

func without(v View, names ...string) View {
	for i := range v.Nodes {
		for _, name := range names {
			if v.Nodes[i].Name == name {
				v.Nodes[i].Alive = false
			}
		}
	}
	return v
}

// replaceWhileClaiming lets a claim of the old epoch reach a second replica
// only after the first one was replaced by a copy.
func replaceWhileClaiming(c *cluster) {
	key := simKey{hash: c.unique(), first: c.now}
	c.call(0, key)
	c.deliverWhere(func(p packet) bool { return p.to == 2 })
	c.deliverWhere(func(p packet) bool { return p.from == 2 })
	late := c.network
	c.network = nil
	c.propose(c.machines[1], without(c.view(c.machines[1]), "n2"))
	c.commit(c.machines[1])
	c.adopt(c.machines[0], *c.roster)
	c.adopt(c.machines[3], *c.roster)
	c.sendPageRequests(3)
	c.drain()
	c.propose(c.machines[3], without(c.view(c.machines[3]), "n2"))
	c.commit(c.machines[3])
	c.adopt(c.machines[0], *c.roster)
	c.adopt(c.machines[1], *c.roster)
	c.network = late
	c.deliverWhere(func(p packet) bool { return p.to == 0 })
	c.network = nil
	c.call(1, key)
	c.deliverWhere(func(p packet) bool { return p.to != 2 && p.from != 2 })
}

// generationBesideIsland cuts two holders off while the others try to found a
// new generation, and then sends a key to both sides.
func generationBesideIsland(c *cluster) {
	c.machines[0].island, c.machines[1].island = true, true
	rest := c.machines[2:]
	for range 6 {
		for _, m := range rest {
			v := without(c.view(m), "n0", "n1")
			if c.broken == breachFalseWitness {
				v.Self = Identity{Name: c.machines[int(c.roster.Epoch)%2].name, Boot: c.unique()}
			}
			c.propose(m, v)
			c.commit(m)
		}
		c.now = c.now.Add(simRetention / 2)
	}
	key := simKey{hash: c.unique(), first: c.now}
	connected := func(p packet) bool { return c.machines[p.from].island == c.machines[p.to].island }
	c.call(3, key)
	c.deliverWhere(connected)
	c.call(0, key)
	c.deliverWhere(connected)
}

func TestScenarios(t *testing.T) {
	tests := []struct {
		name   string
		run    func(*cluster)
		broken breach
	}{
		{"replacement during a claim, epoch ignored", replaceWhileClaiming, breachEpochIgnored},
		{"generation beside an island, false witness", generationBesideIsland, breachFalseWitness},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			right := newCluster(5, 3, breachNone, mixes[1], seeded(1))
			test.run(right)
			assert.Equal(t, right.fault, "")
			assert.Equal(t, right.granted, 1, "exactly one attempt is granted")

			wrong := newCluster(5, 3, test.broken, mixes[1], seeded(1))
			test.run(wrong)
			assert.Assert(t, wrong.fault != "", "the broken rule goes unnoticed")
		})
	}
}
