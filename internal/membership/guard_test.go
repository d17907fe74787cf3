package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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
