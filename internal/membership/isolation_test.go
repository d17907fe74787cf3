package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestIsolatedNodeListUnreliableBeforeDeclaredDead(t *testing.T) {
	for _, count := range []int{2, 5, 30} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			s := newSimulation(uint64(count))
			nodes := startCluster(t, s, count)
			isolated := nodes[1]
			s.partitioned = func(from, to *simulatedNode) bool { return from == isolated || to == isolated }
			lastReliable := s.now
			for nodes[0].stateOf(isolated) != Dead {
				s.advance(10 * time.Millisecond)
				if isolated.ListReliable() {
					lastReliable = s.now
				}
				assert.Assert(t, s.now-lastReliable < time.Minute, "the isolated node was never declared dead")
			}
			assert.Assert(t, s.now-lastReliable >= DefaultPeriod/2, "the list was still reliable %v before the node was declared dead", s.now-lastReliable)
			s.partitioned = func(_, _ *simulatedNode) bool { return false }
			_, converged := s.advanceUntil(healLimit, func() bool { return s.converged() && isolated.ListReliable() })
			assert.Assert(t, converged, "the isolated node did not rejoin")
		})
	}
}

func TestListReliableAfterZoneLoss(t *testing.T) {
	s := newSimulation(25)
	for _, node := range startCluster(t, s, 60) {
		if node.zone == "zone-0" {
			node.crash()
		}
	}
	for range 200 {
		s.advance(100 * time.Millisecond)
		for _, node := range s.running() {
			assert.Assert(t, node.ListReliable(), "%s: list is unreliable", node.address)
		}
	}
	assert.Assert(t, s.converged())
}

func TestPauseReportedBeforeOtherActions(t *testing.T) {
	for _, pause := range []time.Duration{2 * time.Second, 30 * time.Second, 10 * time.Minute} {
		t.Run(pause.String(), func(t *testing.T) {
			s := newSimulation(10)
			nodes := startCluster(t, s, 10)
			paused := nodes[3]
			before := paused.Self().Incarnation
			assert.Assert(t, paused.ListReliable())
			paused.pause()
			s.advance(pause)
			assert.Assert(t, !paused.ListReliable(), "the list is reliable for a goroutine that runs before the first step after the pause")
			paused.resume()
			s.advance(DefaultPeriod / stepsPerPeriod)
			assert.Equal(t, paused.actions[0], "pause", "the node did not report the pause before it did anything else")
			assert.Equal(t, paused.Stats().Pauses, uint64(1))
			assert.Assert(t, paused.Self().Incarnation > before)
			assert.Equal(t, paused.countEvents(EventDied), 0, "other members were declared dead because of the pause")
			_, converged := s.advanceUntil(healLimit, func() bool { return s.converged() && paused.ListReliable() })
			assert.Assert(t, converged, "the paused node did not rejoin")
		})
	}
}

func TestListUnreliableAfterPauseWhilePartitioned(t *testing.T) {
	s := newSimulation(11)
	s.configure = func(config *Config) { config.IsolationLimit = time.Hour }
	paused := startCluster(t, s, 5)[2]
	paused.pause()
	s.advance(5 * time.Second)
	s.partitioned = func(from, to *simulatedNode) bool { return from == paused || to == paused }
	paused.resume()
	for range 20 {
		s.advance(50 * time.Millisecond)
		assert.Assert(t, !paused.ListReliable(), "the list is reliable without an acknowledgement since the pause")
	}
}

func TestAckIgnoredFromPeerListingSelfAsDead(t *testing.T) {
	s := newSimulation(26)
	nodes := startCluster(t, s, 2)
	node, peer := nodes[0], nodes[1]
	s.partitioned = func(_, _ *simulatedNode) bool { return true }
	dead := node.Self()
	dead.State = Dead
	for _, updates := range [][]Member{{dead}, nil} {
		node.isolation.reset()
		node.ping(peer.Self())
		sequence := node.prober.probes[len(node.prober.probes)-1].sequence
		answer := message{Kind: kindAck, Cluster: "test", Sequence: sequence, Sender: peer.Self(), Updates: updates}
		encoded, err := encoder.Marshal(answer)
		assert.NilError(t, err)
		node.receive(Packet{From: peer.address, Data: encoded})
		assert.Equal(t, node.ListReliable(), updates == nil)
	}
}

func TestSuspicionTimeoutExtendedByPause(t *testing.T) {
	s := newSimulation(22)
	nodes := startCluster(t, s, 5)
	paused := nodes[2]
	paused.changeState(paused.table.entries["node-1"], Suspect)
	paused.pause()
	s.advance(time.Minute)
	paused.inbox = nil
	paused.resume()
	s.advance(10 * time.Second)
	assert.Equal(t, paused.countEvents(EventDied), 0)
	assert.Assert(t, s.converged())
}

func TestSoleMemberListReliable(t *testing.T) {
	s := newSimulation(12)
	s.configure = func(config *Config) { config.Seeds = nil }
	node := s.start(0, 0)
	assert.Assert(t, !node.ListReliable(), "the list is reliable before the first step")
	s.advance(DefaultPeriod)
	assert.Assert(t, node.ListReliable())
	node.pause()
	s.advance(time.Minute)
	node.resume()
	assert.Assert(t, !node.ListReliable())
	s.advance(DefaultPeriod / stepsPerPeriod)
	assert.Assert(t, node.ListReliable())
	node.Close()
	assert.Assert(t, !node.ListReliable())
}

func TestListUnreliableUntilSeedsTimeOut(t *testing.T) {
	s := newSimulation(13)
	first := s.start(5, 0)
	s.advance(2 * time.Second)
	assert.Assert(t, !first.ListReliable(), "the list is reliable before the join timeout")
	s.advance(2 * time.Second)
	assert.Assert(t, first.ListReliable())
}
