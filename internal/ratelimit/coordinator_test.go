package ratelimit

import (
	"math"
	"time"
)

// coordinatorStrategy is an alternative strategy: nodes report their admitted requests to a
// coordinator four times a second and admit the fraction of their requests that it returns. A
// partitioned node keeps the last fraction that it received.
type coordinatorStrategy struct {
	sim       *simulation
	fractions []float64
	// credit spreads the admitted requests of each node evenly; sent and admitted count requests
	// since the last report.
	credit   []float64
	sent     []int
	admitted []int
	bucket   *bucket
	demand   []float64
}

const reportPeriod = 250 * time.Millisecond

func newCoordinator(sim *simulation) strategy {
	s := &coordinatorStrategy{sim: sim, fractions: make([]float64, sim.nodes), credit: make([]float64, sim.nodes), sent: make([]int, sim.nodes),
		admitted: make([]int, sim.nodes), demand: make([]float64, sim.nodes), bucket: &bucket{updated: sim.start, rate: sim.rate, burst: sim.burst}}
	for node := range sim.nodes {
		s.fractions[node] = 1
		sim.after(time.Duration(sim.random.Int64N(int64(reportPeriod))), func() { s.report(node) })
	}
	return s
}

func (s *coordinatorStrategy) arrive(node int) {
	s.sent[node]++
	s.credit[node] = math.Min(s.credit[node]+s.fractions[node], 1)
	if s.credit[node] >= 1 {
		s.credit[node]--
		s.admitted[node]++
		s.sim.recordExecution()
	}
}

func (s *coordinatorStrategy) report(node int) {
	sim := s.sim
	sim.after(reportPeriod, func() { s.report(node) })
	if s.sent[node] == 0 && s.fractions[node] == 1 || sim.partitioned[node] {
		return
	}
	sim.messages++
	sent, admitted := s.sent[node], s.admitted[node]
	s.sent[node], s.admitted[node] = 0, 0
	sim.after(sim.networkDelay(), func() {
		s.bucket.level = math.Min(s.bucket.level+sim.tenant.Rate*sim.clock.Sub(s.bucket.updated).Seconds(), sim.tenant.Burst) - float64(admitted)
		s.bucket.updated = sim.clock
		s.demand[node] = float64(sent) / reportPeriod.Seconds()
		total := 0.0
		for _, demand := range s.demand {
			total += demand
		}
		fraction := 1.0
		if total > 0 {
			fraction = math.Max(math.Min((sim.tenant.Rate+s.bucket.level)/total, 1), 0)
		}
		sim.after(sim.networkDelay(), func() { s.fractions[node] = fraction })
	})
}
