package membership

import (
	"fmt"
	"runtime"
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

func TestIsolatedNodeLosesConfidenceBeforeItIsDeclaredDead(t *testing.T) {
	for _, count := range []int{2, 5, 30} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			s := newSimulation(uint64(count))
			nodes := cluster(t, s, count)
			isolated := nodes[1]
			s.cut = func(from, to *simulatedNode) bool { return from == isolated || to == isolated }
			confidentAt := s.now
			for nodes[0].state(isolated) != Dead {
				s.advance(10 * time.Millisecond)
				if isolated.Confident() {
					confidentAt = s.now
				}
				assert.Assert(t, s.now-confidentAt < time.Minute, "the isolated node was never declared dead")
			}
			assert.Assert(t, s.now-confidentAt >= DefaultPeriod/2, "confident %v before it was declared dead", s.now-confidentAt)
			s.cut = func(_, _ *simulatedNode) bool { return false }
			_, back := s.until(healLimit, func() bool { return s.agreed() && isolated.Confident() })
			assert.Assert(t, back, "the isolated node did not come back")
		})
	}
}

func TestSurvivorsOfAZoneLossStayConfident(t *testing.T) {
	s := newSimulation(25)
	for _, node := range cluster(t, s, 60) {
		if node.zone == "zone-0" {
			node.crash()
		}
	}
	for range 200 {
		s.advance(100 * time.Millisecond)
		for _, node := range s.running() {
			assert.Assert(t, node.Confident(), "%s lost its confidence", node.address)
		}
	}
	assert.Assert(t, s.agreed())
}

func TestPausedNodeReportsBeforeItActs(t *testing.T) {
	for _, pause := range []time.Duration{2 * time.Second, 30 * time.Second, 10 * time.Minute} {
		t.Run(pause.String(), func(t *testing.T) {
			s := newSimulation(10)
			nodes := cluster(t, s, 10)
			paused := nodes[3]
			before := paused.Self().Incarnation
			assert.Assert(t, paused.Confident())
			paused.pause()
			s.advance(pause)
			assert.Assert(t, !paused.Confident(), "another goroutine may run first after the pause")
			paused.resume()
			s.advance(DefaultPeriod / stepsPerPeriod)
			assert.Equal(t, paused.actions[0], "pause", "the node sent before it reported the pause")
			assert.Equal(t, paused.Stats().Pauses, uint64(1))
			assert.Assert(t, paused.Self().Incarnation > before)
			assert.Equal(t, paused.count(EventDied), 0, "a pause is no reason to declare others dead")
			_, agreed := s.until(healLimit, func() bool { return s.agreed() && paused.Confident() })
			assert.Assert(t, agreed, "the paused node did not come back")
		})
	}
}

func TestPausedNodeStaysUnconfidentWhileCutOff(t *testing.T) {
	s := newSimulation(11)
	s.tamper = func(config *Config) { config.IsolationLimit = time.Hour }
	paused := cluster(t, s, 5)[2]
	paused.pause()
	s.advance(5 * time.Second)
	s.cut = func(from, to *simulatedNode) bool { return from == paused || to == paused }
	paused.resume()
	for range 20 {
		s.advance(50 * time.Millisecond)
		assert.Assert(t, !paused.Confident(), "confident without an acknowledgement since the pause")
	}
}

func TestAnswerOfAPeerThatHoldsUsDeadProvesNothing(t *testing.T) {
	s := newSimulation(26)
	nodes := cluster(t, s, 2)
	asker, peer := nodes[0], nodes[1]
	s.cut = func(_, _ *simulatedNode) bool { return true }
	dead := asker.Self()
	dead.State = Dead
	for _, updates := range [][]Member{{dead}, nil} {
		asker.guard.reset()
		asker.ping(peer.Self())
		sequence := asker.prober.probes[len(asker.prober.probes)-1].sequence
		answer := message{Kind: kindAck, Cluster: "test", Sequence: sequence, Sender: peer.Self(), Updates: updates}
		encoded, err := encoder.Marshal(answer)
		assert.NilError(t, err)
		asker.receive(Packet{From: peer.address, Data: encoded})
		assert.Equal(t, asker.Confident(), updates == nil)
	}
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

func TestSuspicionsDoNotRunOutDuringAPause(t *testing.T) {
	s := newSimulation(22)
	nodes := cluster(t, s, 5)
	paused := nodes[2]
	paused.believe(paused.table.entries["node-1"], Suspect)
	paused.pause()
	s.advance(time.Minute)
	paused.inbox = nil
	paused.resume()
	s.advance(10 * time.Second)
	assert.Equal(t, paused.count(EventDied), 0)
	assert.Assert(t, s.agreed())
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

func TestLoneNodeIsConfident(t *testing.T) {
	s := newSimulation(12)
	s.tamper = func(config *Config) { config.Seeds = nil }
	alone := s.start(0, 0)
	assert.Assert(t, !alone.Confident(), "confident before the first step")
	s.advance(DefaultPeriod)
	assert.Assert(t, alone.Confident())
	alone.pause()
	s.advance(time.Minute)
	alone.resume()
	assert.Assert(t, !alone.Confident())
	s.advance(DefaultPeriod / stepsPerPeriod)
	assert.Assert(t, alone.Confident())
	alone.Close()
	assert.Assert(t, !alone.Confident())
}

func TestSeededNodeWaitsForItsSeeds(t *testing.T) {
	s := newSimulation(13)
	first := s.start(5, 0)
	s.advance(2 * time.Second)
	assert.Assert(t, !first.Confident(), "confident before the seeds had time to answer")
	s.advance(2 * time.Second)
	assert.Assert(t, first.Confident())
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

// bytesPerPeriod returns what a node sends on average in a quiet cluster.
func bytesPerPeriod(t testing.TB, count, payload int) float64 {
	s := newSimulation(19)
	nodes := cluster(t, s, count)
	for _, node := range nodes {
		assert.NilError(t, node.SetPayload(make([]byte, payload)))
	}
	s.advance((introductionPeriods + 20) * DefaultPeriod)
	before := totalBytesSent(nodes)
	const periods = 60
	s.advance(periods * DefaultPeriod)
	return float64(totalBytesSent(nodes)-before) / float64(count*periods)
}

func TestBytesPerPeriodDoNotGrowWithTheCluster(t *testing.T) {
	small, large := bytesPerPeriod(t, 20, 100), bytesPerPeriod(t, 200, 100)
	t.Logf("bytes per node and period: %.1f at 20 nodes, %.1f at 200", small, large)
	assert.Assert(t, large < 1.05*small, "%.1f at 20 nodes, %.1f at 200", small, large)
}

// BenchmarkLargeCluster measures a cluster of the size to design for, in
// virtual time: the heap that a node takes, the detection of a crash, and the
// healing of a cut that parts a third of the nodes from the rest.
func BenchmarkLargeCluster(b *testing.B) {
	const count = 820
	for b.Loop() {
		s := newSimulation(24)
		nodes := cluster(b, s, count)
		s.advance(introductionPeriods * DefaultPeriod)
		var memory runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&memory)
		b.ReportMetric(float64(memory.HeapAlloc)/count, "heap-bytes/node")
		nodes[count-1].crash()
		taken, _ := s.until(time.Minute, s.agreed)
		b.ReportMetric(taken.Seconds(), "crash-seconds")
		s.cut = func(from, to *simulatedNode) bool { return (from.zone == "zone-0") != (to.zone == "zone-0") }
		s.advance(2 * time.Minute)
		s.cut = func(_, _ *simulatedNode) bool { return false }
		before := totalBytesSent(nodes)
		taken, _ = s.until(5*time.Minute, s.agreed)
		b.ReportMetric(taken.Seconds(), "heal-seconds")
		b.ReportMetric(float64(totalBytesSent(nodes)-before)/count/taken.Seconds(), "heal-bytes/node/s")
	}
}

func totalBytesSent(nodes []*simulatedNode) (total uint64) {
	for _, node := range nodes {
		total += node.Stats().BytesSent
	}
	return total
}

func BenchmarkBytesPerPeriod(b *testing.B) {
	for _, count := range []int{20, 200, 820} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(bytesPerPeriod(b, count, 100), "bytes/node/period")
			}
		})
	}
}
