package scheduler

import (
	"time"

	"github.com/lugspur/lugspur/internal/limit"
)

// Permit is the right to have one call in flight on the target. It must end by
// Release or Cancel; only the first of these has an effect.
type Permit struct {
	scheduler *Scheduler
	started   time.Time
	inFlight  int
	// done is guarded by the scheduler's lock.
	done bool
}

// Release ends the call, tells the limiter its outcome and hands the room to
// the next waiter. A zero sample latency is replaced by the time since the
// permit was given, and the number in flight by the scheduler's own count.
func (p *Permit) Release(sample limit.Sample) {
	s := p.scheduler
	now := s.now()
	if sample.Latency <= 0 {
		sample.Latency = now.Sub(p.started)
	}
	sample.InFlight = p.inFlight
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	s.limiter.Observe(sample)
	s.learn(sample, now)
	s.inFlight--
	s.dispatch(now)
}

// Cancel gives the permit back unused: nothing was sent to the target, so
// nothing is learned from it.
func (p *Permit) Cancel() {
	s := p.scheduler
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	s.inFlight--
	s.dispatch(now)
}

// learn updates the expected service time. A timeout says that the call takes
// at least so long; it must not pull the estimate down.
func (s *Scheduler) learn(sample limit.Sample, now time.Time) {
	switch sample.Outcome {
	case limit.Success:
		s.service.add(now, sample.Latency)
	case limit.Timeout:
		s.service.add(now, max(sample.Latency, s.service.expected(now)))
	}
}
