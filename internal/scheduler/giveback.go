package scheduler

import (
	"slices"
	"time"

	"github.com/lugspur/lugspur/internal/pace"
)

// Review gives back waiters that would complete much earlier elsewhere. Releases and arrivals do so
// by themselves; it should be called every pace.ReturnInterval for queues in which nothing happens.
func (s *Scheduler) Review() {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.giveBack(now)
}

// giveBack refuses waiters with EarlierElsewhere, as package pace decides. They leave the queue under
// the scheduler's lock, so that they never get a permit.
func (s *Scheduler) giveBack(now time.Time) {
	if s.queue.movable == 0 || !s.returns.Due(now) {
		return
	}
	waiters := s.queue.inOrder()
	calls := make([]pace.Queued, len(waiters))
	for i, w := range waiters {
		calls[i] = pace.Queued{Usual: w.request.Usual, Alternative: w.request.Alternative, Waited: now.Sub(w.arrived)}
	}
	late := s.returns.Select(calls, s.limit(), s.factor(now), now)
	for _, i := range late {
		s.queue.remove(waiters[i])
		waiters[i].result <- outcome{refusal: &Refusal{Reason: EarlierElsewhere}}
	}
	if len(late) > 0 && s.queue.movable > 0 {
		// No call may end for a long time at a target that has become slow.
		time.AfterFunc(pace.ReturnInterval, s.Review)
	}
	s.updateOverload(now)
}

// factor returns the factor by which calls currently take longer than usual.
func (s *Scheduler) factor(now time.Time) float64 {
	if s.config.Factor == nil {
		return 1
	}
	return s.config.Factor(now)
}

// inOrder returns the waiters in the order in which they are served, or in order of arrival within
// a level if the queue is not ordered by rank.
func (q *queue) inOrder() []*waiter {
	waiters := make([]*waiter, 0, q.length)
	for i := range q.levels {
		first := len(waiters)
		for w := q.levels[i].oldest; w != nil; w = w.newer {
			waiters = append(waiters, w)
		}
		if q.byRank {
			slices.SortStableFunc(waiters[first:], compareWaiters)
		}
	}
	return waiters
}

func compareWaiters(a, b *waiter) int {
	switch {
	case a.request.precedes(b.request):
		return -1
	case b.request.precedes(a.request):
		return 1
	}
	return 0
}
