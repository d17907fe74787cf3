package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	firstSeed    = flag.Uint64("first-start", 1, "seed of the first simulation of nodes that start together")
	seedsPerSize = flag.Int("starts", 6, "number of simulations of nodes that start together, for each cluster size")
)

const (
	// convergenceLimit is the time within which a change must have reached all nodes.
	convergenceLimit = 8 * time.Second
	// Limits of a simulation. Nodes start shortly after each other except for one pause, as
	// when the second half of a fleet waits for the first.
	maxStartGap     = 40 * time.Millisecond
	maxStartPause   = 3 * time.Second
	maxDelay        = 80 * time.Millisecond
	simulationLimit = 2 * time.Minute
)

// startTogether starts nodes shortly after each other and returns the time from the last start
// until the cluster has converged.
func startTogether(count int, seed uint64) time.Duration {
	random := rand.New(rand.NewPCG(seed, uint64(count)))
	s := newSimulation(seed)
	s.delay = time.Millisecond + time.Duration(random.Int64N(int64(maxDelay)))
	pauseAfter := random.IntN(count)
	for number := range count {
		s.start(number, 0)
		if number < count-1 {
			s.advance(time.Duration(random.Int64N(int64(maxStartGap))))
		}
		if number == pauseAfter {
			s.advance(time.Duration(random.Int64N(int64(maxStartPause))))
		}
	}
	elapsed, _ := s.advanceUntil(simulationLimit, s.converged)
	return elapsed
}

// TestNodesStartedTogetherConverge checks that nodes that start, or restart, together converge
// quickly.
//
// That once took up to 90 s. Meanwhile nodes disagreed on the homes of targets, so that calls
// were routed to fewer nodes than there were and a target had two homes. Nodes that first reached
// different seeds formed separate clusters, because a node with any members contacted further
// seeds only every 10 s. After one contact had joined two such clusters, the missing records
// did not spread: no node had queued updates, members learned from a full list are not sent on
// as updates, and the next exchange of each pair was 30 s away. In a trace of eleven nodes the
// two clusters, of four and seven nodes, had empty queues from 5 s on, one contact at 10 s,
// and exchanges at 35 s and 65 s.
func TestNodesStartedTogetherConverge(t *testing.T) {
	for _, count := range []int{2, 5, 8, 12, 30, 60} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			var times []time.Duration
			for run := range uint64(*seedsPerSize) {
				seed := *firstSeed + run
				elapsed := startTogether(count, seed)
				times = append(times, elapsed)
				assert.Check(t, elapsed <= convergenceLimit, "seed %d: not converged for %v", seed, elapsed)
			}
			slices.Sort(times)
			t.Logf("%d nodes converged after %v (median), %v (maximum)", count, times[len(times)/2], times[len(times)-1])
		})
	}
}

// TestPropagatingChangeTriggersNoExchange adds a node to a cluster in which no periodic
// exchange is due. Digests differ while the update spreads. That must not trigger exchanges,
// because the size of a list grows with the cluster.
func TestPropagatingChangeTriggersNoExchange(t *testing.T) {
	s := newSimulation(31)
	s.configure = func(config *Config) { config.ExchangeInterval = time.Hour }
	nodes := cluster(t, s, 100)
	s.advance(time.Minute)
	before := totalExchanges(nodes)
	joiner := s.start(100, 0)
	_, converged := s.advanceUntil(convergenceLimit, s.converged)
	assert.Assert(t, converged)
	s.advance(time.Minute)
	assert.Equal(t, totalExchanges(nodes), before, "exchanges of the nodes that were running before")
	assert.Assert(t, joiner.Stats().Exchanges > 0)
}

// TestPermanentMismatchBacksOffExchanges checks two nodes whose lists differ permanently, as
// one has a member for which the list of the other has no room. They must not exchange lists
// more often than at the periodic interval.
func TestPermanentMismatchBacksOffExchanges(t *testing.T) {
	s := newSimulation(32)
	nodes := cluster(t, s, 3)
	nodes[0].table.limit = 2
	s.start(3, 0)
	s.advance(time.Minute)
	before := nodes[0].Stats().Exchanges
	s.advance(5 * time.Minute)
	exchanges := nodes[0].Stats().Exchanges - before
	assert.Assert(t, !s.converged(), "the lists match")
	assert.Assert(t, exchanges <= uint64(5*time.Minute/DefaultExchangeInterval)+1, "%d exchanges in five minutes", exchanges)
}

func totalExchanges(nodes []*simulatedNode) (total uint64) {
	for _, node := range nodes {
		total += node.Stats().Exchanges
	}
	return total
}

// TestMissingMemberFoundByDigest removes one member from the lists of half of the nodes while
// no updates are queued, as when a partition ends after the update is no longer sent. Many
// digests that a node receives match its own, so matches with some peers do not prove that the
// lists are complete.
func TestMissingMemberFoundByDigest(t *testing.T) {
	for run := range uint64(*seedsPerSize) {
		seed := *firstSeed + run
		s := newSimulation(seed)
		nodes := cluster(t, s, 40)
		s.advance(fullRecordPeriods * DefaultPeriod)
		for _, node := range nodes[:20] {
			node.table.drop(node.table.entries["node-39"])
			node.invalidateView()
		}
		elapsed, _ := s.advanceUntil(simulationLimit, s.converged)
		assert.Check(t, elapsed <= convergenceLimit, "seed %d: not converged for %v", seed, elapsed)
	}
}
