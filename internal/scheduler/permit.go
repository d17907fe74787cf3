package scheduler

import (
	"time"

	"github.com/lugspur/lugspur/internal/limit"
)

// Permit allows one call in flight to the target. It must be returned by Release
// or Cancel; only the first of these calls has an effect.
type Permit struct {
	scheduler *Scheduler
	started   time.Time
	inFlight  int
	// ended is guarded by Scheduler.mu.
	ended bool
}

// Release ends the call, reports its outcome to the limiter and admits the next
// waiter. A zero sample latency is replaced by the time since the permit was
// granted, and the number in flight by the count at that time.
func (p *Permit) Release(sample limit.Sample) {
	s := p.scheduler
	now := s.now()
	if sample.Latency <= 0 {
		sample.Latency = now.Sub(p.started)
	}
	sample.InFlight = p.inFlight
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	s.limiter.Observe(sample)
	s.updateServiceTime(sample, now)
	s.inFlight--
	s.dispatch(now)
	s.giveBack(now)
}

// Cancel returns an unused permit. Nothing was sent to the target, so neither the
// limiter nor the expected service time is updated.
func (p *Permit) Cancel() {
	s := p.scheduler
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	s.inFlight--
	s.dispatch(now)
}

// updateServiceTime updates the expected service time. The latency of a timeout
// is only a lower bound of the service time, so it must not lower the estimate.
func (s *Scheduler) updateServiceTime(sample limit.Sample, now time.Time) {
	switch sample.Outcome {
	case limit.Success:
		s.serviceTime.record(now, sample.Latency)
	case limit.Timeout:
		s.serviceTime.record(now, max(sample.Latency, s.serviceTime.expected(now)))
	}
}
