package membership

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	machineNodes   = 9
	machineMembers = 12
)

// machine is a random history of failures over the simulated network.
type machine struct {
	*simulation
	pausedAt map[*simulatedNode]time.Duration
}

func TestRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"))
		s.delay = 20 * time.Millisecond
		s.tamper = func(config *Config) { config.MaxMembers = machineMembers }
		m := &machine{simulation: s, pausedAt: map[*simulatedNode]time.Duration{}}
		for number := range 5 {
			s.start(number, 0)
		}
		s.advance(10 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"advance": m.pass,
			"start":   m.startOne,
			"crash":   m.crashOne,
			"leave":   m.leaveOne,
			"pause":   m.pauseOne,
			"resume":  m.resumeOne,
			"cut":     m.cutZone,
			"heal":    func(*rapid.T) { m.healCut() },
			"noise":   m.changeNoise,
			"forge":   m.forge,
		})
		m.converge(t)
	})
}

// check holds at every moment.
func (m *machine) check(t *rapid.T) {
	for _, node := range m.running() {
		if !slices.ContainsFunc(node.Live(""), func(member Member) bool { return member.Name == node.Self().Name }) {
			t.Fatalf("%s does not list itself", node.address)
		}
		if known := node.Stats().Known; known > machineMembers {
			t.Fatalf("%s knows %d members", node.address, known)
		}
		if node.paused && m.now-m.pausedAt[node] > 4*DefaultPeriod && node.Confident() {
			t.Fatalf("%s is paused and confident", node.address)
		}
	}
}

func (m *machine) pass(t *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "milliseconds")) * time.Millisecond)
}

func (m *machine) startOne(t *rapid.T) {
	number := rapid.IntRange(0, machineNodes-1).Draw(t, "number")
	m.startIfStopped(number)
}

func (m *machine) startIfStopped(number int) {
	for _, node := range m.running() {
		if node.address == machineAddress(number) {
			return
		}
	}
	m.advance(time.Second)
	m.simulation.start(number, 0)
}

func machineAddress(number int) string { return "10.0.0." + string(rune('1'+number)) + ":7000" }

// draw picks a running node some time later, starting one if there is none.
func (m *machine) draw(t *rapid.T) *simulatedNode {
	m.advance(time.Duration(m.random.Int64N(int64(5 * time.Second))))
	if len(m.running()) == 0 {
		m.startOne(t)
	}
	running := m.running()
	return running[rapid.IntRange(0, len(running)-1).Draw(t, "node")]
}

func (m *machine) crashOne(t *rapid.T) { m.draw(t).crash() }

func (m *machine) leaveOne(t *rapid.T) {
	node := m.draw(t)
	if node.paused {
		return
	}
	node.Leave()
	m.advance(time.Second)
	node.Close()
	node.crash()
}

func (m *machine) pauseOne(t *rapid.T) {
	node := m.draw(t)
	m.advance(DefaultPeriod / stepsPerPeriod) // one that never ran has nothing to report
	if !node.paused {
		node.pause()
		m.pausedAt[node] = m.now
	}
}

func (m *machine) resumeOne(t *rapid.T) {
	node := m.draw(t)
	if !node.paused {
		return
	}
	long := m.now-m.pausedAt[node] > 4*DefaultPeriod
	node.resume()
	m.advance(DefaultPeriod / stepsPerPeriod)
	if long && (len(node.actions) == 0 || node.actions[0] != "pause") {
		t.Fatalf("%s acted before it reported its pause: %v", node.address, node.actions)
	}
}

func (m *machine) cutZone(t *rapid.T) {
	zone := rapid.SampledFrom([]string{"zone-0", "zone-1", "zone-2"}).Draw(t, "zone")
	m.cut = func(from, to *simulatedNode) bool { return (from.zone == zone) != (to.zone == zone) }
}

func (m *machine) healCut() { m.cut = func(_, _ *simulatedNode) bool { return false } }

func (m *machine) changeNoise(t *rapid.T) {
	m.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
	m.duplicate = rapid.Float64Range(0, 0.4).Draw(t, "duplicate")
	m.delay = time.Duration(rapid.IntRange(1, 200).Draw(t, "delay")) * time.Millisecond
}

// forge sends a node a false record about another one.
func (m *machine) forge(t *rapid.T) {
	victim, receiver := m.draw(t), m.draw(t)
	record := victim.Self()
	record.State = State(rapid.IntRange(0, stateCount-1).Draw(t, "state"))
	record.Incarnation += rapid.Uint64Range(0, 5).Draw(t, "lead")
	forged, err := encoder.Marshal(message{Kind: kindGossip, Cluster: "test", Sender: record})
	if err != nil {
		t.Fatal(err)
	}
	receiver.receive(Packet{From: victim.address, Data: forged})
}

// converge ends all failures; then every node must list just the running ones.
func (m *machine) converge(t *rapid.T) {
	m.healCut()
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
		unsure := func(node *simulatedNode) bool { return !node.Confident() }
		return m.agreed() && !slices.ContainsFunc(m.running(), unsure)
	}
	if _, healed := m.until(healLimit, healthy); !healed {
		for _, node := range m.running() {
			t.Logf("%s confident=%v %v", node.address, node.Confident(), node.Members())
		}
		t.Fatalf("the nodes do not agree %v after the last failure", healLimit)
	}
}
