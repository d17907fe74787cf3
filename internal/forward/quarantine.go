package forward

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/quarantine"
)

// minQuarantineDelay is the least that callers of a quarantined request are told to wait:
// a trial run is due for one of them only.
const minQuarantineDelay = time.Second

// screen looks a request up among those that crash targets. It returns the refusal of a
// quarantined one, unless a trial run is due, which the home decides on.
func (f *Forwarder) screen(q *request) *problem.Problem {
	if f.suspects.Empty() {
		return nil
	}
	standing := f.suspects.Standing(q.fingerprint())
	q.call.Crashes = standing.Crashes
	if standing.Quarantined && !standing.TrialDue {
		return f.quarantined(q, standing.RetryAfter)
	}
	return nil
}

// quarantined returns the answer to a quarantined request. One that has run in this try is
// not told that it has not.
func (f *Forwarder) quarantined(q *request, retryAfter time.Duration) *problem.Problem {
	const detail = "targets that run the request crash"
	if q.attempts > 0 {
		return f.problem(problem.TargetFailed, problem.ExecutedUnknown, "run", detail)
	}
	f.log.Record(eventlog.Event{Kind: eventlog.QuarantineRefused, Request: q.id, Route: q.route.Name, Service: q.service, Fingerprint: q.fingerprint().String(),
		Peer: q.lastHome, Count: q.call.Crashes, Wait: retryAfter})
	return f.problem(problem.Quarantined, problem.ExecutedNo, "screen", detail).WithRetryDelay(max(retryAfter, minQuarantineDelay))
}

// suspected reports whether a target crashed under the request, so that its tries run one
// after the other, at the home that all nodes choose.
func (q *request) suspected() bool { return q.call.Crashes > 0 }

// isolated reports whether the request runs beside no other suspect.
func (q *request) isolated() bool {
	return quarantine.Standing{Crashes: q.call.Crashes}.Isolated()
}

// noteCrash takes a target's end under the request.
func (q *request) noteCrash(reply *peering.Reply) {
	q.call.Crashes = max(q.call.Crashes, reply.Crashes)
}

// noteAnswered takes that a target answered a suspect.
func (f *Forwarder) noteAnswered(q *request) {
	if q.suspected() {
		f.suspects.Answered(quarantine.OpenCall{Fingerprint: q.fingerprint(), Service: q.service, Route: q.route.Name})
	}
}

// fingerprint returns the request's fingerprint.
func (q *request) fingerprint() fingerprint.Fingerprint {
	if q.hash.IsZero() {
		q.hash = q.call.Fingerprint()
	}
	return q.hash
}

// chooseByHash returns the home at which all nodes have a suspect run, one after the
// other: the first by the hash of the fingerprint and the address. Once it fails the next
// one is due.
func (f *Forwarder) chooseByHash(q *request) choice {
	now := f.now()
	var best choice
	highest := uint64(0)
	hash := q.fingerprint()
	for _, c := range f.candidates(q, now) {
		place := xxhash.Sum64String(string(hash[:]) + c.home.Address)
		if c.state.usable(c.home, now) && (best.home == nil || place > highest) {
			best, highest = choice{home: c.home, latency: c.standing.latency}, place
		}
	}
	return best
}
