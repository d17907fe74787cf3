package ratelimit

import (
	"math"
	"time"
)

// counted is another way: nodes tell a coordinator what they admitted, four times a
// second, and admit the part of their requests that it answers. One that is cut off goes
// on with the last part that it was told.
type counted struct {
	sim   *simulation
	parts []float64
	// credit spreads what a node admits evenly, and told is what it has admitted since it
	// reported.
	credit   []float64
	sent     []int
	admitted []int
	level    *bucket
	demand   []float64
}

const reportPeriod = 250 * time.Millisecond

func newCounted(sim *simulation) way {
	c := &counted{sim: sim, parts: make([]float64, sim.nodes), credit: make([]float64, sim.nodes), sent: make([]int, sim.nodes),
		admitted: make([]int, sim.nodes), demand: make([]float64, sim.nodes), level: &bucket{at: sim.begun, rate: sim.rate, burst: sim.burst}}
	for node := range sim.nodes {
		c.parts[node] = 1
		sim.after(time.Duration(sim.random.Int64N(int64(reportPeriod))), func() { c.report(node) })
	}
	return c
}

func (c *counted) arrive(node int) {
	c.sent[node]++
	c.credit[node] = math.Min(c.credit[node]+c.parts[node], 1)
	if c.credit[node] >= 1 {
		c.credit[node]--
		c.admitted[node]++
		c.sim.ran()
	}
}

func (c *counted) report(node int) {
	sim := c.sim
	sim.after(reportPeriod, func() { c.report(node) })
	if c.sent[node] == 0 && c.parts[node] == 1 || sim.cut[node] {
		return
	}
	sim.messages++
	sent, admitted := c.sent[node], c.admitted[node]
	c.sent[node], c.admitted[node] = 0, 0
	sim.after(sim.oneWay(), func() {
		c.level.level = math.Min(c.level.level+sim.tenant.Rate*sim.clock.Sub(c.level.at).Seconds(), sim.tenant.Burst) - float64(admitted)
		c.level.at = sim.clock
		c.demand[node] = float64(sent) / reportPeriod.Seconds()
		total := 0.0
		for _, demand := range c.demand {
			total += demand
		}
		part := 1.0
		if total > 0 {
			part = math.Max(math.Min((sim.tenant.Rate+c.level.level)/total, 1), 0)
		}
		sim.after(sim.oneWay(), func() { c.parts[node] = part })
	})
}
