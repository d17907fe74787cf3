package scheduler

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// serviceSamples is the number of latencies kept; a power of two.
	serviceSamples = 64
	// serviceRefresh is the number of samples between updates of the estimate once the window is full.
	serviceRefresh = 32
	// estimateHalfLife is the time in which the estimate halves while no call completes.
	estimateHalfLife = 500 * time.Millisecond
)

// serviceTime estimates the duration of a call to the target as a quantile over a
// sliding window of latencies. A quantile is robust against outliers, and the
// window adapts to a change within serviceSamples calls.
type serviceTime struct {
	quantile  float64
	latencies [serviceSamples]time.Duration
	count     int
	estimate  time.Duration
	updated   time.Time
}

// record adds the latency of a completed call.
func (s *serviceTime) record(now time.Time, latency time.Duration) {
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
	window := sorted[:min(s.count, serviceSamples)]
	slices.Sort(window)
	s.estimate = window[int(s.quantile*float64(len(window)))]
}

// expected returns the estimate at the given time, zero before the first sample.
func (s *serviceTime) expected(now time.Time) time.Duration {
	if s.estimate == 0 {
		return 0
	}
	age := now.Sub(s.updated)
	if age < estimateHalfLife {
		return s.estimate
	}
	return s.estimate >> min(uint64(age/estimateHalfLife), 62)
}
