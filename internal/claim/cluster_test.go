package claim

import (
	"fmt"
	"time"
)

// mutation selects the rule of the algorithm that a simulated cluster violates,
// so that tests can check that the simulation detects the violation.
type mutation int

const (
	mutationNone mutation = iota
	mutationVoteAfterRestart
	mutationIgnoreEpoch
	mutationSkipCopy
	mutationSkipWait
	mutationFalseLostReport
	mutationReleaseRunning
	mutationCountLateGrants
	mutationIgnoreIdentity
	mutationEvictWhenFull
)

const (
	simRetention = 2 * time.Minute
)

type packet struct {
	to   int
	body any // Request, Response, ReleaseRequest, PageRequest or Page
	from int
}

type simAttempt struct {
	id       AttemptID
	key      KeyHash
	outcome  Outcome
	canceled bool
}

type simKey struct {
	hash      KeyHash
	firstUsed time.Time
}

type simCall struct {
	coordinator *Coordinator
	attempt     *simAttempt
}

type simNode struct {
	name        string
	boot        BootID
	rate        float64 // clock rate
	paused      bool
	partitioned bool // reaches only other partitioned nodes and not the store
	replica     *Replica
	calls       []*simCall
	proposal    *Roster
}

// simCluster is a cluster with simulated time and network. choose returns a number
// below its argument and makes every nondeterministic decision.
type simCluster struct {
	choose    func(n int) int
	mutation  mutation
	profile   faultProfile
	start     time.Time
	now       time.Time
	nodes     []*simNode
	roster    *Roster // in the store
	storeUp   bool
	network   []packet
	keys      []simKey
	attempts  []*simAttempt
	serial    uint64
	violation string
	granted   int
	// activations counts replicas that joined.
	activations int
}

func newSimCluster(nodes, seats int, mutation mutation, profile faultProfile, choose func(int) int) *simCluster {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := &simCluster{choose: choose, mutation: mutation, profile: profile, start: start, now: start, storeUp: true}
	for i := range nodes {
		node := &simNode{name: fmt.Sprintf("n%d", i), rate: 1 + 0.01*float64(i%3-1)}
		c.nodes = append(c.nodes, node)
		c.boot(node)
	}
	genesis, err := NewGenesis(simRetention, GenesisMembers(c.view(c.nodes[0]), seats))
	if err != nil {
		panic(err)
	}
	c.roster = &genesis
	for _, node := range c.nodes {
		node.replica.Adopt(genesis, c.clock(node))
	}
	return c
}

func (c *simCluster) uniqueID() (id [16]byte) {
	c.serial++
	copy(id[:], fmt.Sprintf("%016d", c.serial))
	return id
}

func (c *simCluster) clock(node *simNode) time.Time {
	return c.start.Add(time.Duration(float64(c.now.Sub(c.start)) * node.rate))
}

func (c *simCluster) self(node *simNode) Identity { return Identity{Name: node.name, Boot: node.boot} }

func (c *simCluster) boot(node *simNode) {
	var roster *Roster
	if c.mutation == mutationVoteAfterRestart && node.replica != nil {
		roster = node.replica.roster
	} else {
		node.boot = c.uniqueID()
	}
	node.replica = NewReplica(c.self(node), c.profile.capacity)
	node.calls, node.proposal, node.paused = nil, nil, false
	if roster != nil {
		node.replica.Adopt(*roster, c.clock(node))
		node.replica.copied = true
	}
}

func (c *simCluster) view(node *simNode) View {
	v := View{Self: c.self(node)}
	if node.replica != nil {
		v.ReadyEpoch, _ = node.replica.Ready()
	}
	for i, other := range c.nodes {
		v.Nodes = append(v.Nodes, Node{Name: other.name, BootID: other.boot, Zone: fmt.Sprintf("z%d", i%3), PeerAddress: other.name, Alive: true})
	}
	return v
}

func (c *simCluster) indexOf(address string) int {
	for i, node := range c.nodes {
		if node.name == address {
			return i
		}
	}
	panic("unknown address " + address)
}

func (c *simCluster) send(from, to int, body any) {
	c.network = append(c.network, packet{to: to, from: from, body: body})
}

// call sends a call with the key to a node. The caller must respect the key's
// lifetime.
func (c *simCluster) call(i int, key simKey) *simAttempt {
	node := c.nodes[i]
	roster, ok := node.replica.Roster()
	if !ok {
		return nil
	}
	attempt := &simAttempt{id: c.uniqueID(), key: key.hash}
	call := &simCall{coordinator: NewCoordinator(roster, key.hash, attempt.id, c.clock(node)), attempt: attempt}
	node.calls = append(node.calls, call)
	c.attempts = append(c.attempts, attempt)
	c.sendRequests(i, call)
	return attempt
}

func (c *simCluster) sendRequests(i int, call *simCall) {
	for _, voter := range call.coordinator.Voters() {
		c.send(i, c.indexOf(voter.Address), call.coordinator.Request(voter.Identity))
	}
}

func (c *simCluster) release(i int, call *simCall) {
	for _, voter := range call.coordinator.Voters() {
		c.send(i, c.indexOf(voter.Address), ReleaseRequest{To: voter.Identity, Key: call.attempt.key, Attempt: call.attempt.id})
	}
}

// recordOutcome records a call's outcome, checks the invariants and releases the
// claim of an attempt that will never run.
func (c *simCluster) recordOutcome(i int, call *simCall, outcome Outcome) {
	a := call.attempt
	if outcome == Pending || a.canceled {
		return
	}
	if a.outcome != Pending && a.outcome != outcome {
		c.violation = fmt.Sprintf("attempt %s was %s and is %s", a.id, a.outcome, outcome)
		return
	}
	if a.outcome == outcome {
		return
	}
	a.outcome = outcome
	if outcome != Granted {
		c.release(i, call)
		return
	}
	c.granted++
	if c.mutation == mutationReleaseRunning {
		c.release(i, call)
	}
	for _, other := range c.attempts {
		if other != a && other.key == a.key && other.outcome == Granted && !other.canceled {
			c.violation = fmt.Sprintf("key %x is granted to attempts %s and %s", a.key, other.id, a.id)
		}
	}
}

func (c *simCluster) deliver(p packet) {
	node := c.nodes[p.to]
	now := c.clock(node)
	switch body := p.body.(type) {
	case Request:
		c.send(p.to, p.from, c.handle(node, body, now))
	case Response:
		c.respond(p, node, body, now)
	case ReleaseRequest:
		node.replica.Release(body, now)
	case PageRequest:
		c.send(p.to, p.from, node.replica.Page(body, now))
	case Page:
		node.replica.ReceivePage(body, now)
	}
}

func (c *simCluster) handle(node *simNode, req Request, now time.Time) Response {
	original := req
	if adopted, ok := node.replica.Roster(); ok && c.mutation == mutationIgnoreEpoch {
		req.Epoch = adopted.Epoch
	}
	if c.mutation == mutationIgnoreIdentity {
		if req.To != c.self(node) && node.replica.roster != nil {
			answer := node.replica.grant(req.Key, req.Attempt, now)
			return Response{From: original.To, Epoch: original.Epoch, Key: req.Key, Attempt: req.Attempt, Answer: answer}
		}
	}
	response := node.replica.Handle(req, now)
	if c.mutation == mutationEvictWhenFull && response.Answer == AnswerFull {
		node.replica.claims = newTable(c.profile.capacity)
		response = node.replica.Handle(req, now)
	}
	response.Epoch = original.Epoch
	return response
}

func (c *simCluster) respond(p packet, node *simNode, response Response, now time.Time) {
	for _, call := range node.calls {
		if call.attempt.id != response.Attempt {
			continue
		}
		if c.mutation == mutationCountLateGrants {
			call.coordinator.received = now
		}
		switch {
		case response.Answer == AnswerStale && response.Roster != nil && call.coordinator.Restart(*response.Roster):
			c.adopt(node, *response.Roster)
			c.sendRequests(p.to, call)
		case response.Answer == AnswerBehind && response.Epoch == call.coordinator.Epoch() && call.attempt.outcome == Pending:
			request := call.coordinator.Request(response.From)
			request.Roster = &call.coordinator.roster
			c.send(p.to, p.from, request)
		default:
			c.recordOutcome(p.to, call, call.coordinator.Receive(response, now))
		}
	}
}
