package guard

import (
	"context"

	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/quarantine"
)

// screening is the quarantine check of one call to the target.
type screening struct {
	// hash is the call's fingerprint; it is valid if hashed is set.
	hash   fingerprint.Fingerprint
	hashed bool
	// state is the request's quarantine state, including the crashes that the call reports.
	state quarantine.State
	// trial is set if the call is the trial run of a quarantined request.
	trial bool
	// unlock releases the suspect lock; nil if the call doesn't hold it.
	unlock func()
}

// release releases the suspect lock if the call holds it.
func (s *screening) release() {
	if s.unlock != nil {
		s.unlock()
	}
	s.unlock = nil
}

// fingerprint returns the call's fingerprint and computes it on first use.
func (s *screening) fingerprint(call *peering.Call) fingerprint.Fingerprint {
	if !s.hashed {
		s.hash, s.hashed = call.Fingerprint(), true
	}
	return s.hash
}

// openCall returns the call's entry in a crash report, which counts this crash.
func (s *screening) openCall(call *peering.Call) quarantine.Call {
	return quarantine.Call{Fingerprint: s.fingerprint(call), Service: call.Service, Route: call.Route, Crashes: s.state.Crashes + 1}
}

// refreshState updates the request's quarantine state. The crash count in the call may be
// newer than the count known to this node, unless the request was cleared here.
func (g *Guard) refreshState(s *screening, call *peering.Call) {
	s.state = g.config.Quarantine.State(s.fingerprint(call))
	if !s.state.Cleared {
		s.state.Crashes = max(s.state.Crashes, call.Crashes)
	}
}

// screen checks a call against the quarantine before the call is queued. It refuses a
// quarantined request and acquires the suspect lock for a suspect.
func (g *Guard) screen(ctx context.Context, call *peering.Call) (screening, *peering.Reply) {
	var s screening
	if g.config.Quarantine.Empty() && call.Crashes == 0 {
		return s, nil
	}
	g.refreshState(&s, call)
	s.trial = s.state.TrialDue && g.config.Quarantine.ClaimTrial(ctx, s.openCall(call))
	if s.state.Quarantined && !s.trial {
		return s, quarantinedReply(s.state)
	}
	if s.state.Crashes == 0 {
		return s, nil
	}
	unlock, reply := g.suspectLock.acquire(ctx, s.hash, s.state.Isolated(), call)
	if reply != nil {
		return s, reply
	}
	s.unlock = unlock
	return s, g.rescreen(&s, call)
}

// rescreen checks a suspect again after it has acquired the lock. The previous holder may
// have crashed the target, or its answer may have cleared the request.
func (g *Guard) rescreen(s *screening, call *peering.Call) *peering.Reply {
	g.refreshState(s, call)
	switch {
	case s.state.Quarantined && !s.trial:
		s.release()
		return quarantinedReply(s.state)
	case s.state.Crashes == 0:
		s.release()
	}
	return nil
}

// screenBeforeSend checks a call again immediately before it is sent, because its state may
// have changed while it was queued. It refuses a quarantined request, and a new suspect
// that cannot acquire the suspect lock immediately.
func (g *Guard) screenBeforeSend(s *screening, call *peering.Call) *peering.Reply {
	if s.trial || g.config.Quarantine.Empty() {
		return nil
	}
	g.refreshState(s, call)
	switch {
	case s.state.Quarantined:
		return quarantinedReply(s.state)
	case s.state.Crashes == 0 || s.unlock != nil:
		return nil
	}
	unlock, acquired := g.suspectLock.tryAcquire(s.hash, s.state.Isolated())
	if !acquired {
		return refusedReply(peering.QueueTimeout)
	}
	s.unlock = unlock
	return nil
}

// quarantinedReply returns the refusal of a quarantined call.
func quarantinedReply(state quarantine.State) *peering.Reply {
	reply := refusedReply(peering.Quarantined)
	reply.RetryAfter = state.RetryAfter
	reply.Crashes = state.Crashes
	return reply
}
