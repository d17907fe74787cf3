package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/limit"
)

// Limiter is the concurrency limit in front of which calls queue.
// *limit.Limiter implements it. A limit below 1 counts as 1.
type Limiter interface {
	// Limit returns how many calls may be in flight.
	Limit() int
	// Observe takes the outcome of a call into account.
	Observe(limit.Sample)
}

// Request is a call that asks for a permit.
type Request struct {
	// Rank orders calls; its level decides the place in the queue.
	Rank criticality.Rank
	// EarlierCalls is the number of calls that the request which makes this one has behind
	// it. A queue by rank serves those first that have most, as they are nearest to
	// being worth something and their work would be wasted.
	EarlierCalls int
	// Deadline is the absolute time at which the answer is worthless; zero means none.
	Deadline time.Time
	// ID names the request in logs; it decides nothing.
	ID string
	// Caller is a hash of the caller, by which the level is shared fairly.
	Caller uint64
	// MaxWait is the longest time that this call waits; zero means the queue's own bound.
	MaxWait time.Duration
}

// Stats is the state of a scheduler at one moment.
type Stats struct {
	// InFlight is the number of permits given and not yet released.
	InFlight int
	// Limit is the present concurrency limit.
	Limit int
	// Queued is the number of waiters.
	Queued int
	// QueueDelay is the age of the oldest waiter, zero if none waits.
	QueueDelay time.Duration
	// Overloaded reports whether the queueing delay has stayed above the target.
	Overloaded bool
	// Served is the number of permits ever given.
	Served uint64
	// ExpectedService is the estimated service time, zero if unknown.
	ExpectedService time.Duration
}

// Scheduler admits the calls of one target. It is safe for concurrent use.
type Scheduler struct {
	config  Config
	limiter Limiter
	now     func() time.Time

	mu       sync.Mutex
	queue    queue
	inFlight int
	served   uint64
	service  serviceTime
	// aboveSince is when the queueing delay passed the target; zero while it is not above.
	aboveSince time.Time
	closed     bool
}

// New returns a scheduler for one target. The clock now must agree with the
// runtime's timers on how fast time passes, since waiters sleep on timers.
func New(config Config, limiter Limiter, now func() time.Time) *Scheduler {
	config = config.withDefaults()
	return &Scheduler{
		config:  config,
		limiter: limiter,
		now:     now,
		service: serviceTime{quantile: config.ServiceQuantile},
		queue:   queue{byRank: config.ByRank},
	}
}

// Acquire returns a permit to send the call, after waiting for one if need be.
// It fails with a *Refusal, or with the context's cause when the context was
// cancelled. A context whose own deadline passes gives a Deadline refusal.
func (s *Scheduler) Acquire(ctx context.Context, request Request) (*Permit, error) {
	if ctx.Err() != nil {
		return nil, s.contextError(context.Cause(ctx))
	}
	now := s.now()
	s.mu.Lock()
	if refusal := s.refuseNow(request, now); refusal != nil {
		s.mu.Unlock()
		return nil, refusal
	}
	if s.queue.length == 0 && s.inFlight < s.limit() {
		permit := s.admit(now)
		s.mu.Unlock()
		return permit, nil
	}
	w, refusal := s.enqueue(request, now)
	s.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	return s.wait(ctx, w, now)
}

// Stats returns the present state.
func (s *Scheduler) Stats() Stats {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	overloaded := s.updateOverload(now)
	stats := Stats{
		InFlight:        s.inFlight,
		Limit:           s.limit(),
		Queued:          s.queue.length,
		Overloaded:      overloaded,
		Served:          s.served,
		ExpectedService: s.service.expected(now),
	}
	if oldest, any := s.queue.oldest(); any {
		stats.QueueDelay = now.Sub(oldest)
	}
	return stats
}

// Wake hands out permits after the limit was raised from outside, for example
// by SetCeiling. Releases and arrivals do so by themselves.
func (s *Scheduler) Wake() {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch(now)
}

// Close refuses all waiters and all later calls with Closed. Permits already
// given stay good and are released as usual.
func (s *Scheduler) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for w := s.queue.pop(false); w != nil; w = s.queue.pop(false) {
		w.result <- outcome{refusal: &Refusal{Reason: Closed}}
	}
	s.aboveSince = time.Time{}
}

// refuseNow returns the refusal of a call that need not even queue.
func (s *Scheduler) refuseNow(request Request, now time.Time) *Refusal {
	if s.closed {
		return &Refusal{Reason: Closed}
	}
	if s.tooLate(request, now) {
		return s.refusal(Deadline, now)
	}
	return nil
}

// tooLate reports whether the call could no longer finish if it began now.
func (s *Scheduler) tooLate(request Request, now time.Time) bool {
	if request.Deadline.IsZero() {
		return false
	}
	return request.Deadline.Sub(now) < s.service.expected(now)
}

func (s *Scheduler) admit(now time.Time) *Permit {
	s.inFlight++
	s.served++
	return &Permit{scheduler: s, started: now, inFlight: s.inFlight}
}

// enqueue queues a call, displacing a less important one if the queue is full.
func (s *Scheduler) enqueue(request Request, now time.Time) (*waiter, *Refusal) {
	w := &waiter{request: request, level: s.levelOf(request), arrived: now, result: make(chan outcome, 1)}
	if s.queue.length >= s.config.MaxQueue {
		victim := s.victim(w, now)
		if victim == nil {
			return nil, s.refusal(QueueFull, now)
		}
		s.drop(victim, Evicted, now)
	}
	s.queue.push(w)
	s.dispatch(now)
	return w, nil
}

// levelOf returns the level in which the call queues.
func (s *Scheduler) levelOf(request Request) criticality.Level {
	if s.config.FirstInFirstOut {
		return criticality.CriticalPlus
	}
	return min(request.Rank.Level, criticality.LevelCount-1)
}

// victim returns the waiter that gives way to w in a full queue, nil if none does.
func (s *Scheduler) victim(w *waiter, now time.Time) *waiter {
	if s.config.FirstInFirstOut {
		return nil
	}
	return s.queue.victim(w.level, w.request.Caller, s.updateOverload(now))
}

// dispatch gives free room to waiters, most important first, and drops those
// whose turn comes too late.
func (s *Scheduler) dispatch(now time.Time) {
	for s.queue.length > 0 && s.inFlight < s.limit() {
		overloaded := s.updateOverload(now)
		w := s.queue.pop(overloaded && !s.config.FirstInFirstOut)
		if s.tooLate(w.request, now) {
			w.result <- outcome{refusal: s.refusal(Deadline, now)}
			continue
		}
		w.result <- outcome{permit: s.admit(now)}
	}
	s.updateOverload(now)
}

func (s *Scheduler) drop(w *waiter, reason Reason, now time.Time) {
	s.queue.remove(w)
	w.result <- outcome{refusal: s.refusal(reason, now)}
}

// updateOverload brings the overload state up to date and returns it.
func (s *Scheduler) updateOverload(now time.Time) bool {
	if s.queue.length == 0 {
		s.aboveSince = time.Time{}
		return false
	}
	oldest, _ := s.queue.oldest()
	if now.Sub(oldest) <= s.config.Target {
		s.aboveSince = time.Time{}
		return false
	}
	if s.aboveSince.IsZero() {
		s.aboveSince = oldest.Add(s.config.Target)
	}
	return now.Sub(s.aboveSince) >= s.config.Interval
}

// refusal proposes to retry once the present queue would have been served.
func (s *Scheduler) refusal(reason Reason, now time.Time) *Refusal {
	turns := time.Duration(s.queue.length/s.limit() + 1)
	wait := turns * s.service.expected(now)
	return &Refusal{Reason: reason, RetryAfter: min(max(wait, MinRetryAfter), MaxRetryAfter)}
}

func (s *Scheduler) limit() int { return max(s.limiter.Limit(), 1) }

func (s *Scheduler) contextError(err error) error {
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusal(Deadline, now)
}
