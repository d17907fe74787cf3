package claim

import "time"

// Replica holds claims. It is a pure state machine and not safe for concurrent
// use.
type Replica struct {
	self   Identity
	roster *Roster
	claims *table
	// founderGeneration is the founding epoch of the latest generation that has
	// the replica as a founder. The replica adopted that roster at founderSince.
	founderGeneration uint64
	founderSince      time.Time
	copying           *copyState
	// copied is set once the replica has copied the claims of a majority.
	copied bool
}

// NewReplica returns a replica without a roster and without claims. The
// capacity is the maximum number of claims that it holds.
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

// Adopt replaces the current roster if the given one is newer and of the same
// lineage, and reports whether it did. Afterwards the replica grants nothing in
// earlier epochs.
func (r *Replica) Adopt(roster Roster, now time.Time) bool {
	if roster.Validate() != nil || !r.isSuccessor(roster) {
		return false
	}
	r.roster = &roster
	r.copying = nil
	if roster.joiningSeatOf(r.self) != nil {
		r.copying = newCopyState(roster)
		r.copied = false
	}
	seat := roster.seatOf(r.self)
	if seat != nil && seat.Founder && r.founderGeneration != roster.FoundingEpoch {
		r.founderGeneration = roster.FoundingEpoch
		r.founderSince = now
	}
	return true
}

func (r *Replica) isSuccessor(roster Roster) bool {
	if r.roster == nil {
		return true
	}
	return roster.Lineage == r.roster.Lineage && roster.Epoch > r.roster.Epoch
}

// Handle processes a claim request.
func (r *Replica) Handle(req Request, now time.Time) Response {
	if req.Roster != nil {
		r.Adopt(*req.Roster, now)
	}
	response := Response{From: r.self, Epoch: req.Epoch, Key: req.Key, Attempt: req.Attempt}
	response.Answer = r.answer(req, now)
	switch response.Answer {
	case AnswerStale:
		response.Roster = r.roster
	case AnswerWaiting:
		response.Wait = r.roster.Retention - now.Sub(r.founderSince)
	}
	return response
}

func (r *Replica) answer(req Request, now time.Time) Answer {
	switch {
	case req.To != r.self:
		return AnswerNotVoter
	case r.roster == nil || req.Epoch > r.roster.Epoch:
		return AnswerBehind
	case req.Epoch < r.roster.Epoch:
		return AnswerStale
	}
	if refusal := r.voteRefusal(now); refusal != 0 {
		return refusal
	}
	return r.grant(req.Key, req.Attempt, now)
}

// voteRefusal returns the reason why the replica can't vote now, or zero if it
// can.
func (r *Replica) voteRefusal(now time.Time) Answer {
	seat := r.roster.seatOf(r.self)
	switch {
	case seat == nil || !seat.CanVote():
		return AnswerNotVoter
	case !seat.Founder && !r.copied:
		return AnswerNotVoter
	case seat.Founder && r.mustWait(now):
		return AnswerWaiting
	}
	return 0
}

// mustWait reports whether a founder must still wait for the retention to pass,
// since an earlier generation may have granted claims. The first generation has
// no predecessor.
func (r *Replica) mustWait(now time.Time) bool {
	return r.roster.FoundingEpoch > 1 && now.Sub(r.founderSince) <= r.roster.Retention
}

func (r *Replica) grant(key KeyHash, attempt AttemptID, now time.Time) Answer {
	r.claims.expire(now, r.roster.Retention)
	existing := r.claims.find(key)
	if existing != nil && existing.state != recordReleased {
		if existing.state == recordHeld && existing.attempt == attempt {
			return AnswerGranted
		}
		return AnswerHeld
	}
	if existing != nil && existing.attempt == attempt {
		return AnswerReleased
	}
	if !r.claims.insert(record{key: key, attempt: attempt}, now) {
		return AnswerFull
	}
	return AnswerGranted
}

// Release releases the claim of an attempt that will never run. It applies in
// any epoch.
func (r *Replica) Release(req ReleaseRequest, now time.Time) {
	if req.To != r.self || r.roster == nil {
		return
	}
	r.claims.expire(now, r.roster.Retention)
	existing := r.claims.find(req.Key)
	if existing == nil {
		// The release is recorded so that a delayed claim request of the attempt
		// isn't granted. If the table is full, that request may be granted, which
		// only leaves the key held.
		r.claims.insert(record{key: req.Key, attempt: req.Attempt, state: recordReleased}, now)
		return
	}
	if existing.state == recordHeld && existing.attempt == req.Attempt {
		existing.state = recordReleased
	}
}

// Page returns a page of claims for a joining replica. This replica must be
// allowed to vote and must have adopted the request's epoch, so that the claims
// include all that it granted in earlier epochs.
func (r *Replica) Page(req PageRequest, now time.Time) Page {
	if req.Roster != nil {
		r.Adopt(*req.Roster, now)
	}
	page := Page{From: r.self, Epoch: req.Epoch, Cursor: req.Cursor}
	if req.To != r.self || r.roster == nil || r.roster.Epoch < req.Epoch || r.voteRefusal(now) != 0 {
		page.Refused = true
		return page
	}
	r.claims.expire(now, r.roster.Retention)
	page.Claims, page.Next, page.Last = r.claims.page(req.Cursor)
	return page
}

// Len returns the number of records in the table.
func (r *Replica) Len() int { return r.claims.len() }
