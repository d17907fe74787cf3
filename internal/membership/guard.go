package membership

import (
	"math"
	"sync/atomic"
	"time"
)

// never is the time of a proof that was not given.
const never = math.MinInt64

// guard decides whether the node may trust its list. It is read by any
// goroutine without the mutex, so that a goroutine that runs first after a
// pause sees the pause too.
type guard struct {
	lastStep atomic.Pointer[Instant]
	// proof is when the latest acknowledged ping was sent, monotonic ns.
	proof atomic.Int64
	alone atomic.Bool
	// floor is the time before which sent pings prove nothing. It is guarded
	// by the mutex of Membership.
	floor time.Duration
}

// reset forgets all proofs.
func (g *guard) reset() { g.proof.Store(never) }

// prove records that a ping sent at the given time was acknowledged.
func (g *guard) prove(sentAt time.Duration) {
	if sentAt >= g.floor && int64(sentAt) > g.proof.Load() {
		g.proof.Store(int64(sentAt))
	}
}

// pausedFor returns the time since the last step if it is beyond the limit.
func (g *guard) pausedFor(now Instant, limit time.Duration) (time.Duration, bool) {
	last := g.lastStep.Load()
	if last == nil {
		return 0, false
	}
	pause := now.since(*last)
	return pause, pause > limit
}

// Confident reports whether the node may act on its list, for example as the
// home of a target. It is false before the first step; when the last step is
// older than the pause limit; after a pause until a member that holds us live
// has acknowledged a ping sent since; and when no such acknowledgement is
// recent although there are other members. A node that knows of no other
// member is confident at once, or, if it has seeds, once they had the time of a
// join to answer. It is cheap and must be asked anew for each decision.
func (m *Membership) Confident() bool {
	now := m.config.Clock()
	if m.guard.lastStep.Load() == nil {
		return false
	}
	if _, paused := m.guard.pausedFor(now, m.config.PauseLimit); paused {
		return false
	}
	if m.guard.alone.Load() {
		return true
	}
	proof := m.guard.proof.Load()
	return proof != never && now.Monotonic-time.Duration(proof) <= m.config.IsolationLimit
}

// updateAlone recomputes whether the node knows of no other member.
func (m *Membership) updateAlone() {
	tried := m.now.Monotonic-m.started >= joinPeriods*m.config.Period
	m.guard.alone.Store(m.table.present.size() == 0 && (tried || m.contacts.none()))
}

// noticePause handles a pause of the process before anything else happens.
func (m *Membership) noticePause(now Instant) {
	pause, paused := m.guard.pausedFor(now, m.config.PauseLimit)
	if !paused {
		return
	}
	m.recoverFromPause(now, pause)
	if m.config.OnPause != nil {
		m.config.OnPause(pause)
	}
}

// recoverFromPause voids the proofs and all that is measured against time that
// the node has not seen. The proofs go first: a reader that sees the new step
// must not see the old proof.
func (m *Membership) recoverFromPause(now Instant, pause time.Duration) {
	m.mutex.Lock()
	defer m.release()
	m.now = now
	m.guard.reset()
	m.guard.floor = now.Monotonic
	m.guard.lastStep.Store(&now)
	m.stats.Pauses++
	m.prober.probes = nil
	m.nextPeriod = now.Monotonic
	for _, suspect := range m.table.suspects {
		suspect.suspicionEnd = now.Monotonic + m.suspicionTime()
	}
	m.raiseIncarnation(m.self.Incarnation + 1)
	m.logger.WithField("pause", pause.String()).Warn("the process was paused")
}
