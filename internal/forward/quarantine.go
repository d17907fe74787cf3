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

// minQuarantineDelay is the minimum retry delay sent to the callers of a quarantined request.
// Even if a trial run is due, only one of the callers gets it.
const minQuarantineDelay = time.Second

// checkQuarantine looks up the quarantine state of the request. It returns the problem for a
// quarantined request, unless a trial run is due; then the home decides.
func (f *Forwarder) checkQuarantine(q *request) *problem.Problem {
	if f.quarantine.Empty() {
		return nil
	}
	state := f.quarantine.State(q.fingerprint())
	q.call.Crashes = state.Crashes
	if state.Quarantined && !state.TrialDue {
		return f.quarantineProblem(q, state.RetryAfter)
	}
	return nil
}

// quarantineProblem returns the problem for a quarantined request. A request that may have
// been executed at a previous home is not reported as not executed.
func (f *Forwarder) quarantineProblem(q *request, retryAfter time.Duration) *problem.Problem {
	const detail = "targets that run the request crash"
	if q.attempts > 0 {
		return f.problem(problem.TargetFailed, problem.ExecutedUnknown, "run", detail)
	}
	f.log.Record(eventlog.Event{Kind: eventlog.QuarantineRefused, Request: q.id, Route: q.route.Name, Service: q.service, Fingerprint: q.fingerprint().String(),
		Peer: q.lastHome, Count: q.call.Crashes, Wait: retryAfter})
	return f.problem(problem.Quarantined, problem.ExecutedNo, "screen", detail).WithRetryDelay(max(retryAfter, minQuarantineDelay))
}

// isSuspect reports whether a target has crashed while running the request. A suspect is
// offered only to the home that all nodes choose for it, which runs it once at a time.
func (q *request) isSuspect() bool { return q.call.Crashes > 0 }

// isolated reports whether the request must not run concurrently with other isolated
// suspects.
func (q *request) isolated() bool {
	return quarantine.State{Crashes: q.call.Crashes}.Isolated()
}

// recordCrashes updates the number of targets that have crashed while running the request.
func (q *request) recordCrashes(reply *peering.Reply) {
	q.call.Crashes = max(q.call.Crashes, reply.Crashes)
}

// reportAnswered reports to the quarantine that a target has answered a suspect.
func (f *Forwarder) reportAnswered(q *request) {
	if q.isSuspect() {
		f.quarantine.RecordAnswer(quarantine.Call{Fingerprint: q.fingerprint(), Service: q.service, Route: q.route.Name})
	}
}

// fingerprint returns the request's fingerprint, computed on first use.
func (q *request) fingerprint() fingerprint.Fingerprint {
	if q.hash.IsZero() {
		q.hash = q.call.Fingerprint()
	}
	return q.hash
}

// chooseByRendezvousHash chooses the home for a suspect by rendezvous hashing, so that all
// nodes offer it to the same home, which runs it once at a time. It returns the usable home
// with the highest hash of fingerprint and address. If that home fails, the one with the next
// highest hash is chosen.
func (f *Forwarder) chooseByRendezvousHash(q *request) choice {
	now := f.now()
	var best choice
	highest := uint64(0)
	hash := q.fingerprint()
	buffers := choiceBuffersPool.Get().(*choiceBuffers)
	defer buffers.release()
	candidates, _ := f.candidates(q, now, buffers)
	for _, c := range candidates {
		weight := xxhash.Sum64String(string(hash[:]) + c.home.Address)
		if c.usable && (best.home == nil || weight > highest) {
			best, highest = choice{home: c.home, latency: c.stats.latency}, weight
		}
	}
	return best
}
