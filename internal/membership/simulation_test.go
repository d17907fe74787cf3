package membership

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// simulation runs nodes on a simulated network in virtual time.
type simulation struct {
	now          time.Duration
	random       *rand.Rand
	queue        taskQueue
	lastSequence int
	nodes        map[string]*simulatedNode
	addresses    []string
	loss         float64
	duplicate    float64
	delay        time.Duration
	// partitioned reports whether datagrams from one node to another are lost.
	partitioned func(from, to *simulatedNode) bool
	// configure modifies the settings of nodes started later.
	configure func(*Config)
}

// simulatedNode is a node with its own clock and receive queue, which records the events and
// payloads that were delivered.
type simulatedNode struct {
	*Membership
	sim       *simulation
	address   string
	zone      string
	stopped   bool
	paused    bool
	clockSkew time.Duration
	inbox     []Packet
	events    []Event
	payloads  map[string]string
	// actions records the sends and pause reports since the last resume.
	actions []string
}

// task is a function scheduled at a virtual time. Tasks at the same time run in the order in
// which they were scheduled.
type task struct {
	at       time.Duration
	sequence int
	run      func()
}

type taskQueue []task

func (q taskQueue) Len() int      { return len(q) }
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q taskQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q *taskQueue) Push(pushed any) { *q = append(*q, pushed.(task)) }
func (q *taskQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var epoch = time.Unix(1_700_000_000, 0)

func newSimulation(seed uint64) *simulation {
	return &simulation{
		random:      rand.New(rand.NewPCG(seed, 1)),
		nodes:       map[string]*simulatedNode{},
		delay:       2 * time.Millisecond,
		partitioned: func(_, _ *simulatedNode) bool { return false },
		configure:   func(*Config) {},
	}
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.queue, task{at: s.now + delay, sequence: s.lastSequence, run: run})
}

func (s *simulation) advance(duration time.Duration) {
	end := s.now + duration
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(task)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// advanceUntil advances the time in steps until the condition holds or the limit is reached,
// and returns the elapsed time.
func (s *simulation) advanceUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := s.now
	for !condition() {
		if s.now-start >= limit {
			return limit, false
		}
		s.advance(DefaultPeriod / stepsPerPeriod)
	}
	return s.now - start, true
}

// start starts a node, whose number determines its name, address and zone. An earlier node with
// the number must have been stopped.
func (s *simulation) start(number int, skew time.Duration) *simulatedNode {
	name := fmt.Sprintf("node-%d", number)
	node := &simulatedNode{
		sim:       s,
		address:   fmt.Sprintf("10.0.%d.%d:7000", number/250, number%250+1),
		zone:      fmt.Sprintf("zone-%d", number%3),
		clockSkew: skew,
		payloads:  map[string]string{},
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.PanicLevel)
	config := Config{
		ClusterName: "test",
		Self:        Member{Name: name, Zone: node.zone, Region: "region-0", PeerAddress: node.address, MeshAddress: node.address},
		Seeds:       []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"},
		Transport:   node,
		Logger:      logger.WithField("component", "membership"),
		Clock:       node.clock,
		RandSeed:    s.random.Uint64() | 1,
		OnPause:     func(time.Duration) { node.actions = append(node.actions, "pause") },
		OnPayload:   func(from Member, payload []byte) { node.payloads[from.Name] = string(payload) },
	}
	s.configure(&config)
	membership, err := New(config)
	if err != nil {
		panic(err)
	}
	node.Membership = membership
	node.Subscribe(func(event Event) { node.events = append(node.events, event) })
	if _, restarted := s.nodes[node.address]; !restarted {
		s.addresses = append(s.addresses, node.address)
	}
	s.nodes[node.address] = node
	s.after(time.Duration(s.random.Int64N(int64(DefaultPeriod/stepsPerPeriod))), node.tick)
	return node
}

func (n *simulatedNode) clock() Instant {
	return Instant{Wall: epoch.Add(n.sim.now + n.clockSkew), Monotonic: n.sim.now}
}

// tick steps the node, performs an exchange that is due and schedules the next tick.
func (n *simulatedNode) tick() {
	if n.stopped {
		return
	}
	n.sim.after(DefaultPeriod/stepsPerPeriod, n.tick)
	if n.paused {
		return
	}
	n.Step(n.clock())
	n.DeliverEvents()
	if address, digest, due := n.ExchangeDue(); due {
		n.fetchFrom(n.sim.nodes[address], digest)
	}
}

func (n *simulatedNode) fetchFrom(peer *simulatedNode, digest uint64) {
	if peer == nil || peer.stopped || peer.paused || n.sim.partitioned(n, peer) || peer.Digest() == digest {
		return
	}
	list := slices.Clone(peer.Snapshot())
	n.sim.after(2*n.sim.delay, func() {
		if !n.stopped && !n.paused {
			n.Merge(list)
		}
	})
}

// Send implements Transport over the simulated network.
func (n *simulatedNode) Send(address string, datagram []byte) error {
	n.actions = append(n.actions, "send")
	if len(datagram) > MaxDatagram {
		panic("datagram is too large")
	}
	copies := 1
	if n.sim.random.Float64() < n.sim.duplicate {
		copies = 2
	}
	for range copies {
		n.sim.transmit(n, address, slices.Clone(datagram))
	}
	return nil
}

// Receive implements Transport. It is unused, as the simulation calls receive.
func (n *simulatedNode) Receive() <-chan Packet { return nil }

func (s *simulation) transmit(from *simulatedNode, address string, datagram []byte) {
	lost := s.random.Float64() < s.loss
	delay := s.delay/2 + time.Duration(s.random.Int64N(int64(s.delay)))
	s.after(delay, func() {
		to := s.nodes[address]
		if lost || to == nil || to.stopped || s.partitioned(from, to) {
			return
		}
		to.receive(Packet{From: from.address, Data: datagram})
	})
}

func (n *simulatedNode) receive(packet Packet) {
	if n.paused {
		if len(n.inbox) < receiveQueueLength {
			n.inbox = append(n.inbox, packet)
		}
		return
	}
	n.HandlePacket(n.clock(), packet)
	n.DeliverEvents()
}

func (n *simulatedNode) pause() { n.paused = true }

// resume resumes the node, which first receives the datagrams queued during the pause.
func (n *simulatedNode) resume() {
	n.paused = false
	n.actions = nil
	queued := n.inbox
	n.inbox = nil
	for _, packet := range queued {
		n.receive(packet)
	}
}

func (n *simulatedNode) crash() { n.stopped = true }

func (n *simulatedNode) countEvents(kind EventKind) int {
	count := 0
	for _, event := range n.events {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

// running returns the nodes that have not stopped, in the order in which their addresses were
// first started.
func (s *simulation) running() []*simulatedNode {
	var running []*simulatedNode
	for _, address := range s.addresses {
		if node := s.nodes[address]; !node.stopped {
			running = append(running, node)
		}
	}
	return running
}

// converged reports whether every running node lists exactly the running nodes as live and all
// digests are equal.
func (s *simulation) converged() bool {
	running := s.running()
	for _, node := range running {
		live := node.Live("")
		if len(live) != len(running) || node.Digest() != running[0].Digest() {
			return false
		}
		for _, member := range live {
			if peer := s.nodes[member.PeerAddress]; peer == nil || peer.stopped {
				return false
			}
		}
	}
	return true
}

// stateOf returns the state of another node in this node's list, or Left if it is not listed.
func (n *simulatedNode) stateOf(other *simulatedNode) State {
	for _, member := range n.Members() {
		if member.Name == other.config.Self.Name {
			return member.State
		}
	}
	return Left
}

// startCluster starts count nodes, waits until they have converged and returns all running nodes.
func startCluster(t testing.TB, s *simulation, count int) []*simulatedNode {
	t.Helper()
	for number := range count {
		s.start(number, 0)
	}
	_, converged := s.advanceUntil(2*time.Minute, s.converged)
	assert.Assert(t, converged, "%d nodes did not converge", count)
	return s.running()
}
