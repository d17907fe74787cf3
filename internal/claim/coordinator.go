package claim

import "time"

// Outcome is how a claim ended.
type Outcome uint8

const (
	// Pending means that the claim has not ended.
	Pending Outcome = iota
	// Granted means that the call may run, and that no other attempt may.
	Granted
	// Held means that this attempt will never run and that another may have
	// run: the caller is told "executed: unknown".
	Held
	// Unavailable means that this attempt will never run: the caller is told
	// "executed: no", which speaks of this sending alone.
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

// Coordinator gathers the votes for one attempt. It is a pure state machine
// and not safe for concurrent use. An outcome other than Pending is final.
type Coordinator struct {
	roster   Roster
	key      KeyHash
	attempt  AttemptID
	received time.Time
	votes    map[Identity]Answer // zero: not answered
	held     bool
	wait     time.Duration
	outcome  Outcome
}

// failed stands for a voter that gives no answer.
const failed = answerCount

// NewCoordinator starts an attempt for a call that was received at the given
// time.
func NewCoordinator(roster Roster, key KeyHash, attempt AttemptID, received time.Time) *Coordinator {
	c := &Coordinator{key: key, attempt: attempt, received: received}
	c.use(roster)
	return c
}

func (c *Coordinator) use(roster Roster) {
	c.roster = roster
	c.votes = make(map[Identity]Answer, len(roster.Seats))
	for _, voter := range roster.Voters() {
		c.votes[voter.Identity] = 0
	}
}

// Restart begins again with a newer roster. Votes of the epoch before don't
// count. It reports whether it did.
func (c *Coordinator) Restart(roster Roster) bool {
	newer := roster.Lineage == c.roster.Lineage && roster.Epoch > c.roster.Epoch
	if c.outcome != Pending || !newer || roster.Validate() != nil {
		return false
	}
	c.use(roster)
	return true
}

// Epoch returns the epoch in which votes are gathered.
func (c *Coordinator) Epoch() uint64 { return c.roster.Epoch }

// Wait returns the longest time that a voter said it must still let pass, zero
// if none did.
func (c *Coordinator) Wait() time.Duration { return c.wait }

// Voters returns the replicas to ask.
func (c *Coordinator) Voters() []Member { return c.roster.Voters() }

// Request returns the request for one voter.
func (c *Coordinator) Request(to Identity) Request {
	return Request{To: to, Epoch: c.roster.Epoch, Key: c.key, Attempt: c.attempt}
}

// Receive counts a voter's answer. Answers to other attempts or in other
// epochs and repeated answers are ignored.
func (c *Coordinator) Receive(response Response, now time.Time) Outcome {
	if response.Epoch == c.roster.Epoch && response.Key == c.key && response.Attempt == c.attempt {
		c.vote(response.From, response.Answer)
		c.wait = max(c.wait, min(response.Wait, c.roster.Retention))
	}
	return c.Decide(now)
}

// Fail notes that a voter gave no answer in the epoch.
func (c *Coordinator) Fail(voter Identity, epoch uint64, now time.Time) Outcome {
	if epoch == c.roster.Epoch {
		c.vote(voter, failed)
	}
	return c.Decide(now)
}

func (c *Coordinator) vote(voter Identity, answer Answer) {
	if previous, ok := c.votes[voter]; !ok || previous != 0 {
		return
	}
	c.votes[voter] = answer
	c.held = c.held || answer == AnswerHeld
}

// Decide ends the claim if it can be ended at the given time.
func (c *Coordinator) Decide(now time.Time) Outcome {
	if c.outcome != Pending {
		return c.outcome
	}
	granted, open := c.count()
	switch {
	case elapsed(c.received, now) > ClaimWindow:
		c.outcome = c.refusal()
	case granted >= c.roster.Majority():
		c.outcome = Granted
	case granted+open < c.roster.Majority():
		c.outcome = c.refusal()
	}
	return c.outcome
}

// Abort ends a pending claim, so that it can never be granted.
func (c *Coordinator) Abort() Outcome {
	if c.outcome == Pending {
		c.outcome = c.refusal()
	}
	return c.outcome
}

func (c *Coordinator) count() (granted, open int) {
	for _, answer := range c.votes {
		switch answer {
		case AnswerGranted:
			granted++
		case 0:
			open++
		}
	}
	return granted, open
}

func (c *Coordinator) refusal() Outcome {
	if c.held {
		return Held
	}
	return Unavailable
}

// elapsed is the larger of what the monotonic and the wall clock say, since
// the monotonic clock may stand still while a machine is suspended.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
