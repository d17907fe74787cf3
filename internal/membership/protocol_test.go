package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// detectionLimit is the time in which every node must know of a crash: the
// probe, the suspicion and the spread, at up to 100 nodes.
const detectionLimit = 24 * DefaultPeriod

// healLimit is the time in which a healed cut must be forgotten.
const healLimit = 90 * time.Second

// TestNoSuspicionWithoutLoss: in a network that loses nothing, nodes that start shortly after
// each other must know each other after a minute, and suspect nobody. Eleven nodes with a
// pause of 2.8 s after the fifth did not. They formed two islands, {0,1,4,7..10} and
// {2,3,5,6}, which one contact joined after 10 s; by then no change was queued anywhere, and
// two nodes that both missed each other compared lists every 30 s with one random peer that
// knew no more: 5 and 10 were strangers for 63 s, while nobody was suspected. What spreads
// and what is compared is told at TestNodesStartedTogetherConverge.
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
		if !s.agreed() {
			t.Fatalf("%d nodes do not agree", count)
		}
		for _, node := range s.running() {
			if node.count(EventSuspected)+node.count(EventDied) > 0 {
				t.Fatalf("false suspicion: %v", node.events)
			}
		}
	})
}

func TestCrashesAreDetectedByAll(t *testing.T) {
	for _, count := range []int{2, 3, 10, 60} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			s := newSimulation(uint64(count))
			nodes := cluster(t, s, count)
			nodes[count-1].crash()
			nodes[count/2].crash()
			taken, detected := s.until(detectionLimit, s.agreed)
			assert.Assert(t, detected, "the crash was not known to all in %v", detectionLimit)
			t.Logf("all of %d nodes knew after %v", count, taken)
			for _, node := range s.running() {
				assert.Equal(t, node.state(nodes[count-1]), Dead)
			}
		})
	}
}

func TestRefutationWinsUnderLoss(t *testing.T) {
	s := newSimulation(7)
	nodes := cluster(t, s, 30)
	s.loss, s.duplicate = 0.15, 0.1
	s.delay = 40 * time.Millisecond
	s.advance(3 * time.Minute)
	suspicions, refutations := uint64(0), uint64(0)
	for _, node := range nodes {
		assert.Equal(t, node.count(EventDied), 0)
		suspicions += node.Stats().Suspicions
		refutations += node.Stats().Refutations
	}
	assert.Assert(t, suspicions > 0 && refutations > 0, "the loss caused no suspicion to refute")
}

func TestFalseRumourOfDeathIsRefuted(t *testing.T) {
	s := newSimulation(8)
	nodes := cluster(t, s, 10)
	rumour := nodes[4].Self()
	rumour.State = Dead
	forged, err := encoder.Marshal(message{Kind: kindGossip, Cluster: "test", Sender: nodes[1].Self(), Updates: []Member{rumour}})
	assert.NilError(t, err)
	nodes[2].receive(Packet{From: nodes[1].address, Data: forged})
	assert.Equal(t, nodes[2].state(nodes[4]), Dead)
	_, agreed := s.until(detectionLimit, s.agreed)
	assert.Assert(t, agreed, "the rumour was not refuted")
	assert.Assert(t, nodes[4].Self().Incarnation > rumour.Incarnation)
}

func TestHealedCutConverges(t *testing.T) {
	s := newSimulation(9)
	nodes := cluster(t, s, 30)
	s.cut = func(from, to *simulatedNode) bool { return (from.zone == "zone-0") != (to.zone == "zone-0") }
	s.advance(2 * time.Minute)
	assert.Equal(t, len(nodes[0].Live("")), 10)
	assert.Equal(t, len(nodes[1].Live("")), 20)
	assert.Assert(t, nodes[0].Confident() && nodes[1].Confident())
	s.start(30, 0) // joins one half during the cut
	nodes[4].crash()
	s.advance(20 * time.Second)
	s.cut = func(_, _ *simulatedNode) bool { return false }
	taken, agreed := s.until(healLimit, s.agreed)
	assert.Assert(t, agreed, "the halves did not agree in %v", healLimit)
	t.Logf("the halves agreed after %v", taken)
}

func TestReturnOfADeadMemberPromptsAnExchange(t *testing.T) {
	s := newSimulation(27)
	nodes := cluster(t, s, 4)
	s.advance(exchangePause * DefaultPeriod)
	node, member := nodes[0], nodes[1]
	node.believe(node.table.entries["node-1"], Dead)
	member.Leave()
	node.learn(member.Self(), "")
	node.exchange.earliest = 0
	address, _, due := node.ExchangeDue()
	assert.Assert(t, due)
	assert.Equal(t, address, member.address)
}

func TestHealedCutConvergesWithoutSeeds(t *testing.T) {
	s := newSimulation(23)
	nodes := cluster(t, s, 20)
	for _, node := range nodes {
		node.contacts.seeds = nil
	}
	s.cut = func(from, to *simulatedNode) bool { return (from.zone == "zone-0") != (to.zone == "zone-0") }
	s.advance(time.Minute)
	assert.Equal(t, len(nodes[0].Live("")), 7)
	s.cut = func(_, _ *simulatedNode) bool { return false }
	_, agreed := s.until(healLimit, s.agreed)
	assert.Assert(t, agreed, "the halves did not agree in %v", healLimit)
}

func TestLeavingIsToldAndNoAlarm(t *testing.T) {
	s := newSimulation(14)
	nodes := cluster(t, s, 20)
	leaver := nodes[6]
	leaver.Leave()
	s.advance(3 * time.Second)
	for _, node := range nodes {
		assert.Equal(t, node.state(leaver), Leaving)
		assert.Assert(t, !containsName(node.Live(""), "node-6"))
		assert.Assert(t, !containsName(node.Live(leaver.zone), "node-6"))
	}
	leaver.Close()
	leaver.crash()
	s.advance(detectionLimit)
	for _, node := range s.running() {
		assert.Equal(t, node.state(leaver), Left)
		assert.Equal(t, node.count(EventDied), 0)
	}
}

func TestRestartedNodeTakesItsNameBack(t *testing.T) {
	for _, skew := range []time.Duration{0, -time.Hour} {
		t.Run(skew.String(), func(t *testing.T) {
			s := newSimulation(15)
			nodes := cluster(t, s, 10)
			nodes[7].crash()
			s.advance(time.Second)
			restarted := s.start(7, skew)
			_, agreed := s.until(healLimit, s.agreed)
			assert.Assert(t, agreed)
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
	s.tamper = func(config *Config) { config.ClusterName = "other" }
	stranger := s.start(2, 0)
	s.advance(time.Minute)
	assert.Equal(t, len(s.nodes["10.0.0.1:7000"].Members()), 2)
	assert.Equal(t, len(stranger.Members()), 1)
	assert.Assert(t, stranger.Stats().DatagramsRejected > 0)
}

func TestHintedAddressesJoin(t *testing.T) {
	s := newSimulation(17)
	s.tamper = func(config *Config) { config.Seeds = nil }
	for number := range 4 {
		s.start(number, 0)
	}
	s.advance(10 * time.Second)
	assert.Assert(t, !s.agreed(), "nodes met without seeds or hints")
	s.running()[0].Hint([]string{"10.0.0.2:7000", "10.0.0.3:7000", "10.0.0.4:7000", "not an address"})
	_, agreed := s.until(2*time.Minute, s.agreed)
	assert.Assert(t, agreed)
}

func TestPayloadReachesEveryone(t *testing.T) {
	s := newSimulation(18)
	nodes := cluster(t, s, 12)
	assert.NilError(t, nodes[3].SetPayload([]byte("revision 7")))
	_, told := s.until(20*time.Second, func() bool {
		for _, node := range nodes {
			if node != nodes[3] && node.payloads["node-3"] != "revision 7" {
				return false
			}
		}
		return true
	})
	assert.Assert(t, told)
	assert.ErrorIs(t, nodes[3].SetPayload(make([]byte, MaxPayload+1)), errPayloadSize)
}
