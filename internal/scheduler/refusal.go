package scheduler

import (
	"fmt"
	"time"
)

// Reason is why a call was refused a permit.
type Reason uint8

// Reasons for a refusal.
const (
	// QueueFull: the queue is full and no waiter can be evicted for the call.
	QueueFull Reason = iota
	// Evicted: the call was displaced by a more important one, or by one of a caller with fewer waiters.
	Evicted
	// Deadline: the call can no longer meet its deadline.
	Deadline
	// Overloaded: the call waited for the maximum time.
	Overloaded
	// Closed: this node stopped being the target's home.
	Closed
	// EarlierElsewhere: the call would complete much earlier within its Request.Alternative.
	EarlierElsewhere
)

var reasonNames = [...]string{"queue-full", "evicted", "deadline", "overloaded", "closed", "earlier-elsewhere"}

// String returns the reason's name as used in metrics and problem documents.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return fmt.Sprintf("reason(%d)", uint8(r))
	}
	return reasonNames[r]
}

// Refusal is the error returned for a call that got no permit. Nothing was sent
// to the target.
type Refusal struct {
	// Reason is why the call was refused.
	Reason Reason
	// RetryAfter is the suggested delay before a retry; zero for Closed and EarlierElsewhere.
	RetryAfter time.Duration
}

// Error returns the reason and the suggested delay.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused by the scheduler: %s, retry after %s", r.Reason, r.RetryAfter)
}
