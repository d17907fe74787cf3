package membership

import (
	"math"
	"sync/atomic"
	"time"
)

// noAck is the value of lastAckedSend when no ping has been acknowledged since the last reset.
const noAck = math.MinInt64

// isolationDetector records the last step and the latest acknowledgement, from which
// ListReliable decides whether the node is paused or isolated. All fields but validSince are
// read by any goroutine without the mutex of Membership, so that a goroutine that runs first
// after a pause detects the pause as well.
type isolationDetector struct {
	lastStep atomic.Pointer[Instant]
	// lastAckedSend is the monotonic time in nanoseconds at which the latest acknowledged ping
	// or ping request was sent.
	lastAckedSend atomic.Int64
	// soleMember is whether the node has no other members and its attempt to join has ended.
	soleMember atomic.Bool
	// validSince is the earliest send time of pings whose acknowledgements count. It is
	// protected by the mutex of Membership.
	validSince time.Duration
}

// reset discards the latest acknowledgement.
func (d *isolationDetector) reset() { d.lastAckedSend.Store(noAck) }

// recordAck records the acknowledgement of a ping or ping request sent at the given time.
func (d *isolationDetector) recordAck(sentAt time.Duration) {
	if sentAt >= d.validSince && int64(sentAt) > d.lastAckedSend.Load() {
		d.lastAckedSend.Store(int64(sentAt))
	}
}

// pausedFor returns the time since the last step and whether it exceeds the limit.
func (d *isolationDetector) pausedFor(now Instant, limit time.Duration) (time.Duration, bool) {
	last := d.lastStep.Load()
	if last == nil {
		return 0, false
	}
	pause := now.since(*last)
	return pause, pause > limit
}

// ListReliable reports whether the node may act on its list, for example as the home of a
// target. It returns false
//
//   - before the first step,
//   - if the last step is older than the pause limit,
//   - after a pause, until a member that does not list this node as dead or left has
//     acknowledged a ping sent after the pause,
//   - if there are other members and no such acknowledgement is recent.
//
// On a node without other members it returns true after the first step or, if the node has
// seeds or hints, after they had time to answer. The call is cheap and must be repeated for each
// decision, as the result can change at any time.
func (m *Membership) ListReliable() bool {
	now := m.config.Clock()
	if m.isolation.lastStep.Load() == nil {
		return false
	}
	if _, paused := m.isolation.pausedFor(now, m.config.PauseLimit); paused {
		return false
	}
	if m.isolation.soleMember.Load() {
		return true
	}
	lastAckedSend := m.isolation.lastAckedSend.Load()
	return lastAckedSend != noAck && now.Monotonic-time.Duration(lastAckedSend) <= m.config.IsolationLimit
}

// updateSoleMember updates soleMember.
func (m *Membership) updateSoleMember() {
	joinTimedOut := m.now.Monotonic-m.startedAt >= joinTimeoutPeriods*m.config.Period
	m.isolation.soleMember.Store(m.table.present.size() == 0 && (joinTimedOut || m.contacts.empty()))
}

// detectPause handles a pause of the process since the last step. Step and HandlePacket call it
// before they do anything else.
func (m *Membership) detectPause(now Instant) {
	pause, paused := m.isolation.pausedFor(now, m.config.PauseLimit)
	if !paused {
		return
	}
	m.recoverFromPause(now, pause)
	if m.config.OnPause != nil {
		m.config.OnPause(pause)
	}
}

// recoverFromPause discards the recorded acknowledgement and the pending probes, restarts the
// suspicion timeouts, and raises the incarnation to override suspicions raised during the pause.
// It discards the acknowledgement before it sets lastStep: a reader that sees the new step must
// not see an acknowledgement from before the pause.
func (m *Membership) recoverFromPause(now Instant, pause time.Duration) {
	m.mutex.Lock()
	defer m.unlockAndWake()
	m.now = now
	m.isolation.reset()
	m.isolation.validSince = now.Monotonic
	m.isolation.lastStep.Store(&now)
	m.stats.Pauses++
	m.prober.probes = nil
	m.nextPeriod = now.Monotonic
	for _, suspect := range m.table.suspects {
		suspect.suspicionDeadline = now.Monotonic + m.suspicionTime()
	}
	m.raiseIncarnation(m.self.Incarnation + 1)
	m.logger.WithField("pause", pause.String()).Warn("the process was paused; restarting probes and suspicion timeouts")
}
