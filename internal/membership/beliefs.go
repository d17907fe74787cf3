package membership

import (
	"slices"
	"time"
)

// lastCheckPeriods is how long before the end of a suspicion the node probes
// the suspect itself, whoever raised the suspicion.
const lastCheckPeriods = 3

// learn takes in a record that a datagram carried. The source is the peer
// address of the sender, if that is a member, from which more can be fetched.
func (m *Membership) learn(record Member, source string) {
	if record.Name == m.self.Name {
		m.refute(record)
		return
	}
	known, found := m.table.entries[record.Name]
	if !found {
		m.learnNew(record, source)
		return
	}
	if !record.supersedes(known.Member) {
		return
	}
	m.replace(known, record, source)
}

// learnNew adds a member that was not known. Tombstones of strangers are not
// kept, and a compact record does not say enough.
func (m *Membership) learnNew(record Member, source string) {
	if record.State.Gone() {
		return
	}
	if !record.full() {
		m.exchange.want(source)
		return
	}
	added := m.insert(record)
	if added == nil {
		return
	}
	m.updates.add(record, true)
	m.note(EventJoined, record)
}

// insert adds a present member to the table and to the round of probes.
func (m *Membership) insert(record Member) *entry {
	added := m.table.insert(record)
	if added == nil {
		m.stats.MembersRefused++
		return nil
	}
	m.changed()
	m.insertRandomly(record.Name)
	if record.State == Suspect {
		m.startSuspicion(added)
	}
	return added
}

// replace takes over a record that supersedes what was believed.
func (m *Membership) replace(known *entry, record Member, source string) {
	restarted := record.BootID != known.BootID
	if restarted && !record.full() && !record.State.Gone() {
		m.exchange.want(source)
		return
	}
	previous := known.State
	if record.full() {
		known.Zone, known.Region = record.Zone, record.Region
		known.PeerAddress, known.MeshAddress = record.PeerAddress, record.MeshAddress
	}
	known.Incarnation, known.BootID = record.Incarnation, record.BootID
	m.enter(known, record.State)
	m.updates.add(known.Member, record.full())
	m.noteChange(previous, known.Member, restarted)
	if previous == Dead && !known.State.Gone() {
		m.exchange.want(known.PeerAddress)
	}
}

// believe changes a state that the node found out itself.
func (m *Membership) believe(known *entry, state State) {
	previous := known.State
	m.enter(known, state)
	m.updates.add(known.Member, false)
	m.noteChange(previous, known.Member, false)
}

// enter sets the state and what goes with it.
func (m *Membership) enter(known *entry, state State) {
	wasGone := known.State.Gone()
	m.table.setState(known, state)
	m.changed()
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
	known.lastChecked = false
}

// endSuspicions declares the suspects dead that have not refuted in time. Before
// that the node probes them itself: the refutation of a member that lives may
// have reached everyone else and been lost on the way here.
func (m *Membership) endSuspicions() {
	for _, suspect := range m.suspectsUntil(m.now.Monotonic + lastCheckPeriods*m.config.Period) {
		if suspect.suspicionEnd <= m.now.Monotonic {
			m.stats.Deaths++
			m.believe(suspect, Dead)
			continue
		}
		if !suspect.lastChecked {
			suspect.lastChecked = true
			m.prober.enqueue(suspect.Name)
		}
	}
}

// suspectsUntil returns the suspects whose time ends up to the limit, by name.
func (m *Membership) suspectsUntil(limit time.Duration) []*entry {
	var due []*entry
	for _, suspect := range m.table.suspects {
		if suspect.suspicionEnd <= limit {
			due = append(due, suspect)
		}
	}
	slices.SortFunc(due, compareEntries)
	return due
}

// refute answers a record about the node itself that is not what it says:
// an incarnation above the record's overrides it everywhere.
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

// raiseIncarnation renews our record and passes it on.
func (m *Membership) raiseIncarnation(incarnation uint64) {
	m.self.Incarnation = incarnation
	m.updates.add(m.self, false)
	m.changed()
}

// Merge takes in a peer's whole list. It adds members that are missing and
// takes over newer incarnations, but it neither believes nor passes on a death:
// where the lists differ about that, the member itself is probed soon.
func (m *Membership) Merge(members []Member) {
	m.mutex.Lock()
	defer m.release()
	learned := false
	for _, record := range members {
		if record.check(m.now.Wall) == nil && !m.self.State.Gone() {
			learned = m.mergeRecord(record) || learned
		}
	}
	if learned {
		m.exchange.learned(m.now.Monotonic, m.config.Period)
	}
}

// mergeRecord takes in one record of a peer's list. It reports whether that changed ours.
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
		m.doubt(known, record)
	case record.supersedes(known.Member) && record.full():
		m.mergeNewer(known, record)
		return true
	case known.State == Dead && !record.State.Gone():
		m.prober.enqueue(record.Name)
	}
	return false
}

// doubt has a member probed soon that a peer holds dead.
func (m *Membership) doubt(known *entry, record Member) {
	if !known.State.Gone() && record.Incarnation >= known.Incarnation {
		m.prober.enqueue(known.Name)
	}
}

func (m *Membership) mergeNew(record Member) bool {
	if record.State.Gone() || !record.full() || m.insert(record) == nil {
		return false
	}
	m.note(EventJoined, record)
	return true
}

func (m *Membership) mergeNewer(known *entry, record Member) {
	previous, restarted := known.State, known.BootID != record.BootID
	state := record.State
	known.Member = record
	known.State = previous
	m.enter(known, state)
	m.noteChange(previous, known.Member, restarted)
}
