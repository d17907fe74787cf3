package membership

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	modelNodes      = 9
	modelMaxMembers = 12
)

// failureModel is a rapid state machine test that applies random failures to nodes on the
// simulated network.
type failureModel struct {
	*simulation
	pausedAt map[*simulatedNode]time.Duration
}

func TestRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"))
		s.delay = 20 * time.Millisecond
		s.configure = func(config *Config) { config.MaxMembers = modelMaxMembers }
		m := &failureModel{simulation: s, pausedAt: map[*simulatedNode]time.Duration{}}
		for number := range 5 {
			s.start(number, 0)
		}
		s.advance(10 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"advance": m.advanceTime,
			"start":   m.startNode,
			"crash":   m.crashNode,
			"leave":   m.leaveNode,
			"pause":   m.pauseNode,
			"resume":  m.resumeNode,
			"cut":     m.partitionZone,
			"heal":    func(*rapid.T) { m.healPartition() },
			"noise":   m.changeLinkQuality,
			"forge":   m.sendForgedRecord,
		})
		m.checkConvergence(t)
	})
}

// check verifies the invariants after each action.
func (m *failureModel) check(t *rapid.T) {
	for _, node := range m.running() {
		if !slices.ContainsFunc(node.Live(""), func(member Member) bool { return member.Name == node.Self().Name }) {
			t.Fatalf("%s does not list itself as live", node.address)
		}
		if known := node.Stats().Known; known > modelMaxMembers {
			t.Fatalf("%s lists %d other members, more than MaxMembers", node.address, known)
		}
		if node.paused && m.now-m.pausedAt[node] > 4*DefaultPeriod && node.ListReliable() {
			t.Fatalf("%s is paused, but its list is reliable", node.address)
		}
	}
}

func (m *failureModel) advanceTime(t *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "milliseconds")) * time.Millisecond)
}

func (m *failureModel) startNode(t *rapid.T) {
	number := rapid.IntRange(0, modelNodes-1).Draw(t, "number")
	m.startIfStopped(number)
}

func (m *failureModel) startIfStopped(number int) {
	for _, node := range m.running() {
		if node.address == nodeAddress(number) {
			return
		}
	}
	m.advance(time.Second)
	m.simulation.start(number, 0)
}

func nodeAddress(number int) string { return "10.0.0." + string(rune('1'+number)) + ":7000" }

// drawNode advances the time by a random duration and draws a running node. It starts a node if
// none is running.
func (m *failureModel) drawNode(t *rapid.T) *simulatedNode {
	m.advance(time.Duration(m.random.Int64N(int64(5 * time.Second))))
	if len(m.running()) == 0 {
		m.startNode(t)
	}
	running := m.running()
	return running[rapid.IntRange(0, len(running)-1).Draw(t, "node")]
}

func (m *failureModel) crashNode(t *rapid.T) { m.drawNode(t).crash() }

func (m *failureModel) leaveNode(t *rapid.T) {
	node := m.drawNode(t)
	if node.paused {
		return
	}
	node.Leave()
	m.advance(time.Second)
	node.Close()
	node.crash()
}

func (m *failureModel) pauseNode(t *rapid.T) {
	node := m.drawNode(t)
	m.advance(DefaultPeriod / stepsPerPeriod) // a node without a step before the pause cannot detect it
	if !node.paused {
		node.pause()
		m.pausedAt[node] = m.now
	}
}

func (m *failureModel) resumeNode(t *rapid.T) {
	node := m.drawNode(t)
	if !node.paused {
		return
	}
	pauseDetectable := m.now-m.pausedAt[node] > 4*DefaultPeriod
	node.resume()
	m.advance(DefaultPeriod / stepsPerPeriod)
	if pauseDetectable && (len(node.actions) == 0 || node.actions[0] != "pause") {
		t.Fatalf("%s sent a datagram before it reported its pause: %v", node.address, node.actions)
	}
}

func (m *failureModel) partitionZone(t *rapid.T) {
	zone := rapid.SampledFrom([]string{"zone-0", "zone-1", "zone-2"}).Draw(t, "zone")
	m.partitioned = func(from, to *simulatedNode) bool { return (from.zone == zone) != (to.zone == zone) }
}

func (m *failureModel) healPartition() {
	m.partitioned = func(_, _ *simulatedNode) bool { return false }
}

func (m *failureModel) changeLinkQuality(t *rapid.T) {
	m.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
	m.duplicate = rapid.Float64Range(0, 0.4).Draw(t, "duplicate")
	m.delay = time.Duration(rapid.IntRange(1, 200).Draw(t, "delay")) * time.Millisecond
}

// sendForgedRecord sends a node a false record of another node.
func (m *failureModel) sendForgedRecord(t *rapid.T) {
	victim, receiver := m.drawNode(t), m.drawNode(t)
	record := victim.Self()
	record.State = State(rapid.IntRange(0, stateCount-1).Draw(t, "state"))
	record.Incarnation += rapid.Uint64Range(0, 5).Draw(t, "lead")
	forged, err := encoder.Marshal(message{Kind: kindGossip, Cluster: "test", Sender: record})
	if err != nil {
		t.Fatal(err)
	}
	receiver.receive(Packet{From: victim.address, Data: forged})
}

// checkConvergence ends all failures and checks that the lists of all nodes converge to the
// running nodes.
func (m *failureModel) checkConvergence(t *rapid.T) {
	m.healPartition()
	m.loss, m.duplicate, m.delay = 0, 0, 5*time.Millisecond
	for _, node := range m.running() {
		if node.paused {
			node.resume()
		}
	}
	for number := range 3 {
		m.startIfStopped(number)
	}
	healthy := func() bool {
		unreliable := func(node *simulatedNode) bool { return !node.ListReliable() }
		return m.converged() && !slices.ContainsFunc(m.running(), unreliable)
	}
	if _, converged := m.advanceUntil(healLimit, healthy); !converged {
		for _, node := range m.running() {
			t.Logf("%s listReliable=%v %v", node.address, node.ListReliable(), node.Members())
		}
		t.Fatalf("the nodes did not converge within %v after the last failure", healLimit)
	}
}
