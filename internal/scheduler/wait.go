package scheduler

import (
	"context"
	"time"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/criticality"
)

// wait blocks until the waiter gets an outcome, its wait limit passes or its context ends.
func (s *Scheduler) wait(ctx context.Context, w *waiter, now time.Time) (*Permit, error) {
	reason, limit := s.waitLimit(w.request, now)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case result := <-w.result:
		return result.unwrap()
	case <-timer.C:
		return s.removeWaiter(w, reason)
	case <-ctx.Done():
		return s.cancelWaiter(ctx, w)
	}
}

// waitLimit returns how long the call may wait and the reason for refusing it afterwards.
func (s *Scheduler) waitLimit(request Request, now time.Time) (Reason, time.Duration) {
	if request.Deadline.IsZero() {
		return Overloaded, s.maxWait(request, 0)
	}
	s.mu.Lock()
	expected := s.serviceTime.expected(now)
	s.mu.Unlock()
	slack := request.Deadline.Sub(now) - expected
	wait := s.maxWait(request, slack)
	if slack < wait {
		return Deadline, max(slack, 0)
	}
	return Overloaded, wait
}

// criticalWaitDivisor limits the wait of a call of the highest level at one target
// to a third of its slack; the rest is left for other targets.
const criticalWaitDivisor = 3

// maxWait returns the longest wait of a call with the given slack, the time for
// which it can wait and still meet its deadline. A call of the highest level is
// next in line at every target, so refusing it after Config.MaxWait would shed it
// while less important calls run.
func (s *Scheduler) maxWait(request Request, slack time.Duration) time.Duration {
	if request.MaxWait > 0 {
		return request.MaxWait
	}
	if request.Rank.Level == criticality.CriticalPlus {
		return max(s.config.MaxWait, slack/criticalWaitDivisor)
	}
	return s.config.MaxWait
}

// removeWaiter refuses a waiter that is still queued. An outcome that was already
// sent takes precedence.
func (s *Scheduler) removeWaiter(w *waiter, reason Reason) (*Permit, error) {
	now := s.now()
	s.mu.Lock()
	if w.queued {
		s.refuseWaiter(w, reason, now)
		s.updateOverload(now)
	}
	s.mu.Unlock()
	result := <-w.result
	return result.unwrap()
}

// cancelWaiter removes a waiter whose context has ended. A permit that was granted
// concurrently is passed to the next waiter.
func (s *Scheduler) cancelWaiter(ctx context.Context, w *waiter) (*Permit, error) {
	permit, err := s.removeWaiter(w, Deadline)
	if err == nil {
		permit.Cancel()
	}
	return nil, s.contextError(clock.Cause(ctx))
}

func (o outcome) unwrap() (*Permit, error) {
	if o.refusal != nil {
		return nil, o.refusal
	}
	return o.permit, nil
}
