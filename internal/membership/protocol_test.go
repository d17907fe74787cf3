package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// detectionLimit is the time within which every node of a cluster of up to 100 nodes must have
// detected a crash. It covers the probe, the suspicion timeout and the dissemination.
const detectionLimit = 24 * DefaultPeriod

// healLimit is the time within which lists must converge after a network partition has healed.
const healLimit = 90 * time.Second

// TestNoSuspicionWithoutLoss checks that on a network without loss, nodes that start shortly
// after each other converge within a minute and suspect no member.
//
// Eleven nodes with a pause of 2.8 s after the fifth used to form two separate clusters,
// {0,1,4,7..10} and {2,3,5,6}, which a ping of a seed joined after 10 s. By then no node had
// queued updates, and nodes that lacked each other's record exchanged lists only every 30 s,
// each with a random peer that lacked the same records. Nodes 5 and 10 were missing from each
// other's lists for 63 s without any suspicion. TestNodesStartedTogetherConverge describes the
// mechanism.
func TestNoSuspicionWithoutLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"))
		s.delay = time.Duration(rapid.IntRange(1, 80).Draw(t, "delay")) * time.Millisecond
		s.duplicate = rapid.Float64Range(0, 0.5).Draw(t, "duplicate")
		count := rapid.IntRange(2, 12).Draw(t, "count")
		for number := range count {
			s.start(number, 0)
			s.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond)
		}
		s.advance(time.Minute)
		if !s.converged() {
			t.Fatalf("%d nodes did not converge", count)
		}
		for _, node := range s.running() {
			if node.countEvents(EventSuspected)+node.countEvents(EventDied) > 0 {
				t.Fatalf("false suspicion: %v", node.events)
			}
		}
	})
}

func TestCrashDetectedByAllNodes(t *testing.T) {
	for _, count := range []int{2, 3, 10, 60} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			s := newSimulation(uint64(count))
			nodes := startCluster(t, s, count)
			nodes[count-1].crash()
			nodes[count/2].crash()
			elapsed, detected := s.advanceUntil(detectionLimit, s.converged)
			assert.Assert(t, detected, "not all nodes detected the crashes within %v", detectionLimit)
			t.Logf("all of %d nodes detected the crashes after %v", count, elapsed)
			for _, node := range s.running() {
				assert.Equal(t, node.stateOf(nodes[count-1]), Dead)
			}
		})
	}
}

func TestRefutationUnderPacketLoss(t *testing.T) {
	s := newSimulation(7)
	nodes := startCluster(t, s, 30)
	s.loss, s.duplicate = 0.15, 0.1
	s.delay = 40 * time.Millisecond
	s.advance(3 * time.Minute)
	suspicions, refutations := uint64(0), uint64(0)
	for _, node := range nodes {
		assert.Equal(t, node.countEvents(EventDied), 0)
		suspicions += node.Stats().Suspicions
		refutations += node.Stats().Refutations
	}
	assert.Assert(t, suspicions > 0 && refutations > 0, "the packet loss caused no refuted suspicion")
}

func TestForgedDeathIsRefuted(t *testing.T) {
	s := newSimulation(8)
	nodes := startCluster(t, s, 10)
	forgedRecord := nodes[4].Self()
	forgedRecord.State = Dead
	datagram, err := encoder.Marshal(message{Kind: kindGossip, Cluster: "test", Sender: nodes[1].Self(), Updates: []Member{forgedRecord}})
	assert.NilError(t, err)
	nodes[2].receive(Packet{From: nodes[1].address, Data: datagram})
	assert.Equal(t, nodes[2].stateOf(nodes[4]), Dead)
	_, converged := s.advanceUntil(detectionLimit, s.converged)
	assert.Assert(t, converged, "the forged record was not refuted")
	assert.Assert(t, nodes[4].Self().Incarnation > forgedRecord.Incarnation)
}

func TestConvergenceAfterPartition(t *testing.T) {
	s := newSimulation(9)
	nodes := startCluster(t, s, 30)
	s.partitioned = func(from, to *simulatedNode) bool { return (from.zone == "zone-0") != (to.zone == "zone-0") }
	s.advance(2 * time.Minute)
	assert.Equal(t, len(nodes[0].Live("")), 10)
	assert.Equal(t, len(nodes[1].Live("")), 20)
	assert.Assert(t, nodes[0].ListReliable() && nodes[1].ListReliable())
	s.start(30, 0) // joins one side of the partition
	nodes[4].crash()
	s.advance(20 * time.Second)
	s.partitioned = func(_, _ *simulatedNode) bool { return false }
	elapsed, converged := s.advanceUntil(healLimit, s.converged)
	assert.Assert(t, converged, "the two sides did not converge within %v", healLimit)
	t.Logf("the two sides converged after %v", elapsed)
}

func TestReturnOfDeadMemberTriggersExchange(t *testing.T) {
	s := newSimulation(27)
	nodes := startCluster(t, s, 4)
	s.advance(minExchangePeriods * DefaultPeriod)
	node, member := nodes[0], nodes[1]
	node.changeState(node.table.entries["node-1"], Dead)
	member.Leave()
	node.applyRecord(member.Self(), "")
	node.exchange.earliest = 0
	address, _, due := node.ExchangeDue()
	assert.Assert(t, due)
	assert.Equal(t, address, member.address)
}

func TestConvergenceAfterPartitionWithoutSeeds(t *testing.T) {
	s := newSimulation(23)
	nodes := startCluster(t, s, 20)
	for _, node := range nodes {
		node.contacts.seeds = nil
	}
	s.partitioned = func(from, to *simulatedNode) bool { return (from.zone == "zone-0") != (to.zone == "zone-0") }
	s.advance(time.Minute)
	assert.Equal(t, len(nodes[0].Live("")), 7)
	s.partitioned = func(_, _ *simulatedNode) bool { return false }
	_, converged := s.advanceUntil(healLimit, s.converged)
	assert.Assert(t, converged, "the two sides did not converge within %v", healLimit)
}

func TestLeaveIsAnnouncedNotDetectedAsDeath(t *testing.T) {
	s := newSimulation(14)
	nodes := startCluster(t, s, 20)
	leaver := nodes[6]
	leaver.Leave()
	s.advance(3 * time.Second)
	for _, node := range nodes {
		assert.Equal(t, node.stateOf(leaver), Leaving)
		assert.Assert(t, !containsName(node.Live(""), "node-6"))
		assert.Assert(t, !containsName(node.Live(leaver.zone), "node-6"))
	}
	leaver.Close()
	leaver.crash()
	s.advance(detectionLimit)
	for _, node := range s.running() {
		assert.Equal(t, node.stateOf(leaver), Left)
		assert.Equal(t, node.countEvents(EventDied), 0)
	}
}

func TestRestartedNodeReplacesOldRecord(t *testing.T) {
	for _, skew := range []time.Duration{0, -time.Hour} {
		t.Run(skew.String(), func(t *testing.T) {
			s := newSimulation(15)
			nodes := startCluster(t, s, 10)
			nodes[7].crash()
			s.advance(time.Second)
			restarted := s.start(7, skew)
			_, converged := s.advanceUntil(healLimit, s.converged)
			assert.Assert(t, converged)
			for _, node := range s.running() {
				for _, member := range node.Members() {
					if member.Name == "node-7" {
						assert.Equal(t, member.BootID, restarted.Self().BootID)
					}
				}
			}
		})
	}
}

func TestClustersDoNotMerge(t *testing.T) {
	s := newSimulation(16)
	s.start(0, 0)
	s.start(1, 0)
	s.configure = func(config *Config) { config.ClusterName = "other" }
	other := s.start(2, 0)
	s.advance(time.Minute)
	assert.Equal(t, len(s.nodes["10.0.0.1:7000"].Members()), 2)
	assert.Equal(t, len(other.Members()), 1)
	assert.Assert(t, other.Stats().DatagramsRejected > 0)
}

func TestJoinThroughHints(t *testing.T) {
	s := newSimulation(17)
	s.configure = func(config *Config) { config.Seeds = nil }
	for number := range 4 {
		s.start(number, 0)
	}
	s.advance(10 * time.Second)
	assert.Assert(t, !s.converged(), "nodes joined without seeds or hints")
	s.running()[0].SetHints([]string{"10.0.0.2:7000", "10.0.0.3:7000", "10.0.0.4:7000", "not an address"})
	_, converged := s.advanceUntil(2*time.Minute, s.converged)
	assert.Assert(t, converged)
}

func TestPayloadReachesAllMembers(t *testing.T) {
	s := newSimulation(18)
	nodes := startCluster(t, s, 12)
	assert.NilError(t, nodes[3].SetPayload([]byte("revision 7")))
	_, received := s.advanceUntil(20*time.Second, func() bool {
		for _, node := range nodes {
			if node != nodes[3] && node.payloads["node-3"] != "revision 7" {
				return false
			}
		}
		return true
	})
	assert.Assert(t, received)
	assert.ErrorIs(t, nodes[3].SetPayload(make([]byte, MaxPayload+1)), errPayloadSize)
}
