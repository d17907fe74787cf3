package membership

import (
	"math"
	"sync/atomic"
	"time"
)

// noAck is the value of lastAckedSend when no ping has been acknowledged since the last reset.
const noAck = math.MinInt64

// isolationGuard holds the evidence that the node is neither paused nor isolated. All fields
// but validSince are read by any goroutine without the mutex, so that a goroutine that runs
// first after a pause detects the pause as well.
type isolationGuard struct {
	lastStep atomic.Pointer[Instant]
	// lastAckedSend is the monotonic time in nanoseconds at which the latest acknowledged ping
	// or ping request was sent.
	lastAckedSend atomic.Int64
	soleMember    atomic.Bool
	// validSince is the earliest send time of pings whose acknowledgements count. It is
	// protected by the mutex of Membership.
	validSince time.Duration
}

// reset discards the latest acknowledgement.
func (g *isolationGuard) reset() { g.lastAckedSend.Store(noAck) }

// recordAck records that a ping sent at the given time was acknowledged.
func (g *isolationGuard) recordAck(sentAt time.Duration) {
	if sentAt >= g.validSince && int64(sentAt) > g.lastAckedSend.Load() {
		g.lastAckedSend.Store(int64(sentAt))
	}
}

// pausedFor returns the time since the last step and whether it exceeds the limit.
func (g *isolationGuard) pausedFor(now Instant, limit time.Duration) (time.Duration, bool) {
	last := g.lastStep.Load()
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
// A node without other members returns true at once or, if it has seeds, after the seeds had
// time to answer. The call is cheap; make it again for each decision.
func (m *Membership) ListReliable() bool {
	now := m.config.Clock()
	if m.guard.lastStep.Load() == nil {
		return false
	}
	if _, paused := m.guard.pausedFor(now, m.config.PauseLimit); paused {
		return false
	}
	if m.guard.soleMember.Load() {
		return true
	}
	lastAckedSend := m.guard.lastAckedSend.Load()
	return lastAckedSend != noAck && now.Monotonic-time.Duration(lastAckedSend) <= m.config.IsolationLimit
}

// updateSoleMember updates whether the node has no other members and has tried to join.
func (m *Membership) updateSoleMember() {
	joinTimedOut := m.now.Monotonic-m.started >= joinPeriods*m.config.Period
	m.guard.soleMember.Store(m.table.present.size() == 0 && (joinTimedOut || m.contacts.empty()))
}

// detectPause handles a pause of the process. It is called before anything else is done.
func (m *Membership) detectPause(now Instant) {
	pause, paused := m.guard.pausedFor(now, m.config.PauseLimit)
	if !paused {
		return
	}
	m.recoverFromPause(now, pause)
	if m.config.OnPause != nil {
		m.config.OnPause(pause)
	}
}

// recoverFromPause discards the acknowledgements and restarts everything that was timed across
// the pause. It discards the acknowledgements first: a reader that sees the new step must not
// see an acknowledgement from before the pause.
func (m *Membership) recoverFromPause(now Instant, pause time.Duration) {
	m.mutex.Lock()
	defer m.unlockAndWake()
	m.now = now
	m.guard.reset()
	m.guard.validSince = now.Monotonic
	m.guard.lastStep.Store(&now)
	m.stats.Pauses++
	m.prober.probes = nil
	m.nextPeriod = now.Monotonic
	for _, suspect := range m.table.suspects {
		suspect.suspicionEnd = now.Monotonic + m.suspicionTime()
	}
	m.raiseIncarnation(m.self.Incarnation + 1)
	m.logger.WithField("pause", pause.String()).Warn("the process was paused; restarting probes and suspicion timeouts")
}
