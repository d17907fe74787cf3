package claim

import "time"

// Outcome is the result of a claim.
type Outcome uint8

const (
	// Pending means that the claim is not decided yet.
	Pending Outcome = iota
	// Granted means that this attempt may run the call and no other attempt may.
	Granted
	// Held means that this attempt will never run, but another one may have
	// run. The caller receives "executed: unknown".
	Held
	// Unavailable means that this attempt will never run. The caller receives
	// "executed: no", which applies to this attempt only.
	Unavailable
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Granted:
		return "granted"
	case Held:
		return "held"
	case Unavailable:
		return "unavailable"
	default:
		return "pending"
	}
}

// Coordinator collects the votes for one attempt. It is a pure state machine
// and not safe for concurrent use. An outcome other than Pending is final.
type Coordinator struct {
	roster   Roster
	key      KeyHash
	attempt  AttemptID
	received time.Time
	votes    map[Identity]Answer // zero: no answer yet
	heldSeen bool
	maxWait  time.Duration
	outcome  Outcome
}

// answerMissing is the vote of a replica whose request failed.
const answerMissing = answerCount

// NewCoordinator returns the coordinator of an attempt for a call that was
// received at the given time.
func NewCoordinator(roster Roster, key KeyHash, attempt AttemptID, received time.Time) *Coordinator {
	c := &Coordinator{key: key, attempt: attempt, received: received}
	c.startEpoch(roster)
	return c
}

func (c *Coordinator) startEpoch(roster Roster) {
	c.roster = roster
	c.votes = make(map[Identity]Answer, len(roster.Seats))
	for _, voter := range roster.Voters() {
		c.votes[voter.Identity] = 0
	}
}

// Restart starts voting again with a newer roster and reports whether it did.
// Votes of the earlier epoch are discarded.
func (c *Coordinator) Restart(roster Roster) bool {
	newer := roster.Lineage == c.roster.Lineage && roster.Epoch > c.roster.Epoch
	if c.outcome != Pending || !newer || roster.Validate() != nil {
		return false
	}
	c.startEpoch(roster)
	return true
}

// Epoch returns the epoch in which votes are counted.
func (c *Coordinator) Epoch() uint64 { return c.roster.Epoch }

// MaxWait returns the longest wait that a voter reported with AnswerWaiting, or
// zero.
func (c *Coordinator) MaxWait() time.Duration { return c.maxWait }

// Voters returns the replicas that requests are sent to.
func (c *Coordinator) Voters() []Member { return c.roster.Voters() }

// Request returns the request for one voter.
func (c *Coordinator) Request(to Identity) Request {
	return Request{To: to, Epoch: c.roster.Epoch, Key: c.key, Attempt: c.attempt}
}

// Receive counts a voter's answer. Answers for other attempts or epochs and
// duplicate answers are ignored.
func (c *Coordinator) Receive(response Response, now time.Time) Outcome {
	if response.Epoch == c.roster.Epoch && response.Key == c.key && response.Attempt == c.attempt {
		c.recordVote(response.From, response.Answer)
		c.maxWait = max(c.maxWait, min(response.Wait, c.roster.Retention))
	}
	return c.Decide(now)
}

// RecordFailure records that a request to a voter failed in the epoch.
func (c *Coordinator) RecordFailure(voter Identity, epoch uint64, now time.Time) Outcome {
	if epoch == c.roster.Epoch {
		c.recordVote(voter, answerMissing)
	}
	return c.Decide(now)
}

func (c *Coordinator) recordVote(voter Identity, answer Answer) {
	if previous, ok := c.votes[voter]; !ok || previous != 0 {
		return
	}
	c.votes[voter] = answer
	c.heldSeen = c.heldSeen || answer == AnswerHeld
}

// Decide sets and returns the outcome if it is certain at the given time.
func (c *Coordinator) Decide(now time.Time) Outcome {
	if c.outcome != Pending {
		return c.outcome
	}
	granted, unanswered := c.countVotes()
	switch {
	case elapsed(c.received, now) > ClaimWindow:
		c.outcome = c.refusedOutcome()
	case granted >= c.roster.Majority():
		c.outcome = Granted
	case granted+unanswered < c.roster.Majority():
		c.outcome = c.refusedOutcome()
	}
	return c.outcome
}

// Abort refuses a pending claim, so that it can never be granted.
func (c *Coordinator) Abort() Outcome {
	if c.outcome == Pending {
		c.outcome = c.refusedOutcome()
	}
	return c.outcome
}

func (c *Coordinator) countVotes() (granted, unanswered int) {
	for _, answer := range c.votes {
		switch answer {
		case AnswerGranted:
			granted++
		case 0:
			unanswered++
		}
	}
	return granted, unanswered
}

func (c *Coordinator) refusedOutcome() Outcome {
	if c.heldSeen {
		return Held
	}
	return Unavailable
}

// elapsed returns the larger of the monotonic and the wall-clock difference,
// because the monotonic clock may stop while the machine is suspended.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
