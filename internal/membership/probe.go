package membership

import (
	"slices"
	"time"
)

const (
	// indirectNumerator / indirectDenominator is the fraction of a period after which an
	// unanswered probe is followed by indirect probes.
	indirectNumerator, indirectDenominator = 2, 5
	// rechecksPerPeriod limits the queued rechecks that are sent in each period.
	rechecksPerPeriod = 2
	// deadProbePeriods is the number of periods between two probes of dead members.
	deadProbePeriods = 4
	// maxRelays is the maximum number of concurrent probes on behalf of other members.
	maxRelays = 1024
)

// probe is a ping that has not been acknowledged yet.
type probe struct {
	sequence uint64
	// target is empty if only the address is known, not the member.
	target string
	// suspectOnTimeout is whether the target is suspected if no answer arrives in time.
	suspectOnTimeout bool
	sentAt           time.Duration
	indirectSentAt   time.Duration
	indirectSent     bool
}

// prober holds the pending probes and the names of the members to probe next.
type prober struct {
	probes []*probe
	// round holds the remaining members of the current round, which probes each member once.
	round []string
	// rechecks is the queue of members whose state is uncertain; they are probed in addition to
	// those of the round.
	rechecks      []string
	recheckQueued map[string]struct{}
}

// relay is a probe on behalf of another member.
type relay struct {
	requesterAddress  string
	requesterName     string
	requesterSequence uint64
	target            string
	expiresAt         time.Duration
}

// enqueue queues a member for a recheck unless it is already queued.
func (p *prober) enqueue(name string) {
	if _, queued := p.recheckQueued[name]; queued {
		return
	}
	p.recheckQueued[name] = struct{}{}
	p.rechecks = append(p.rechecks, name)
}

// dequeue removes and returns the next member to recheck.
func (p *prober) dequeue() (string, bool) {
	if len(p.rechecks) == 0 {
		return "", false
	}
	name := p.rechecks[0]
	p.rechecks = p.rechecks[1:]
	delete(p.recheckQueued, name)
	return name, true
}

// complete removes and returns the pending probe that an acknowledgement with the sequence
// number from the named member answers. It returns nil if there is none.
func (p *prober) complete(sequence uint64, name string) *probe {
	index := slices.IndexFunc(p.probes, func(pending *probe) bool {
		return pending.sequence == sequence && (pending.target == "" || pending.target == name)
	})
	if index < 0 {
		return nil
	}
	found := p.probes[index]
	p.probes = slices.Delete(p.probes, index, index+1)
	return found
}

// insertIntoRound inserts a member at a random position of the current probe round.
func (m *Membership) insertIntoRound(name string) {
	position := m.random.IntN(len(m.prober.round) + 1)
	m.prober.round = slices.Insert(m.prober.round, position, name)
}

// probeNext pings the next member of the round.
func (m *Membership) probeNext() {
	for range 2 {
		for len(m.prober.round) > 0 {
			last := len(m.prober.round) - 1
			name := m.prober.round[last]
			m.prober.round = m.prober.round[:last]
			if known, found := m.table.entries[name]; found && !known.State.DeadOrLeft() {
				m.ping(known.Member)
				return
			}
		}
		m.startRound()
	}
}

// startRound starts a new round with all members that are neither dead nor left, in random
// order.
func (m *Membership) startRound() {
	for _, member := range m.table.present.entries {
		m.prober.round = append(m.prober.round, member.Name)
	}
	order := m.prober.round
	m.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
}

// recheck pings members from the recheck queue.
func (m *Membership) recheck() {
	for range rechecksPerPeriod {
		name, found := m.prober.dequeue()
		if !found {
			return
		}
		if known, listed := m.table.entries[name]; listed && known.State != Left {
			m.ping(known.Member)
		}
	}
}

// probeDead pings a random dead member, so that the end of a network partition is detected.
func (m *Membership) probeDead() {
	dead := m.table.dead
	if dead.size() > 0 {
		m.ping(dead.entries[m.random.IntN(dead.size())].Member)
	}
}

// ping probes a member. A missing answer from a dead or left member has no effect.
func (m *Membership) ping(member Member) {
	m.stats.ProbesSent++
	started := m.startProbe(member.Name, !member.State.DeadOrLeft())
	m.send(toMember(member), message{Kind: kindPing, Sequence: started.sequence})
}

// pingAddress probes an address whose member is unknown.
func (m *Membership) pingAddress(address string) {
	m.stats.ContactsSent++
	started := m.startProbe("", false)
	m.send(destination{address: address}, message{Kind: kindPing, Sequence: started.sequence, RequestRecord: true})
}

func (m *Membership) startProbe(target string, suspectOnTimeout bool) *probe {
	m.lastSequence++
	started := &probe{sequence: m.lastSequence, target: target, suspectOnTimeout: suspectOnTimeout, sentAt: m.now.Monotonic}
	m.prober.probes = append(m.prober.probes, started)
	return started
}

// checkProbes requests indirect probes of members that have not answered, and fails the probes
// that are a period old.
func (m *Membership) checkProbes() {
	var pending, failed []*probe
	for _, candidate := range m.prober.probes {
		age := m.now.Monotonic - candidate.sentAt
		if age >= m.config.Period {
			failed = append(failed, candidate)
			continue
		}
		pending = append(pending, candidate)
		if age*indirectDenominator >= m.config.Period*indirectNumerator {
			m.probeIndirectly(candidate)
		}
	}
	m.prober.probes = pending
	for _, timedOut := range failed {
		m.probeFailed(timedOut)
	}
}

// probeIndirectly asks other members to probe the target of an unanswered probe.
func (m *Membership) probeIndirectly(pending *probe) {
	if pending.indirectSent || !pending.suspectOnTimeout {
		return
	}
	pending.indirectSent = true
	pending.indirectSentAt = m.now.Monotonic
	request := message{Kind: kindPingRequest, Sequence: pending.sequence, Target: pending.target}
	if known, found := m.table.entries[pending.target]; found && known.State == Suspect {
		request.Updates = []Member{known.compact()}
	}
	for _, member := range m.selectRelays(pending.target) {
		m.stats.IndirectProbes++
		m.send(toMember(member), request)
	}
}

// selectRelays selects the members that are asked for an indirect probe. It prefers alive
// members of other zones.
func (m *Membership) selectRelays(target string) []Member {
	count := m.config.IndirectProbes
	present := m.table.present
	drawn := sample(m.random, present, count, func(candidate Member) bool {
		return candidate.Name != target && candidate.State == Alive && m.inOtherZone(candidate)
	})
	more := sample(m.random, present, count-len(drawn), func(candidate Member) bool {
		return candidate.Name != target && !containsName(drawn, candidate.Name)
	})
	return append(drawn, more...)
}

// probeFailed marks the target of an unanswered probe as suspected, or as left if it was
// leaving.
func (m *Membership) probeFailed(failed *probe) {
	known, found := m.table.entries[failed.target]
	if !failed.suspectOnTimeout || !found || known.State.DeadOrLeft() {
		return
	}
	m.stats.ProbesFailed++
	if known.State == Leaving {
		m.changeState(known, Left)
		return
	}
	if known.State == Alive {
		m.changeState(known, Suspect)
	}
	m.prober.enqueue(known.Name)
}

// dropExpiredRelays removes the probes on behalf of other members that have timed out.
func (m *Membership) dropExpiredRelays() {
	for sequence, relayed := range m.relays {
		if relayed.expiresAt <= m.now.Monotonic {
			delete(m.relays, sequence)
		}
	}
}
