package scheduler

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// serviceSamples is the number of latencies kept; a power of two.
	serviceSamples = 64
	// serviceRefresh is the number of samples between computations once the window is full.
	serviceRefresh = 32
	// estimateStale is the time without a completion after which the estimate halves, again and again.
	estimateStale = 500 * time.Millisecond
)

// serviceTime estimates how long a call on the target takes: a quantile over a
// window of the last latencies. A quantile is robust against a few extreme
// values, and the window follows a change within serviceSamples calls.
type serviceTime struct {
	quantile  float64
	latencies [serviceSamples]time.Duration
	count     int
	estimate  time.Duration
	updated   time.Time
}

// add takes a completed call.
func (s *serviceTime) add(now time.Time, latency time.Duration) {
	s.latencies[s.count%serviceSamples] = latency
	s.count++
	s.updated = now
	powerOfTwo := bits.OnesCount(uint(s.count)) == 1
	if powerOfTwo || s.count%serviceRefresh == 0 {
		s.compute()
	}
}

func (s *serviceTime) compute() {
	sorted := s.latencies
	used := sorted[:min(s.count, serviceSamples)]
	slices.Sort(used)
	s.estimate = used[int(s.quantile*float64(len(used)))]
}

// expected returns the estimate at the given time, zero before the first sample.
func (s *serviceTime) expected(now time.Time) time.Duration {
	if s.estimate == 0 {
		return 0
	}
	age := now.Sub(s.updated)
	if age < estimateStale {
		return s.estimate
	}
	return s.estimate >> min(uint64(age/estimateStale), 62)
}
