package membership

// Step advances the protocol to the given time. It should be called several
// times in a period, by the goroutine that calls HandlePacket.
func (m *Membership) Step(now Instant) {
	m.noticePause(now)
	m.mutex.Lock()
	defer m.release()
	m.now = now
	if m.self.State.Gone() {
		return
	}
	m.guard.lastStep.Store(&now)
	m.checkProbes()
	m.endSuspicions()
	if now.Monotonic >= m.nextPeriod {
		m.startPeriod()
	}
	m.updateAlone()
}

// startPeriod sends what is due once in a period.
func (m *Membership) startPeriod() {
	m.periods++
	m.nextPeriod += m.config.Period
	if m.nextPeriod <= m.now.Monotonic {
		m.nextPeriod = m.now.Monotonic + m.config.Period
	}
	m.dropExpiredRelays()
	m.dropOldTombstones()
	m.probeNext()
	m.recheck()
	if m.periods%deadProbePeriods == 0 {
		m.probeDead()
	}
	m.contact()
	m.spread()
}

func (m *Membership) dropOldTombstones() {
	if m.table.dropTombstonesBefore(m.now.Monotonic - m.config.TombstoneLifetime) {
		m.changed()
	}
}

// release ends a critical section and wakes the goroutine that delivers events.
func (m *Membership) release() {
	m.mutex.Unlock()
	if m.events.empty() {
		return
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Leave announces that the node stops taking part: others give it no new work
// and its death is no alarm. It still answers, until Close.
func (m *Membership) Leave() {
	m.mutex.Lock()
	defer m.release()
	if m.self.State != Alive {
		return
	}
	m.self.State = Leaving
	m.raiseIncarnation(m.self.Incarnation + 1)
	m.announce()
}

// Close ends the protocol. After Leave the others are told that the node has
// left; without, they find out as of a crash. The transport stays open.
func (m *Membership) Close() {
	m.closeOnce.Do(func() {
		m.sayLeft()
		close(m.closing)
	})
}

func (m *Membership) sayLeft() {
	m.mutex.Lock()
	defer m.release()
	announced := m.self.State == Leaving
	m.self.State = Left
	m.self.Incarnation++
	m.guard.lastStep.Store(nil)
	m.changed()
	if announced {
		m.announce()
	}
}
