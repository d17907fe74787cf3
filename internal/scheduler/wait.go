package scheduler

import (
	"context"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
)

// wait blocks until the waiter's outcome, its patience or its context ends.
func (s *Scheduler) wait(ctx context.Context, w *waiter, now time.Time) (*Permit, error) {
	reason, patience := s.patience(w.request, now)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case result := <-w.result:
		return result.unwrap()
	case <-timer.C:
		return s.leave(w, reason)
	case <-ctx.Done():
		return s.abandon(ctx, w)
	}
}

// patience returns how long the call may wait and why it is refused then.
func (s *Scheduler) patience(request Request, now time.Time) (Reason, time.Duration) {
	if request.Deadline.IsZero() {
		return Overloaded, s.maxWait(request, 0)
	}
	s.mu.Lock()
	expected := s.service.expected(now)
	s.mu.Unlock()
	untilTooLate := request.Deadline.Sub(now) - expected
	wait := s.maxWait(request, untilTooLate)
	if untilTooLate < wait {
		return Deadline, max(untilTooLate, 0)
	}
	return Overloaded, wait
}

// criticalShare is the part of the time that a call of the highest level has
// left which it may wait at one target; the rest is left for others.
const criticalShare = 3

// maxWait returns the longest wait of a call that can wait for so long before it
// is too late. A call of the highest level is next in line wherever it waits, so
// that giving it up after MaxWait would shed it while less important calls run.
func (s *Scheduler) maxWait(request Request, untilTooLate time.Duration) time.Duration {
	if request.MaxWait > 0 {
		return request.MaxWait
	}
	if request.Rank.Level == criticality.CriticalPlus {
		return max(s.config.MaxWait, untilTooLate/criticalShare)
	}
	return s.config.MaxWait
}

// leave takes a waiter out of the queue when its patience ends. If its outcome
// came first, that holds.
func (s *Scheduler) leave(w *waiter, reason Reason) (*Permit, error) {
	now := s.now()
	s.mu.Lock()
	if w.queued {
		s.drop(w, reason, now)
		s.updateOverload(now)
	}
	s.mu.Unlock()
	result := <-w.result
	return result.unwrap()
}

// abandon takes a waiter out of the queue when its context ends. A permit that
// came at the same moment goes to the next waiter.
func (s *Scheduler) abandon(ctx context.Context, w *waiter) (*Permit, error) {
	permit, err := s.leave(w, Deadline)
	if err == nil {
		permit.Cancel()
	}
	return nil, s.contextError(context.Cause(ctx))
}

func (o outcome) unwrap() (*Permit, error) {
	if o.refusal != nil {
		return nil, o.refusal
	}
	return o.permit, nil
}
