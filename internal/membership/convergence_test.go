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
	// maxStartGap is the longest time between two starts, except for one pause of up to
	// maxStartPause, as in a rolling start whose second half waits for the first.
	maxStartGap   = 40 * time.Millisecond
	maxStartPause = 3 * time.Second
	// maxDelay limits the mean network delay, which is drawn for each simulation.
	maxDelay = 80 * time.Millisecond
	// simulationLimit is the time after which a simulation ends if the cluster has not
	// converged.
	simulationLimit = 2 * time.Minute
)

// measureStartupConvergence starts nodes shortly after each other and returns the time from the
// last start until the cluster has converged.
func measureStartupConvergence(count int, seed uint64) time.Duration {
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
// Convergence used to take up to 90 s. Meanwhile nodes disagreed on the homes of targets, so
// that calls were routed to only some of the nodes and a target had two homes. Nodes that
// first reached different seeds formed separate clusters, because a node with any members
// pinged further seeds only every 10 s. After a ping had joined two such clusters, the missing
// records did not spread: no node had queued updates, members merged from a full list are not
// sent on as updates, and the next exchange of each pair was 30 s away. In a trace of eleven
// nodes, two clusters of four and seven nodes had empty queues from 5 s on, one ping of a seed
// at 10 s, and exchanges at 35 s and 65 s.
func TestNodesStartedTogetherConverge(t *testing.T) {
	for _, count := range []int{2, 5, 8, 12, 30, 60} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			var times []time.Duration
			for run := range uint64(*seedsPerSize) {
				seed := *firstSeed + run
				elapsed := measureStartupConvergence(count, seed)
				times = append(times, elapsed)
				assert.Check(t, elapsed <= convergenceLimit, "seed %d: not converged for %v", seed, elapsed)
			}
			slices.Sort(times)
			t.Logf("%d nodes converged after %v (median), %v (maximum)", count, times[len(times)/2], times[len(times)-1])
		})
	}
}

// TestPropagatingChangeTriggersNoExchange checks that the digests that differ while the update
// about a new node spreads do not trigger exchanges, whose size grows with the cluster. No
// periodic exchange is due during the test.
func TestPropagatingChangeTriggersNoExchange(t *testing.T) {
	s := newSimulation(31)
	s.configure = func(config *Config) { config.ExchangeInterval = time.Hour }
	nodes := startCluster(t, s, 100)
	s.advance(time.Minute)
	before := totalExchanges(nodes)
	joiner := s.start(100, 0)
	_, converged := s.advanceUntil(convergenceLimit, s.converged)
	assert.Assert(t, converged)
	s.advance(time.Minute)
	assert.Equal(t, totalExchanges(nodes), before, "exchanges of the nodes that were running before")
	assert.Assert(t, joiner.Stats().Exchanges > 0)
}

// TestPermanentMismatchBacksOffExchanges checks that a node whose list cannot converge, because
// it is full, does not exchange lists more often than at the periodic interval.
func TestPermanentMismatchBacksOffExchanges(t *testing.T) {
	s := newSimulation(32)
	nodes := startCluster(t, s, 3)
	nodes[0].table.maxEntries = 2
	s.start(3, 0)
	s.advance(time.Minute)
	before := nodes[0].Stats().Exchanges
	s.advance(5 * time.Minute)
	exchanges := nodes[0].Stats().Exchanges - before
	assert.Assert(t, !s.converged(), "the lists converged")
	assert.Assert(t, exchanges <= uint64(5*time.Minute/DefaultExchangeInterval)+1, "%d exchanges in five minutes", exchanges)
}

func totalExchanges(nodes []*simulatedNode) (total uint64) {
	for _, node := range nodes {
		total += node.Stats().Exchanges
	}
	return total
}

// TestMissingMemberFoundByDigest checks that the digests reveal a member that is missing from
// the lists of half of the nodes while no updates are queued, as when a partition ends after
// the update is no longer sent. As the digests of the other nodes of the same half match, a
// match with some peers does not prove that a list is complete.
func TestMissingMemberFoundByDigest(t *testing.T) {
	for run := range uint64(*seedsPerSize) {
		seed := *firstSeed + run
		s := newSimulation(seed)
		nodes := startCluster(t, s, 40)
		s.advance(fullRecordPeriods * DefaultPeriod)
		for _, node := range nodes[:20] {
			node.table.drop(node.table.entries["node-39"])
			node.invalidateView()
		}
		elapsed, _ := s.advanceUntil(simulationLimit, s.converged)
		assert.Check(t, elapsed <= convergenceLimit, "seed %d: not converged for %v", seed, elapsed)
	}
}
