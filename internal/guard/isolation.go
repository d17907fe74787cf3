package guard

import (
	"context"

	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/quarantine"
)

// screening is what is known of a call that may go to the target.
type screening struct {
	// hash is the call's fingerprint, if it was worked out.
	hash  fingerprint.Fingerprint
	known bool
	// standing is that of the request, with what the call itself tells.
	standing quarantine.Standing
	// trial tells that the call is the trial run of a quarantined request.
	trial bool
	// endTurn ends the call's turn; nil if it needs none.
	endTurn func()
}

// done ends the call's turn.
func (s *screening) done() {
	if s.endTurn != nil {
		s.endTurn()
	}
	s.endTurn = nil
}

// fingerprint returns the call's fingerprint.
func (s *screening) fingerprint(call *peering.Call) fingerprint.Fingerprint {
	if !s.known {
		s.hash, s.known = call.Fingerprint(), true
	}
	return s.hash
}

// openCall returns what a report of the target's end says of the call.
func (s *screening) openCall(call *peering.Call) quarantine.OpenCall {
	return quarantine.OpenCall{Fingerprint: s.fingerprint(call), Service: call.Service, Route: call.Route, Crashes: s.standing.Crashes + 1}
}

// look takes what is known of the request now. What the call tells is newer than what the
// node knows, unless the request was cleared here.
func (g *Guard) look(s *screening, call *peering.Call) {
	s.standing = g.config.Quarantine.Standing(s.fingerprint(call))
	if !s.standing.Cleared {
		s.standing.Crashes = max(s.standing.Crashes, call.Crashes)
	}
}

// screen looks a call up among those that crash targets. It returns the refusal of a
// quarantined one, and waits for the turn of a suspect.
func (g *Guard) screen(ctx context.Context, call *peering.Call) (screening, *peering.Reply) {
	var s screening
	if g.config.Quarantine.Empty() && call.Crashes == 0 {
		return s, nil
	}
	g.look(&s, call)
	s.trial = s.standing.TrialDue && g.config.Quarantine.ClaimTrial(ctx, s.openCall(call))
	if s.standing.Quarantined && !s.trial {
		return s, quarantined(s.standing)
	}
	if s.standing.Crashes == 0 {
		return s, nil
	}
	endTurn, reply := g.turns.await(ctx, s.hash, s.standing.Isolated(), call)
	if reply != nil {
		return s, reply
	}
	s.endTurn = endTurn
	return s, g.screenAgain(&s, call)
}

// screenAgain looks a suspect up again whose turn has come: the one before it may have
// crashed the target, or have shown that the request is harmless.
func (g *Guard) screenAgain(s *screening, call *peering.Call) *peering.Reply {
	g.look(s, call)
	switch {
	case s.standing.Quarantined && !s.trial:
		s.done()
		return quarantined(s.standing)
	case s.standing.Crashes == 0:
		s.done()
	}
	return nil
}

// screenLast looks a call up right before it goes to the target, as it may have waited for
// room. It returns the refusal of one that must not go now.
func (g *Guard) screenLast(s *screening, call *peering.Call) *peering.Reply {
	if s.trial || g.config.Quarantine.Empty() {
		return nil
	}
	g.look(s, call)
	switch {
	case s.standing.Quarantined:
		return quarantined(s.standing)
	case s.standing.Crashes == 0 || s.endTurn != nil:
		return nil
	}
	endTurn, begun := g.turns.try(s.hash, s.standing.Isolated())
	if !begun {
		return refused(peering.QueueTimeout)
	}
	s.endTurn = endTurn
	return nil
}

// quarantined refuses a call of a quarantined request.
func quarantined(standing quarantine.Standing) *peering.Reply {
	reply := refused(peering.Quarantined)
	reply.RetryAfter = standing.RetryAfter
	reply.Crashes = standing.Crashes
	return reply
}
