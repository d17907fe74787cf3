package membership

import (
	"slices"
	"time"
)

// Fractions and counts of the probing schedule.
const (
	// indirectAfter is the share of a period after which others are asked.
	indirectNumerator, indirectDenominator = 2, 5
	// rechecksPerPeriod bounds the probes of members in doubt.
	rechecksPerPeriod = 2
	// deadProbePeriods is the time between two probes of dead members.
	deadProbePeriods = 4
	// maxRelays bounds the probes that are made for others at once.
	maxRelays = 1024
)

// probe is a ping that has not been acknowledged yet.
type probe struct {
	sequence uint64
	// target is empty for the ping of a bare address.
	target string
	// expected is whether a missing answer makes the target a suspect.
	expected   bool
	sentAt     time.Duration
	indirectAt time.Duration
	indirect   bool
}

// prober holds the probes under way and the order of the next ones.
type prober struct {
	probes []*probe
	// order is the rest of the current round over all members.
	order []string
	// rechecks are members in doubt, probed ahead of the round.
	rechecks []string
	queued   map[string]struct{}
}

// relay is a probe that is made for another member.
type relay struct {
	requester string
	name      string
	sequence  uint64
	target    string
	expires   time.Duration
}

// enqueue puts a member among those to be probed soon.
func (p *prober) enqueue(name string) {
	if _, queued := p.queued[name]; queued {
		return
	}
	p.queued[name] = struct{}{}
	p.rechecks = append(p.rechecks, name)
}

// dequeue takes the next member to be probed soon.
func (p *prober) dequeue() (string, bool) {
	if len(p.rechecks) == 0 {
		return "", false
	}
	name := p.rechecks[0]
	p.rechecks = p.rechecks[1:]
	delete(p.queued, name)
	return name, true
}

// take removes and returns the probe that an acknowledgement belongs to.
func (p *prober) take(sequence uint64, name string) *probe {
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

// insertRandomly adds a new member to the current round.
func (m *Membership) insertRandomly(name string) {
	position := m.random.IntN(len(m.prober.order) + 1)
	m.prober.order = slices.Insert(m.prober.order, position, name)
}

// probeNext pings the next member of the round.
func (m *Membership) probeNext() {
	for range 2 {
		for len(m.prober.order) > 0 {
			last := len(m.prober.order) - 1
			name := m.prober.order[last]
			m.prober.order = m.prober.order[:last]
			if known, found := m.table.entries[name]; found && !known.State.Gone() {
				m.ping(known.Member)
				return
			}
		}
		m.startRound()
	}
}

// startRound shuffles all present members into a new round.
func (m *Membership) startRound() {
	for _, member := range m.table.present.entries {
		m.prober.order = append(m.prober.order, member.Name)
	}
	order := m.prober.order
	m.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
}

// recheck pings members in doubt.
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

// probeDead pings a dead member, so that a healed cut is noticed.
func (m *Membership) probeDead() {
	dead := m.table.dead
	if dead.size() > 0 {
		m.ping(dead.entries[m.random.IntN(dead.size())].Member)
	}
}

// ping probes a member. Dead ones are not expected to answer.
func (m *Membership) ping(member Member) {
	m.stats.ProbesSent++
	started := m.startProbe(member.Name, !member.State.Gone())
	m.send(toMember(member), message{Kind: kindPing, Sequence: started.sequence})
}

// pingAddress probes an address whose member is not known.
func (m *Membership) pingAddress(address string) {
	m.stats.ContactsSent++
	started := m.startProbe("", false)
	m.send(destination{address: address}, message{Kind: kindPing, Sequence: started.sequence, Introduce: true})
}

func (m *Membership) startProbe(target string, expected bool) *probe {
	m.sequence++
	started := &probe{sequence: m.sequence, target: target, expected: expected, sentAt: m.now.Monotonic}
	m.prober.probes = append(m.prober.probes, started)
	return started
}

// checkProbes asks others about members that have not answered and gives up on
// probes that are a period old.
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
	for _, lost := range failed {
		m.probeFailed(lost)
	}
}

// probeIndirectly asks some members, of other zones first, to probe the target.
func (m *Membership) probeIndirectly(pending *probe) {
	if pending.indirect || !pending.expected {
		return
	}
	pending.indirect = true
	pending.indirectAt = m.now.Monotonic
	request := message{Kind: kindPingRequest, Sequence: pending.sequence, Target: pending.target}
	if known, found := m.table.entries[pending.target]; found && known.State == Suspect {
		request.Updates = []Member{known.compact()}
	}
	for _, helper := range m.helpers(pending.target) {
		m.stats.IndirectProbes++
		m.send(toMember(helper), request)
	}
}

// helpers draws the members that probe for us.
func (m *Membership) helpers(target string) []Member {
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

// probeFailed suspects the target of a probe that nobody got an answer to.
func (m *Membership) probeFailed(lost *probe) {
	known, found := m.table.entries[lost.target]
	if !lost.expected || !found || known.State.Gone() {
		return
	}
	m.stats.ProbesFailed++
	if known.State == Leaving {
		m.believe(known, Left)
		return
	}
	if known.State == Alive {
		m.believe(known, Suspect)
	}
	m.prober.enqueue(known.Name)
}

// dropExpiredRelays forgets probes made for others that were not answered.
func (m *Membership) dropExpiredRelays() {
	for sequence, made := range m.relays {
		if made.expires <= m.now.Monotonic {
			delete(m.relays, sequence)
		}
	}
}
