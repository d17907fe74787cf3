package membership

// Step advances the protocol to the given time. It should be called several times per period
// and must be called from the goroutine that calls HandlePacket.
func (m *Membership) Step(now Instant) {
	m.detectPause(now)
	m.mutex.Lock()
	defer m.unlockAndWake()
	m.now = now
	if m.self.State.DeadOrLeft() {
		return
	}
	m.isolation.lastStep.Store(&now)
	m.checkProbes()
	m.expireSuspicions()
	if now.Monotonic >= m.nextPeriod {
		m.startPeriod()
	}
	m.updateSoleMember()
}

// startPeriod performs the tasks that are due once per period.
func (m *Membership) startPeriod() {
	m.periodCount++
	m.nextPeriod += m.config.Period
	if m.nextPeriod <= m.now.Monotonic {
		m.nextPeriod = m.now.Monotonic + m.config.Period
	}
	m.dropExpiredRelays()
	m.dropOldTombstones()
	m.probeNext()
	m.recheck()
	if m.periodCount%deadProbePeriods == 0 {
		m.probeDead()
	}
	m.pingContact()
	m.gossip()
}

func (m *Membership) dropOldTombstones() {
	if m.table.dropTombstonesBefore(m.now.Monotonic - m.config.TombstoneLifetime) {
		m.invalidateView()
	}
}

// unlockAndWake unlocks the mutex and wakes the delivery goroutine if the event queue is not
// empty.
func (m *Membership) unlockAndWake() {
	m.mutex.Unlock()
	if m.deliveries.empty() {
		return
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Leave announces that the node will stop. Other nodes then do not assign new work to it and do
// not report its stop as a failure. The node answers probes until Close.
func (m *Membership) Leave() {
	m.mutex.Lock()
	defer m.unlockAndWake()
	if m.self.State != Alive {
		return
	}
	m.self.State = Leaving
	m.raiseIncarnation(m.self.Incarnation + 1)
	m.announceSelf()
}

// Close stops the protocol. After Leave it announces that the node has left; otherwise the other
// members detect the stop as a failure. The transport stays open.
func (m *Membership) Close() {
	m.closeOnce.Do(func() {
		m.markLeft()
		close(m.closing)
	})
}

func (m *Membership) markLeft() {
	m.mutex.Lock()
	defer m.unlockAndWake()
	leaving := m.self.State == Leaving
	m.self.State = Left
	m.self.Incarnation++
	m.isolation.lastStep.Store(nil)
	m.invalidateView()
	if leaving {
		m.announceSelf()
	}
}
