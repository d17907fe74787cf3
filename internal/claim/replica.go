package claim

import "time"

// Replica holds claims. It is a pure state machine and not safe for concurrent
// use.
type Replica struct {
	self   Identity
	roster *Roster
	claims *table
	// founderOf is the founding epoch of the generation in which the replica
	// first saw itself as a founder at founderSince.
	founderOf    uint64
	founderSince time.Time
	copying      *copying
	// copied is set once the replica has held the claims of a majority.
	copied bool
}

// NewReplica returns a replica with no roster and no claims. The capacity is
// the largest number of claims it holds.
func NewReplica(self Identity, capacity int) *Replica {
	return &Replica{self: self, claims: newTable(capacity)}
}

// Roster returns the newest roster adopted and whether there is one.
func (r *Replica) Roster() (Roster, bool) {
	if r.roster == nil {
		return Roster{}, false
	}
	return *r.roster, true
}

// Adopt takes a roster over if it is newer than the one known and of the same
// lineage, and reports whether it did. From then on the replica grants nothing
// in earlier epochs.
func (r *Replica) Adopt(roster Roster, now time.Time) bool {
	if roster.Validate() != nil || !r.follows(roster) {
		return false
	}
	r.roster = &roster
	r.copying = nil
	if roster.joiningSeatOf(r.self) != nil {
		r.copying = newCopying(roster)
		r.copied = false
	}
	seat := roster.seatOf(r.self)
	if seat != nil && seat.Founder && r.founderOf != roster.Founded {
		r.founderOf = roster.Founded
		r.founderSince = now
	}
	return true
}

func (r *Replica) follows(roster Roster) bool {
	if r.roster == nil {
		return true
	}
	return roster.Lineage == r.roster.Lineage && roster.Epoch > r.roster.Epoch
}

// Handle answers a request for a claim.
func (r *Replica) Handle(q Request, now time.Time) Response {
	if q.Roster != nil {
		r.Adopt(*q.Roster, now)
	}
	response := Response{From: r.self, Epoch: q.Epoch, Key: q.Key, Attempt: q.Attempt}
	response.Answer = r.answer(q, now)
	switch response.Answer {
	case AnswerStale:
		response.Roster = r.roster
	case AnswerWaiting:
		response.Wait = r.roster.Retention - now.Sub(r.founderSince)
	}
	return response
}

func (r *Replica) answer(q Request, now time.Time) Answer {
	switch {
	case q.To != r.self:
		return AnswerNotVoter
	case r.roster == nil || q.Epoch > r.roster.Epoch:
		return AnswerBehind
	case q.Epoch < r.roster.Epoch:
		return AnswerStale
	}
	if refusal := r.refusal(now); refusal != 0 {
		return refusal
	}
	return r.grant(q.Key, q.Attempt, now)
}

// refusal tells why the replica may not vote now; zero means that it may.
func (r *Replica) refusal(now time.Time) Answer {
	seat := r.roster.seatOf(r.self)
	switch {
	case seat == nil || !seat.Votes():
		return AnswerNotVoter
	case !seat.Founder && !r.copied:
		return AnswerNotVoter
	case seat.Founder && r.waits(now):
		return AnswerWaiting
	}
	return 0
}

// waits tells whether a founder must still let the retention pass. The first
// generation has no claims before it.
func (r *Replica) waits(now time.Time) bool {
	return r.roster.Founded > 1 && now.Sub(r.founderSince) <= r.roster.Retention
}

func (r *Replica) grant(key KeyHash, attempt AttemptID, now time.Time) Answer {
	r.claims.expire(now, r.roster.Retention)
	old := r.claims.find(key)
	if old != nil && old.state != recordReleased {
		if old.state == recordHeld && old.attempt == attempt {
			return AnswerGranted
		}
		return AnswerHeld
	}
	if old != nil && old.attempt == attempt {
		return AnswerReleased
	}
	if !r.claims.insert(record{key: key, attempt: attempt}, now) {
		return AnswerFull
	}
	return AnswerGranted
}

// Release drops an attempt that will never run, in any epoch.
func (r *Replica) Release(q ReleaseRequest, now time.Time) {
	if q.To != r.self || r.roster == nil {
		return
	}
	r.claims.expire(now, r.roster.Retention)
	old := r.claims.find(q.Key)
	if old == nil {
		// Remembered so that a late copy of the claim isn't granted; without
		// room it may be, which only keeps the key held.
		r.claims.insert(record{key: q.Key, attempt: q.Attempt, state: recordReleased}, now)
		return
	}
	if old.state == recordHeld && old.attempt == q.Attempt {
		old.state = recordReleased
	}
}

// Page hands claims over to a replica that joins. The replica must have
// adopted the request's epoch, so that all its grants in epochs before are
// among the claims, and must be allowed to vote.
func (r *Replica) Page(q PageRequest, now time.Time) Page {
	if q.Roster != nil {
		r.Adopt(*q.Roster, now)
	}
	page := Page{From: r.self, Epoch: q.Epoch, Cursor: q.Cursor}
	if q.To != r.self || r.roster == nil || r.roster.Epoch < q.Epoch || r.refusal(now) != 0 {
		page.Refused = true
		return page
	}
	r.claims.expire(now, r.roster.Retention)
	page.Claims, page.Next, page.Last = r.claims.page(q.Cursor)
	return page
}

// Len returns the number of records in memory.
func (r *Replica) Len() int { return r.claims.len() }
