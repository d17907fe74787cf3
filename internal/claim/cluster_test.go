package claim

import (
	"fmt"
	"time"
)

// breach selects the rule of the algorithm that a simulated cluster violates.
type breach int

const (
	breachNone breach = iota
	breachFreshVotes
	breachEpochIgnored
	breachNoCopy
	breachNoWait
	breachFalseLostReport
	breachReleaseRunning
	breachLateGrants
	breachUnverifiedIdentity
	breachEvictsWhenFull
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
	id        AttemptID
	key       KeyHash
	outcome   Outcome
	cancelled bool
}

type simKey struct {
	hash  KeyHash
	first time.Time
}

type simCall struct {
	coordinator *Coordinator
	attempt     *simAttempt
}

type machine struct {
	name        string
	boot        BootID
	rate        float64 // clock rate
	paused      bool
	partitioned bool // reaches only other partitioned machines and not the store
	replica     *Replica
	calls       []*simCall
	proposal    *Roster
}

// cluster is a simulated cluster with simulated time and network. choose returns
// a number below its argument and makes every nondeterministic decision.
type cluster struct {
	choose     func(n int) int
	brokenRule breach
	profile    faultProfile
	start      time.Time
	now        time.Time
	machines   []*machine
	roster     *Roster // in the store
	storeUp    bool
	network    []packet
	keys       []simKey
	attempts   []*simAttempt
	serial     uint64
	violation  string
	granted    int
	// activations counts replicas that joined.
	activations int
}

func newCluster(machines, seats int, rule breach, profile faultProfile, choose func(int) int) *cluster {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := &cluster{choose: choose, brokenRule: rule, profile: profile, start: start, now: start, storeUp: true}
	for i := range machines {
		m := &machine{name: fmt.Sprintf("n%d", i), rate: 1 + 0.01*float64(i%3-1)}
		c.machines = append(c.machines, m)
		c.boot(m)
	}
	genesis, err := NewGenesis(simRetention, PlanGenesis(c.view(c.machines[0]), seats))
	if err != nil {
		panic(err)
	}
	c.roster = &genesis
	for _, m := range c.machines {
		m.replica.Adopt(genesis, c.clock(m))
	}
	return c
}

func (c *cluster) uniqueID() (id [16]byte) {
	c.serial++
	copy(id[:], fmt.Sprintf("%016d", c.serial))
	return id
}

func (c *cluster) clock(m *machine) time.Time {
	return c.start.Add(time.Duration(float64(c.now.Sub(c.start)) * m.rate))
}

func (c *cluster) self(m *machine) Identity { return Identity{Name: m.name, Boot: m.boot} }

func (c *cluster) boot(m *machine) {
	var roster *Roster
	if c.brokenRule == breachFreshVotes && m.replica != nil {
		roster = m.replica.roster
	} else {
		m.boot = c.uniqueID()
	}
	m.replica = NewReplica(c.self(m), c.profile.capacity)
	m.calls, m.proposal, m.paused = nil, nil, false
	if roster != nil {
		m.replica.Adopt(*roster, c.clock(m))
		m.replica.copied = true
	}
}

func (c *cluster) view(m *machine) View {
	v := View{Self: c.self(m)}
	if m.replica != nil {
		v.ReadyEpoch, _ = m.replica.Ready()
	}
	for i, other := range c.machines {
		v.Nodes = append(v.Nodes, Node{Name: other.name, BootID: other.boot, Zone: fmt.Sprintf("z%d", i%3), PeerAddress: other.name, Alive: true})
	}
	return v
}

func (c *cluster) indexOf(address string) int {
	for i, m := range c.machines {
		if m.name == address {
			return i
		}
	}
	panic("unknown address " + address)
}

func (c *cluster) send(from, to int, body any) {
	c.network = append(c.network, packet{to: to, from: from, body: body})
}

// call sends a call with the key to a machine. The caller must respect the key's
// lifetime.
func (c *cluster) call(i int, key simKey) *simAttempt {
	m := c.machines[i]
	roster, ok := m.replica.Roster()
	if !ok {
		return nil
	}
	attempt := &simAttempt{id: c.uniqueID(), key: key.hash}
	call := &simCall{coordinator: NewCoordinator(roster, key.hash, attempt.id, c.clock(m)), attempt: attempt}
	m.calls = append(m.calls, call)
	c.attempts = append(c.attempts, attempt)
	c.sendRequests(i, call)
	return attempt
}

func (c *cluster) sendRequests(i int, call *simCall) {
	for _, voter := range call.coordinator.Voters() {
		c.send(i, c.indexOf(voter.Address), call.coordinator.Request(voter.Identity))
	}
}

func (c *cluster) release(i int, call *simCall) {
	for _, voter := range call.coordinator.Voters() {
		c.send(i, c.indexOf(voter.Address), ReleaseRequest{To: voter.Identity, Key: call.attempt.key, Attempt: call.attempt.id})
	}
}

// recordOutcome records a call's outcome, checks the invariants and releases the
// claim of an attempt that will never run.
func (c *cluster) recordOutcome(i int, call *simCall, outcome Outcome) {
	a := call.attempt
	if outcome == Pending || a.cancelled {
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
	if c.brokenRule == breachReleaseRunning {
		c.release(i, call)
	}
	for _, other := range c.attempts {
		if other != a && other.key == a.key && other.outcome == Granted && !other.cancelled {
			c.violation = fmt.Sprintf("key %x is granted to attempts %s and %s", a.key, other.id, a.id)
		}
	}
}

func (c *cluster) deliver(p packet) {
	m := c.machines[p.to]
	now := c.clock(m)
	switch body := p.body.(type) {
	case Request:
		c.send(p.to, p.from, c.handle(m, body, now))
	case Response:
		c.respond(p, m, body, now)
	case ReleaseRequest:
		m.replica.Release(body, now)
	case PageRequest:
		c.send(p.to, p.from, m.replica.Page(body, now))
	case Page:
		m.replica.ReceivePage(body, now)
	}
}

func (c *cluster) handle(m *machine, req Request, now time.Time) Response {
	original := req
	if adopted, ok := m.replica.Roster(); ok && c.brokenRule == breachEpochIgnored {
		req.Epoch = adopted.Epoch
	}
	if c.brokenRule == breachUnverifiedIdentity {
		if req.To != c.self(m) && m.replica.roster != nil {
			answer := m.replica.grant(req.Key, req.Attempt, now)
			return Response{From: original.To, Epoch: original.Epoch, Key: req.Key, Attempt: req.Attempt, Answer: answer}
		}
	}
	response := m.replica.Handle(req, now)
	if c.brokenRule == breachEvictsWhenFull && response.Answer == AnswerFull {
		m.replica.claims = newTable(c.profile.capacity)
		response = m.replica.Handle(req, now)
	}
	response.Epoch = original.Epoch
	return response
}

func (c *cluster) respond(p packet, m *machine, response Response, now time.Time) {
	for _, call := range m.calls {
		if call.attempt.id != response.Attempt {
			continue
		}
		if c.brokenRule == breachLateGrants {
			call.coordinator.received = now
		}
		switch {
		case response.Answer == AnswerStale && response.Roster != nil && call.coordinator.Restart(*response.Roster):
			c.adopt(m, *response.Roster)
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
