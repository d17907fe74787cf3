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
	firstStart = flag.Uint64("first-start", 1, "seed of the first play of nodes that start together")
	starts     = flag.Int("starts", 6, "plays of nodes that start together, for each size")
)

const (
	// spreadLimit is the time in which a change must be in force everywhere.
	spreadLimit = 8 * time.Second
	// Bounds of a play: starts follow each other closely but for one pause, as where the
	// second half of a fleet waits for the first.
	longestGap     = 40 * time.Millisecond
	longestPause   = 3 * time.Second
	longestDelay   = 80 * time.Millisecond
	agreementLimit = 2 * time.Minute
)

// startTogether starts nodes shortly after each other and returns how long after the last
// start all agree.
func startTogether(count int, seed uint64) time.Duration {
	random := rand.New(rand.NewPCG(seed, uint64(count)))
	s := newSimulation(seed)
	s.delay = time.Millisecond + time.Duration(random.Int64N(int64(longestDelay)))
	pauseAfter := random.IntN(count)
	for number := range count {
		s.start(number, 0)
		if number < count-1 {
			s.advance(time.Duration(random.Int64N(int64(longestGap))))
		}
		if number == pauseAfter {
			s.advance(time.Duration(random.Int64N(int64(longestPause))))
		}
	}
	taken, _ := s.until(agreementLimit, s.agreed)
	return taken
}

// TestNodesStartedTogetherConverge: a fleet that starts, or comes back, together took up to
// 90 s to know itself. Meanwhile nodes disagreed on the homes of targets, so that calls went
// to fewer nodes than there were and a target had two homes. Nodes that first reached
// different seeds formed islands, as a node that knows anyone asked other seeds every 10 s
// only; once one contact joined two islands, no change was queued any more, lists learned
// from a peer are not passed on, and the next comparison of lists was 30 s away for each
// pair. A trace of eleven nodes showed four and seven of them with empty queues from 5 s on,
// one contact at 10 s, and comparisons at 35 and 65 s.
func TestNodesStartedTogetherConverge(t *testing.T) {
	for _, count := range []int{2, 5, 8, 12, 30, 60} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			var all []time.Duration
			for play := range uint64(*starts) {
				seed := *firstStart + play
				taken := startTogether(count, seed)
				all = append(all, taken)
				assert.Check(t, taken <= spreadLimit, "seed %d: not agreed for %v", seed, taken)
			}
			slices.Sort(all)
			t.Logf("%d nodes agree after %v in the middle, %v at most", count, all[len(all)/2], all[len(all)-1])
		})
	}
}

// TestAChangeThatSpreadsPromptsNoExchange has one node join a cluster in which lists are
// compared only where that is prompted. While the change is passed on digests differ, and
// lists, which grow with the cluster, must not be sent for that.
func TestAChangeThatSpreadsPromptsNoExchange(t *testing.T) {
	s := newSimulation(31)
	s.tamper = func(config *Config) { config.ExchangeInterval = time.Hour }
	nodes := cluster(t, s, 100)
	s.advance(time.Minute)
	before := totalExchanges(nodes)
	newcomer := s.start(100, 0)
	_, agreed := s.until(spreadLimit, s.agreed)
	assert.Assert(t, agreed)
	s.advance(time.Minute)
	assert.Equal(t, totalExchanges(nodes), before, "exchanges of nodes that were there before")
	assert.Assert(t, newcomer.Stats().Exchanges > 0)
}

// TestNodesThatCanNotAgreeExchangeSeldom has two nodes differ for good, as one keeps a
// member that the other has no room for. They must not spend more on exchanges than on
// regular ones.
func TestNodesThatCanNotAgreeExchangeSeldom(t *testing.T) {
	s := newSimulation(32)
	nodes := cluster(t, s, 3)
	nodes[0].table.limit = 2
	s.start(3, 0)
	s.advance(time.Minute)
	before := nodes[0].Stats().Exchanges
	s.advance(5 * time.Minute)
	made := nodes[0].Stats().Exchanges - before
	assert.Assert(t, !s.agreed(), "the nodes agree")
	assert.Assert(t, made <= uint64(5*time.Minute/DefaultExchangeInterval)+1, "%d exchanges in five minutes", made)
}

func totalExchanges(nodes []*simulatedNode) (total uint64) {
	for _, node := range nodes {
		total += node.Stats().Exchanges
	}
	return total
}

// TestAMemberThatHalfOfTheNodesLackIsFound has half of the nodes lack one member and nothing
// queued that would tell them, as where a cut heals after the change was passed on. Each node
// hears of many whose lists are like its own, so that agreement with some proves nothing.
func TestAMemberThatHalfOfTheNodesLackIsFound(t *testing.T) {
	for play := range uint64(*starts) {
		seed := *firstStart + play
		s := newSimulation(seed)
		nodes := cluster(t, s, 40)
		s.advance(introductionPeriods * DefaultPeriod)
		for _, node := range nodes[:20] {
			node.table.drop(node.table.entries["node-39"])
			node.changed()
		}
		taken, _ := s.until(agreementLimit, s.agreed)
		assert.Check(t, taken <= spreadLimit, "seed %d: not agreed for %v", seed, taken)
	}
}
