package scheduler

import (
	"fmt"
	"time"
)

// Reason says why a call was refused before it got a permit.
type Reason uint8

// The reasons.
const (
	// QueueFull: no room, and nothing less important to displace.
	QueueFull Reason = iota
	// Evicted: a more important call, or one of a caller with fewer calls queued, took the place.
	Evicted
	// Deadline: the call can no longer finish in time.
	Deadline
	// Overloaded: the call waited for the longest allowed time.
	Overloaded
	// Closed: this node stopped being the target's home.
	Closed
)

var reasonNames = [...]string{"queue-full", "evicted", "deadline", "overloaded", "closed"}

// String returns the reason's name as metrics and problem documents write it.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return fmt.Sprintf("reason(%d)", uint8(r))
	}
	return reasonNames[r]
}

// Refusal is the error of a call that got no permit. Nothing of the call was
// sent to the target.
type Refusal struct {
	// Reason says why.
	Reason Reason
	// RetryAfter is a proposed wait before the call is tried again; zero for Closed.
	RetryAfter time.Duration
}

// Error returns the reason and the proposed wait.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused by the scheduler: %s, retry after %s", r.Reason, r.RetryAfter)
}
