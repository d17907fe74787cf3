package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/limit"
	"github.com/lugspur/lugspur/internal/pace"
)

// Limiter is the concurrency limit in front of which calls queue.
// *limit.Limiter implements it. A limit below 1 counts as 1.
type Limiter interface {
	// Limit returns how many calls may be in flight.
	Limit() int
	// Observe records the outcome of a call.
	Observe(limit.Sample)
}

// Request describes a call that needs a permit.
type Request struct {
	// Rank orders calls; its level determines the position in the queue.
	Rank criticality.Rank
	// PriorCalls is the number of calls that the same request has made before this one.
	// With Config.ByRank, calls with the highest number are served first: their
	// requests are closest to completion, and failing them wastes the most work.
	PriorCalls int
	// Deadline is the time after which the response is useless; zero means none.
	Deadline time.Time
	// ID identifies the request in logs; it does not affect scheduling.
	ID string
	// Caller is a hash of the caller, used for fair queueing within a level.
	Caller uint64
	// MaxWait is the longest time that this call waits; zero means the scheduler's bound.
	MaxWait time.Duration
	// Usual is the duration of the call at the usual pace of the target, zero if unknown.
	Usual time.Duration
	// Alternative is the time within which the call is expected to complete elsewhere; zero means
	// that it must not be refused with EarlierElsewhere.
	Alternative time.Duration
}

// Stats is a snapshot of a scheduler.
type Stats struct {
	// InFlight is the number of permits granted and not yet released.
	InFlight int
	// Limit is the current concurrency limit.
	Limit int
	// Queued is the number of waiters.
	Queued int
	// QueueDelay is the age of the oldest waiter, zero if none waits.
	QueueDelay time.Duration
	// Overloaded reports whether the queueing delay has stayed above Config.Target for Config.Interval.
	Overloaded bool
	// Served is the total number of permits granted.
	Served uint64
	// ExpectedService is the estimated service time, zero if unknown.
	ExpectedService time.Duration
}

// Scheduler admits the calls of one target. It is safe for concurrent use.
type Scheduler struct {
	config  Config
	limiter Limiter
	now     func() time.Time

	mu          sync.Mutex
	queue       queue
	inFlight    int
	served      uint64
	serviceTime serviceTime
	returns     pace.Returns
	// aboveSince is when the queueing delay exceeded Config.Target; zero while it does not.
	aboveSince time.Time
	closed     bool
}

// New returns a scheduler for one target. The clock now must advance at the same
// rate as the runtime's timers, since waiters block on timers.
func New(config Config, limiter Limiter, now func() time.Time) *Scheduler {
	config = config.withDefaults()
	return &Scheduler{
		config:      config,
		limiter:     limiter,
		now:         now,
		serviceTime: serviceTime{quantile: config.ServiceQuantile},
		queue:       queue{byRank: config.ByRank},
	}
}

// Acquire returns a permit to send the call and waits for one if necessary.
// It fails with a *Refusal, or with the context's cause when the context is
// canceled. An expired context deadline results in a Deadline refusal.
func (s *Scheduler) Acquire(ctx context.Context, request Request) (*Permit, error) {
	if ctx.Err() != nil {
		return nil, s.contextError(clock.Cause(ctx))
	}
	now := s.now()
	s.mu.Lock()
	if refusal := s.refuseOnArrival(request, now); refusal != nil {
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

// Stats returns the current state.
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
		ExpectedService: s.serviceTime.expected(now),
	}
	if oldest, waiting := s.queue.oldestArrival(); waiting {
		stats.QueueDelay = now.Sub(oldest)
	}
	return stats
}

// Wake grants permits to waiters after the limit was raised externally, for
// example by SetCeiling. Releases and arrivals do so by themselves.
func (s *Scheduler) Wake() {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch(now)
}

// Close refuses all waiters and all later calls with Closed. Permits already
// granted remain valid and are released as usual.
func (s *Scheduler) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for w := s.queue.pop(false); w != nil; w = s.queue.pop(false) {
		w.result <- outcome{refusal: &Refusal{Reason: Closed}}
	}
	s.aboveSince = time.Time{}
}

// refuseOnArrival returns the refusal of a call that must not be queued, nil if there is none.
func (s *Scheduler) refuseOnArrival(request Request, now time.Time) *Refusal {
	if s.closed {
		return &Refusal{Reason: Closed}
	}
	if s.willMissDeadline(request, now) {
		return s.refusal(Deadline, now)
	}
	return nil
}

// willMissDeadline reports whether the call would miss its deadline if it started now.
func (s *Scheduler) willMissDeadline(request Request, now time.Time) bool {
	if request.Deadline.IsZero() {
		return false
	}
	return request.Deadline.Sub(now) < s.serviceTime.expected(now)
}

func (s *Scheduler) admit(now time.Time) *Permit {
	s.inFlight++
	s.served++
	return &Permit{scheduler: s, started: now, inFlight: s.inFlight}
}

// enqueue queues a call, evicting another one if the queue is full.
func (s *Scheduler) enqueue(request Request, now time.Time) (*waiter, *Refusal) {
	w := &waiter{request: request, level: s.levelOf(request), arrived: now, result: make(chan outcome, 1)}
	if s.queue.length >= s.config.MaxQueue {
		victim := s.victim(w, now)
		if victim == nil {
			return nil, s.refusal(QueueFull, now)
		}
		s.refuseWaiter(victim, Evicted, now)
	}
	s.queue.push(w)
	s.dispatch(now)
	s.giveBack(now)
	return w, nil
}

// levelOf returns the level in which the call is queued.
func (s *Scheduler) levelOf(request Request) criticality.Level {
	if s.config.FirstInFirstOut {
		return criticality.CriticalPlus
	}
	return min(request.Rank.Level, criticality.LevelCount-1)
}

// victim returns the waiter to evict from a full queue in favor of w, nil if there is none.
func (s *Scheduler) victim(w *waiter, now time.Time) *waiter {
	if s.config.FirstInFirstOut {
		return nil
	}
	return s.queue.victim(w.level, w.request.Caller, s.updateOverload(now))
}

// dispatch grants free permits to waiters in queue order and refuses those that
// can no longer meet their deadlines.
func (s *Scheduler) dispatch(now time.Time) {
	for s.queue.length > 0 && s.inFlight < s.limit() {
		overloaded := s.updateOverload(now)
		w := s.queue.pop(overloaded && !s.config.FirstInFirstOut)
		if s.willMissDeadline(w.request, now) {
			w.result <- outcome{refusal: s.refusal(Deadline, now)}
			continue
		}
		w.result <- outcome{permit: s.admit(now)}
	}
	s.updateOverload(now)
}

func (s *Scheduler) refuseWaiter(w *waiter, reason Reason, now time.Time) {
	s.queue.remove(w)
	w.result <- outcome{refusal: s.refusal(reason, now)}
}

// updateOverload updates the overload state and returns it.
func (s *Scheduler) updateOverload(now time.Time) bool {
	if s.queue.length == 0 {
		s.aboveSince = time.Time{}
		return false
	}
	oldest, _ := s.queue.oldestArrival()
	if now.Sub(oldest) <= s.config.Target {
		s.aboveSince = time.Time{}
		return false
	}
	if s.aboveSince.IsZero() {
		s.aboveSince = oldest.Add(s.config.Target)
	}
	return now.Sub(s.aboveSince) >= s.config.Interval
}

// refusal returns a refusal whose RetryAfter is the expected time to serve the current queue.
func (s *Scheduler) refusal(reason Reason, now time.Time) *Refusal {
	rounds := time.Duration(s.queue.length/s.limit() + 1)
	wait := rounds * s.serviceTime.expected(now)
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
