package membership

import (
	"slices"
	"time"
)

// finalProbePeriods is how many periods before the suspicion deadline the node probes the
// suspect itself, whichever node raised the suspicion.
const finalProbePeriods = 3

// applyRecord applies a record received in a datagram. The source is the peer address from which
// to fetch the full list if the record is incomplete, or empty if there is none.
func (m *Membership) applyRecord(record Member, source string) {
	if record.Name == m.self.Name {
		m.refute(record)
		return
	}
	known, found := m.table.entries[record.Name]
	if !found {
		m.addMember(record, source)
		return
	}
	if !record.supersedes(known.Member) {
		return
	}
	m.applyNewerRecord(known, record, source)
}

// addMember adds a new member. It ignores tombstones of unknown members, and requests an
// exchange if the record is compact.
func (m *Membership) addMember(record Member, source string) {
	if record.State.DeadOrLeft() {
		return
	}
	if !record.full() {
		m.exchange.request(source)
		return
	}
	added := m.insert(record)
	if added == nil {
		return
	}
	m.updates.add(record, true)
	m.emit(EventJoined, record)
}

// insert adds a member that is neither dead nor left to the table and to the current probe
// round. It returns nil if the table is full.
func (m *Membership) insert(record Member) *entry {
	added := m.table.insert(record)
	if added == nil {
		m.stats.MembersRefused++
		return nil
	}
	m.invalidateView()
	m.insertIntoRound(record.Name)
	if record.State == Suspect {
		m.startSuspicion(added)
	}
	return added
}

// applyNewerRecord applies a record that supersedes the known one.
func (m *Membership) applyNewerRecord(known *entry, record Member, source string) {
	restarted := record.BootID != known.BootID
	if restarted && !record.full() && !record.State.DeadOrLeft() {
		m.exchange.request(source)
		return
	}
	previous := known.State
	if record.full() {
		known.Zone, known.Region = record.Zone, record.Region
		known.PeerAddress, known.MeshAddress = record.PeerAddress, record.MeshAddress
	}
	known.Incarnation, known.BootID = record.Incarnation, record.BootID
	m.setState(known, record.State)
	m.updates.add(known.Member, record.full())
	m.emitChange(previous, known.Member, restarted)
	if previous == Dead && !known.State.DeadOrLeft() {
		m.exchange.request(known.PeerAddress)
	}
}

// changeState changes the state of a member as a result of the node's own failure detection.
func (m *Membership) changeState(known *entry, state State) {
	previous := known.State
	m.setState(known, state)
	m.updates.add(known.Member, false)
	m.emitChange(previous, known.Member, false)
}

// setState sets the state of an entry. It starts a suspicion, sets the time of the tombstone, or
// adds the member to the probe round again, as the state requires.
func (m *Membership) setState(known *entry, state State) {
	wasDeadOrLeft := known.State.DeadOrLeft()
	m.table.setState(known, state)
	m.invalidateView()
	if state == Suspect {
		m.startSuspicion(known)
	}
	if state.DeadOrLeft() {
		known.tombstonedAt = m.now.Monotonic
	}
	if wasDeadOrLeft && !state.DeadOrLeft() {
		m.insertIntoRound(known.Name)
	}
}

func (m *Membership) startSuspicion(known *entry) {
	m.stats.Suspicions++
	known.suspicionDeadline = m.now.Monotonic + m.suspicionTime()
	known.finalProbeQueued = false
}

// expireSuspicions declares suspects dead that did not refute the suspicion in time. Before the
// deadline the node probes them itself: the refutation of a running member may have reached all
// other nodes and been lost only on the way to this one.
func (m *Membership) expireSuspicions() {
	for _, suspect := range m.suspectsExpiringBy(m.now.Monotonic + finalProbePeriods*m.config.Period) {
		if suspect.suspicionDeadline <= m.now.Monotonic {
			m.stats.Deaths++
			m.changeState(suspect, Dead)
			continue
		}
		if !suspect.finalProbeQueued {
			suspect.finalProbeQueued = true
			m.prober.enqueue(suspect.Name)
		}
	}
}

// suspectsExpiringBy returns the suspects whose deadline is not after the limit, sorted by name.
func (m *Membership) suspectsExpiringBy(limit time.Duration) []*entry {
	var due []*entry
	for _, suspect := range m.table.suspects {
		if suspect.suspicionDeadline <= limit {
			due = append(due, suspect)
		}
	}
	slices.SortFunc(due, compareByName)
	return due
}

// refute handles a received record of the node itself. If the record differs from the node's own
// and is not older, it raises the incarnation above that of the record, so that the node's own
// record overrides it on all nodes.
func (m *Membership) refute(record Member) {
	if record.Incarnation < m.self.Incarnation || m.self.State.DeadOrLeft() {
		return
	}
	sameRun := record.BootID == m.self.BootID
	if sameRun && record.Incarnation == m.self.Incarnation && record.State <= m.self.State {
		return
	}
	if !sameRun && !record.State.DeadOrLeft() {
		m.logger.WithField("peer", record.PeerAddress).Warn("another run of this member is newer than our clock")
	}
	m.stats.Refutations++
	m.raiseIncarnation(record.Incarnation + 1)
}

// raiseIncarnation sets a higher incarnation in the node's own record and queues the record as
// an update.
func (m *Membership) raiseIncarnation(incarnation uint64) {
	m.self.Incarnation = incarnation
	m.updates.add(m.self, false)
	m.invalidateView()
}

// Merge applies the full list of a peer, without sending the changes on as updates. It adds
// missing members and applies records that override known ones, but treats suspects as alive and
// does not apply deaths: if the lists differ on whether a member is dead, the node queues a
// probe of that member.
func (m *Membership) Merge(members []Member) {
	m.mutex.Lock()
	defer m.unlockAndWake()
	changed := false
	for _, record := range members {
		if record.validate(m.now.Wall) == nil && !m.self.State.DeadOrLeft() {
			changed = m.mergeRecord(record) || changed
		}
	}
	if changed {
		m.exchange.recordChange(m.now.Monotonic, m.config.Period)
	}
}

// mergeRecord applies one record of a peer's list and reports whether that changed the node's
// own list.
func (m *Membership) mergeRecord(record Member) bool {
	if record.Name == m.self.Name {
		m.refute(record)
		return false
	}
	if record.State == Suspect {
		record.State = Alive
	}
	known, found := m.table.entries[record.Name]
	switch {
	case !found:
		return m.mergeNewMember(record)
	case record.State == Dead:
		m.probeReportedDead(known, record)
	case record.supersedes(known.Member) && record.full():
		m.mergeNewerRecord(known, record)
		return true
	case known.State == Dead && !record.State.DeadOrLeft():
		m.prober.enqueue(record.Name)
	}
	return false
}

// probeReportedDead queues a probe of a member that a peer lists as dead.
func (m *Membership) probeReportedDead(known *entry, record Member) {
	if !known.State.DeadOrLeft() && record.Incarnation >= known.Incarnation {
		m.prober.enqueue(known.Name)
	}
}

func (m *Membership) mergeNewMember(record Member) bool {
	if record.State.DeadOrLeft() || !record.full() || m.insert(record) == nil {
		return false
	}
	m.emit(EventJoined, record)
	return true
}

func (m *Membership) mergeNewerRecord(known *entry, record Member) {
	previous, restarted := known.State, known.BootID != record.BootID
	state := record.State
	known.Member = record
	known.State = previous
	m.setState(known, state)
	m.emitChange(previous, known.Member, restarted)
}
