package membership

import (
	"slices"
	"time"
)

// finalProbePeriods is how many periods before the end of a suspicion the node probes the
// suspect itself, whichever node raised the suspicion.
const finalProbePeriods = 3

// applyRecord applies a record received in a datagram. The source is the peer address of the
// sender, or empty if the sender is not a member; the full list can be fetched from there.
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
	m.applyNewer(known, record, source)
}

// addMember adds a new member. It ignores tombstones of unknown members, and requests an
// exchange if the record is compact and so lacks the addresses.
func (m *Membership) addMember(record Member, source string) {
	if record.State.Gone() {
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

// insert adds a member that is not gone to the table and to the current probe round.
func (m *Membership) insert(record Member) *entry {
	added := m.table.insert(record)
	if added == nil {
		m.stats.MembersRefused++
		return nil
	}
	m.invalidateView()
	m.insertRandomly(record.Name)
	if record.State == Suspect {
		m.startSuspicion(added)
	}
	return added
}

// applyNewer applies a record that supersedes the known one.
func (m *Membership) applyNewer(known *entry, record Member, source string) {
	restarted := record.BootID != known.BootID
	if restarted && !record.full() && !record.State.Gone() {
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
	if previous == Dead && !known.State.Gone() {
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

// setState sets the state of an entry and updates the suspicion, the tombstone time and the
// probe round accordingly.
func (m *Membership) setState(known *entry, state State) {
	wasGone := known.State.Gone()
	m.table.setState(known, state)
	m.invalidateView()
	if state == Suspect {
		m.startSuspicion(known)
	}
	if state.Gone() {
		known.goneAt = m.now.Monotonic
	}
	if wasGone && !state.Gone() {
		m.insertRandomly(known.Name)
	}
}

func (m *Membership) startSuspicion(known *entry) {
	m.stats.Suspicions++
	known.suspicionEnd = m.now.Monotonic + m.suspicionTime()
	known.finalProbeQueued = false
}

// endSuspicions declares suspects dead that did not refute the suspicion in time. Before that
// the node probes them itself: the refutation of a running member may have reached all other
// nodes and been lost only on the way to this one.
func (m *Membership) endSuspicions() {
	for _, suspect := range m.suspectsDueBy(m.now.Monotonic + finalProbePeriods*m.config.Period) {
		if suspect.suspicionEnd <= m.now.Monotonic {
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

// suspectsDueBy returns the suspects whose suspicion ends at or before the limit, by name.
func (m *Membership) suspectsDueBy(limit time.Duration) []*entry {
	var due []*entry
	for _, suspect := range m.table.suspects {
		if suspect.suspicionEnd <= limit {
			due = append(due, suspect)
		}
	}
	slices.SortFunc(due, compareEntries)
	return due
}

// refute responds to a record about the node itself that differs from its own. It raises the
// incarnation above that of the record, which overrides the record on all nodes.
func (m *Membership) refute(record Member) {
	if record.Incarnation < m.self.Incarnation || m.self.State.Gone() {
		return
	}
	sameRun := record.BootID == m.self.BootID
	if sameRun && record.Incarnation == m.self.Incarnation && record.State <= m.self.State {
		return
	}
	if !sameRun && !record.State.Gone() {
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

// Merge applies the full list of a peer. It adds missing members and applies newer
// incarnations. It neither applies nor forwards a death: if the lists differ on whether a
// member is dead, the node probes that member soon.
func (m *Membership) Merge(members []Member) {
	m.mutex.Lock()
	defer m.unlockAndWake()
	changed := false
	for _, record := range members {
		if record.validate(m.now.Wall) == nil && !m.self.State.Gone() {
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
		return m.mergeNew(record)
	case record.State == Dead:
		m.probeReportedDead(known, record)
	case record.supersedes(known.Member) && record.full():
		m.mergeNewer(known, record)
		return true
	case known.State == Dead && !record.State.Gone():
		m.prober.enqueue(record.Name)
	}
	return false
}

// probeReportedDead queues a probe of a member that a peer lists as dead.
func (m *Membership) probeReportedDead(known *entry, record Member) {
	if !known.State.Gone() && record.Incarnation >= known.Incarnation {
		m.prober.enqueue(known.Name)
	}
}

func (m *Membership) mergeNew(record Member) bool {
	if record.State.Gone() || !record.full() || m.insert(record) == nil {
		return false
	}
	m.emit(EventJoined, record)
	return true
}

func (m *Membership) mergeNewer(known *entry, record Member) {
	previous, restarted := known.State, known.BootID != record.BootID
	state := record.State
	known.Member = record
	known.State = previous
	m.setState(known, state)
	m.emitChange(previous, known.Member, restarted)
}
